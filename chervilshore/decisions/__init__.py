"""Decisions without I/O: state, message and time in, actions out."""
