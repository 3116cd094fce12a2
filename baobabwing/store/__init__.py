"""Clients of the platform: table service, object store, weight store, hosts."""
