"""Access to SQLite and PostgreSQL, including schema migrations, for the store of record and the fleet."""
