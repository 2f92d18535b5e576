"""A signalling proxy between callers and call servers, with overload control for the servers."""
