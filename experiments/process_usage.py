"""Memory and processor time of a process, read from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path

KIB_PER_MIB = 1024.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")  # the unit of processor time in /proc


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB; 0 for a process without any, such as a zombie."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB_PER_MIB
    return 0.0


def processor_time_s(pid: int) -> float:
    """Return the user and system processor time of a process, in seconds."""
    user, system = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def open_descriptors(pid: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))
