"""Benches of the decisions; each prints its figures and one JSON line at the end."""
