"""Tests that every adapter of a port must pass; test files subclass them."""
