"""Exit codes of the command line."""

from __future__ import annotations

OK = 0
"""Done."""

DIFFERENT = 1
"""`records diff` found changes; `job wait` saw the job end without finishing."""

USAGE = 2
"""The command can't be read."""

REFUSED = 3
"""Refused, and nothing was changed: mend what the message names."""

CONFLICT = 4
"""Another generation is in force than expected; nothing was changed."""

UNAVAILABLE = 5
"""The entry or its store can't be reached; nothing was changed, try again later."""

UNKNOWN = 6
"""It isn't known whether the call took effect; the message says how to find out."""

TIMED_OUT = 7
"""The time given to wait has passed; the job goes on."""

INTERRUPTED = 130
"""Ended from the keyboard; what was sent may have taken effect."""

TABLE = """\b
Exit codes:
  0  done
  1  records diff found changes, or the job that was waited for did not finish
  2  the command can't be read
  3  refused, nothing was changed: mend what the message names
  4  another generation is in force than expected, nothing was changed
  5  the entry or its store can't be reached, nothing was changed
  6  it isn't known whether the call took effect
  7  the time given to wait has passed
  130  interrupted
"""
