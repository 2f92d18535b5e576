"""Caches the endpoint list on disk, so that the program can start while discovery is unreachable."""
