"""Stand-ins, naive schedulers for comparison, history checker and benches."""
