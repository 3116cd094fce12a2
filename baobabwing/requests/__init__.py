"""A request from its arrival to its one final outcome."""
