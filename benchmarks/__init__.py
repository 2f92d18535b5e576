"""Benchmarks on loopback with the project's emulators. The tests do not run them."""
