"""Decisions on queueing, placing, limiting and repeating; none touches a network."""
