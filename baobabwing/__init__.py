"""baobabwing, a request scheduler for engines of different makes and speeds."""

__all__ = ["__version__"]

__version__ = "0.1.0"
