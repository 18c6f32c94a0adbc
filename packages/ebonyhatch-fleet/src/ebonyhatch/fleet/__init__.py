"""Jobs of steps on one fleet of targets: scheduling, ownership and recovery."""
