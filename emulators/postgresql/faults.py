"""The faults that the stand-in can be made to have."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Faults:
    """What is to go wrong; everything may be changed while it runs."""

    delay_s: float = 0.0  # before each Sync is carried out
    drop_before_commit: int = 0  # so many commits are lost with their connections
    drop_after_commit: int = 0  # so many are made, and the connection ends before the client hears of it
    serialization_failures: int = 0  # so many commits fail as they would where two write the same
    refuse_rows: set[str] = field(default_factory=set)  # rows holding one of these values: SQLSTATE 22
    stalled: bool = False
