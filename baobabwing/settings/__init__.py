"""Settings of a node, and the versioned configuration that all nodes share."""
