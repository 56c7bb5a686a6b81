"""The users' platform: its names, formats and calls.

This folder translates between the platform's messages and the project's
types. It decides nothing, and no other part of the package knows the
platform's names.
"""
