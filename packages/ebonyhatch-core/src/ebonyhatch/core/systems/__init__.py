"""Systems that read and change the tables each tick."""
