"""Stand-in of the platform: tables, objects, weights and the list of hosts."""
