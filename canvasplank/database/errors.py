"""Errors of the database layer, the same for SQLite and PostgreSQL."""

from __future__ import annotations


class DatabaseError(Exception):
    """Base class of all errors that the database layer raises."""


class DatabaseUnavailableError(DatabaseError):
    """The database is unreachable, or the outcome of a request is unknown; the request may be retried."""


class DataRejectedError(DatabaseError):
    """The database rejected the data (constraint, type or encoding); retrying the request cannot succeed."""


class NewerSchemaError(DatabaseError):
    """The tables have a newer schema version than this program supports, so it must not write to them."""
