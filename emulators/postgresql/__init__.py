"""An emulated PostgreSQL: the frontend/backend protocol 3.0 as far as asyncpg uses it, over an SQLite file.

Written from the protocol's public specification (PostgreSQL manual, chapter "Frontend/Backend Protocol").
The server executes the statements it receives and, outside a transaction block, commits at Sync as PostgreSQL
does. Faults can be injected: delays, stalls, lost connections before or after a commit, rejected rows,
serialization failures (see ``Faults``), and restarts.

One lock on the whole database replaces all row locks. A transaction acquires it with its first statement that
writes or selects FOR UPDATE, and waits for it as for a row lock. Before that, each statement sees the
committed data (READ COMMITTED). ``statement_timeout`` and ``idle_in_transaction_session_timeout`` are
supported.

``python -m emulators.postgresql FOLDER`` runs the server in a process of its own, so that its processor time
does not disturb measurements (see ``__main__``).
"""

from emulators.postgresql.faults import Faults
from emulators.postgresql.server import PostgresqlEmulator

__all__ = ["Faults", "PostgresqlEmulator"]
