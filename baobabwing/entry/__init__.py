"""What callers meet: HTTP, address answers, dispatch and relay."""
