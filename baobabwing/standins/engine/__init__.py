"""Stand-in engine with continuous batching and a bounded prefix cache."""
