"""Learnt capacity of endpoints: how fast each one is and what it bears."""
