"""Cold start: limits on the load that hundreds of starting proxies put on discovery and call servers."""
