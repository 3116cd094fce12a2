"""Assembles, starts and stops the components of a node."""
