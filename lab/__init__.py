"""Small seeded experiments that chose between ways to decide."""
