"""Messages between nodes: schema, codecs, authentication and connections."""
