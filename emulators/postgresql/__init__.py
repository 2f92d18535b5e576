"""An emulated PostgreSQL: the frontend/backend protocol 3.0 as far as asyncpg uses it, over an SQLite file.

Written from the protocol's public specification (PostgreSQL manual, chapter "Frontend/Backend Protocol").
It executes the statements it receives and commits at Sync outside a transaction block as PostgreSQL does.  It
can be made to fail (``Faults``): slow, stalled, disconnecting before or after a commit, rejecting rows,
reporting serialization failures, stopped and restarted.

All row locks are one lock on the whole database.  A transaction takes it with its first statement that writes
or selects FOR UPDATE, and waits for it as for a row lock; until then each statement sees what is committed
(READ COMMITTED).  ``statement_timeout`` and ``idle_in_transaction_session_timeout`` are honoured.

``python -m emulators.postgresql FOLDER`` runs it in a process of its own, for measurements that its work must
not disturb (see ``__main__``).
"""

from emulators.postgresql.faults import Faults
from emulators.postgresql.server import PostgresqlEmulator

__all__ = ["Faults", "PostgresqlEmulator"]
