"""Checkers: a model checker for the lease protocol, and invariants over the logs and traces of processes."""
