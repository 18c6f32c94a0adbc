"""Memory that accepted jobs take of the processes that may own them, and what is accepted within it."""
