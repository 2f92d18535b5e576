"""Network connections: from callers, to call servers and to service discovery."""
