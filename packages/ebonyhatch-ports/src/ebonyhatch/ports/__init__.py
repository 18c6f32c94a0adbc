"""Ports to the platform (store, workers, instance list) and their adapters."""
