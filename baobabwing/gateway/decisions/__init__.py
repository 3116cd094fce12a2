"""Decisions on queueing, placement, limits and retries; no module here does I/O."""
