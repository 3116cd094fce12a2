"""The gateway: requests by host and path prefix, forwarded to pools of upstreams."""
