"""Evacuation: runs on targets that are about to leave, and failure domains that operators evacuate."""
