"""The chain of filters that processes each request."""
