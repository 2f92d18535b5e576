"""Cold start: limits on what hundreds of proxies that start together do to discovery and the call servers."""
