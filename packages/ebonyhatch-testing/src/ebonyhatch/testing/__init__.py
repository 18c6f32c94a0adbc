"""Stand-ins, naive twins, history checker and benches."""
