"""Small seeded experiments that compare algorithms."""
