"""Faults to inject into the emulated PostgreSQL."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Faults:
    """Faults to inject. Every field may be changed while the server runs.

    The integers are numbers of commits still to be affected. Each affected commit decrements its field.
    """

    delay_s: float = 0.0  # before each Sync, COMMIT and ROLLBACK
    drop_before_commit: int = 0  # commits that are lost because the connection is closed before them
    drop_after_commit: int = 0  # commits that succeed, but the connection is closed before the response
    serialization_failures: int = 0  # commits that fail with SQLSTATE 40001
    # Statements with one of these parameter values fail with SQLSTATE 22000.
    refuse_rows: set[str] = field(default_factory=set)
    stalled: bool = False  # received messages are not processed until this is reset
