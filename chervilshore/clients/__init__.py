"""Clients for the platform, the endpoints and the other entry hosts."""
