"""Overload: how long new work would wait, and what is refused for it."""

from __future__ import annotations

from ebonyhatch.fleet.overload import backlog

__all__ = ["backlog"]
