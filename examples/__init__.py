"""Example programs to try the proxy with. They are not part of the proxy."""
