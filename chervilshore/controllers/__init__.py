"""Services that keep the daemon's state up to date."""
