"""Policies that choose an upstream, in a registry that a decorator fills."""
