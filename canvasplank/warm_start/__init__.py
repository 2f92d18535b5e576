"""Warm start: a new instance starts from a running peer's snapshot of the call servers, weighted by its
age.
"""
