"""Forwarding of requests to pools of upstreams, routed by host and path prefix."""
