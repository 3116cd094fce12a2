"""Brands, organisations, tiers and their limits."""
