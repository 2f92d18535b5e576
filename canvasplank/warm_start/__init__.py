"""Starts a new instance with what a running peer has learned of the call servers, weighted by age."""
