"""Things to try the proxy with; nothing here is part of it."""
