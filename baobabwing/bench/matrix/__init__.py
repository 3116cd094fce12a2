"""Trials of outcomes under faults: a small site, callers and a judge."""
