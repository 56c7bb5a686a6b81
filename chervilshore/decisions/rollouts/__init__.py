"""Decisions of the roll-out of a software version to a pool."""
