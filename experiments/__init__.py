"""Experiments over a whole fleet: real processes and faults between them, or the same decisions simulated."""
