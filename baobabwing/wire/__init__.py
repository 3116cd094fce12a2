"""Messages between the nodes: schema, framing, authentication, peers."""
