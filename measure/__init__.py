"""The demo, the load, the measured cases and the slopes."""
