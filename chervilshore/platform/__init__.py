"""Adapter for the users' platform: its names, formats and calls.

This package translates between the platform's wire formats and the types of
the project. It makes no decisions, and no other package knows the names of
the platform.
"""
