"""Tests that every adapter of a port has to pass; subclassed in test files."""
