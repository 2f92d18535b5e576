"""Checkers: an exhaustive exploration of the lease protocol, and invariants over the traces of processes."""
