"""Homes of cells: which node orders what, and how entries ask it."""
