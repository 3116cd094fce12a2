"""Placement of requests by the home nodes of cells, over UDP."""
