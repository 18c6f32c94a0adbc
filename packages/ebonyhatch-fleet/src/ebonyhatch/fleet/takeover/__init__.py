"""Takeover: what a new owner may rely on of the terms before, and what it waits for."""
