"""Look-ahead placement: forecasts of free capacity, reservations for large steps, and policies."""
