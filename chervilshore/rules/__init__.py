"""The operators' rules: their file, their checks and their generations."""
