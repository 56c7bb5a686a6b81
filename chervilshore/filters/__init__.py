"""The chain of filters that each request passes, in order."""
