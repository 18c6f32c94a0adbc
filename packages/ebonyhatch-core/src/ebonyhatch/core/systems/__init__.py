"""Systems that run over the tables each tick."""
