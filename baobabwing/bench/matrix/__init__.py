"""Fault injection tests of request outcomes on a small deployment."""
