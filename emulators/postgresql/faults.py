"""The faults that the emulated PostgreSQL can be made to have."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Faults:
    """Faults to inject; every field may be changed while the server runs.

    The counts are of commits still to be affected; each affected commit decrements its count.
    """

    delay_s: float = 0.0  # before each Sync, COMMIT and ROLLBACK
    drop_before_commit: int = 0  # commits that are lost with their connections
    drop_after_commit: int = 0  # commits that succeed, but the connection ends before the response
    serialization_failures: int = 0  # commits that fail with SQLSTATE 40001
    refuse_rows: set[str] = field(default_factory=set)  # rows with one of these values fail: SQLSTATE 22000
    stalled: bool = False  # nothing that is received is answered
