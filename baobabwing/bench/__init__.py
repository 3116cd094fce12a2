"""Load, scenarios and figures, all on processes of the own host."""
