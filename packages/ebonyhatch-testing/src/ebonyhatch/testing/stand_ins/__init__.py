"""Small stand-ins for the platform's services over HTTP, with fault switches."""
