"""Ports to the platform: store, workers and instance list."""
