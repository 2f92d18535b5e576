"""Opening, migrating and using SQLite and PostgreSQL, for the store of record and for the fleet."""
