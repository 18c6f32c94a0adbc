"""Runs of several entries' logic over in-memory ports on a fake clock, with faults."""
