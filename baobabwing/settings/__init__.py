"""Settings of a host and the shared, versioned configuration."""
