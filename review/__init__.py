"""Cases of an independent review; started by their ``run.sh``."""
