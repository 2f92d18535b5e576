"""Experiments on a fleet of proxies: real processes with injected faults, or a simulation of the fleet."""
