"""The store of record: writes the outcome of every call to SQLite or PostgreSQL, without delaying calls."""
