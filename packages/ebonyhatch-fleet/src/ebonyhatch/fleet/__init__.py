"""Scheduling, ownership and recovery of jobs, which consist of steps, on one fleet of targets."""
