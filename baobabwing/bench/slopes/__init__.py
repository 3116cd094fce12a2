"""Small measurements of what one more of something costs."""
