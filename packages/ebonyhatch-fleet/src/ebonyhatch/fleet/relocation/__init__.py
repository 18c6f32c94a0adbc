"""Relocation of fillers that make little progress where they run."""
