"""Demos, load generation, benchmark cases and capacity measurements."""
