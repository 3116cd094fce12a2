"""Placing requests together: the homes of cells, and the nodes that ask them."""
