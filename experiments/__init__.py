"""Experiments over a fleet: real processes with injected faults, or the same decisions simulated."""
