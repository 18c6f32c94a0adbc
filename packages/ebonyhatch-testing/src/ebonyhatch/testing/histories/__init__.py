"""Simulated runs of several entries over in-memory ports on a fake clock, with faults."""
