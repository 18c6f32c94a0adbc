"""Exit codes of the command line."""

from __future__ import annotations

OK = 0
"""The command succeeded."""

DIFFERENT = 1
"""`records diff` found changes; `job wait` found that the job ended without finishing."""

USAGE = 2
"""The command line is invalid."""

REFUSED = 3
"""Refused, and nothing was changed: correct what the message names."""

CONFLICT = 4
"""The current generation (version number) of the records is not the expected one; nothing was
changed."""

UNAVAILABLE = 5
"""The entry or its store can't be reached; nothing was changed. Try again later."""

UNKNOWN = 6
"""It is unknown whether the request took effect; the message says how to find out."""

TIMED_OUT = 7
"""The wait timed out; the job continues."""

INTERRUPTED = 130
"""Interrupted from the keyboard; requests already sent may have taken effect."""

TABLE = """\b
Exit codes:
  0  success
  1  records diff found changes, or the awaited job ended without finishing
  2  the command line is invalid
  3  refused, nothing was changed: correct what the message names
  4  the generation in force is not the expected one, nothing was changed
  5  the entry or its store can't be reached, nothing was changed
  6  unknown whether the request took effect
  7  the wait timed out
  130  interrupted
"""
