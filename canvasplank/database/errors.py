"""The errors that a database raises, whichever it is."""

from __future__ import annotations


class DatabaseError(Exception):
    """Root of the errors that the database layer raises."""


class StoreUnavailableError(DatabaseError):
    """The database cannot be reached, or the outcome of a request is unknown: the request may be retried."""


class StoreRefusedError(DatabaseError):
    """The database rejects the data (a constraint, a type, an encoding): retrying the request cannot help."""


class NewerSchemaError(DatabaseError):
    """The tables have a newer schema version than this program knows: it must not write to them."""
