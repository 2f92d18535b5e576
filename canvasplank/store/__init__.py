"""The store of record: every call's outcome, written behind the calls to SQLite or PostgreSQL."""
