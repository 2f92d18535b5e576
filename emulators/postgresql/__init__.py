"""A stand-in PostgreSQL: the frontend/backend protocol 3.0 as far as asyncpg uses it, over an SQLite file.

Written from the protocol's public specification (PostgreSQL manual, chapter "Frontend/Backend Protocol").  It
runs the statements it is sent, commits at Sync as the original does outside a transaction block, and fails on
request: slow, stalled, dropped before or after a commit, refusing connections, restarted, not serializable.

Every row lock is one lock on everything, taken by a transaction's first statement that writes or selects FOR
UPDATE, and waited for as a row's is; until then each statement sees what is committed (READ COMMITTED).
``statement_timeout`` and ``idle_in_transaction_session_timeout`` are kept.

``python -m emulators.postgresql FOLDER`` runs one by itself, for measurements that its own work must not
disturb.  It prints its DSN and takes commands on standard input: ``stalled 1``,
``drop_after_commit 1``, ``restart 5``.
"""

from __future__ import annotations

from emulators.postgresql.faults import Faults
from emulators.postgresql.server import PostgresqlStandIn

__all__ = ["Faults", "PostgresqlStandIn"]
