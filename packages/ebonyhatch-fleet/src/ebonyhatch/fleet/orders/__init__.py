"""Orders to targets."""
