"""The errors that a database raises, whichever it is."""

from __future__ import annotations


class StoreUnavailableError(Exception):
    """The database cannot be reached, or the outcome of a request is unknown: the request may be retried."""


class StoreRefusedError(Exception):
    """The database rejects the data (a constraint, a type, an encoding): retrying the request cannot help."""


class NewerSchemaError(Exception):
    """The tables have a newer schema version than this program knows: it must not write to them."""
