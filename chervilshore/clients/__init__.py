"""Clients of the platform, the endpoints and the peers."""
