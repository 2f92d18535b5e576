"""The endpoint cache: the endpoint list on disk, and a start from it while discovery is unreachable."""
