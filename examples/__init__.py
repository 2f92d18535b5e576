"""Programs to try the proxy with; nothing here belongs to it."""
