"""Orders to engines, given under a lease with a fencing number."""
