"""Metrics, numbered log events and the report on service-level burn."""
