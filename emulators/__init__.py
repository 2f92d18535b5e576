"""Emulators of outside systems, on loopback only: call servers, service discovery, callers, a store."""
