"""Small stand-ins of the platform over HTTP, with fault switches."""
