"""One node: its parts put together, started and stopped."""
