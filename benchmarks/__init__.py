"""Measurements on loopback with the project's own stand-ins; none is part of the tests."""
