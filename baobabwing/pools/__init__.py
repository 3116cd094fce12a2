"""Pools of upstreams: cells, queues, permits, learned speeds and policies."""
