"""Emulators of external systems, on loopback only: call servers, service discovery, callers, PostgreSQL."""
