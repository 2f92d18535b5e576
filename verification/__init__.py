"""Checkers: a model of the lease protocol, explored, and proofs over what processes said that they used."""
