"""Hosts of the fleet: membership, homes of resources, leaving."""
