"""Services of the daemon that do input and output and hold its state."""
