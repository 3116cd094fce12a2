"""Orders to engines: leases with fencing numbers, and moves of many steps."""
