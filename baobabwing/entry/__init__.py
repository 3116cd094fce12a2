"""HTTP interface for callers: routes, dispatch to upstreams, relay of answers."""
