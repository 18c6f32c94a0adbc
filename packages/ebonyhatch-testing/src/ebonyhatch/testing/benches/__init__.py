"""Benchmarks; each prints its figures, and all of them as one JSON line at the end."""
