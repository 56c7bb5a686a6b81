"""A serving system for multi-stage model pipelines."""
