"""Fleet membership, homes of resources and the addresses that callers get."""
