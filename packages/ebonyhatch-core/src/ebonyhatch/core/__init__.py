"""Tables, systems and records of the scheduler, without I/O."""
