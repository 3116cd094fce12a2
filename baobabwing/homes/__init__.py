"""Homes of cells: the nodes that schedule requests, and the clients that call them."""
