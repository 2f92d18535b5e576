"""The signals that the program handles, blocked while it cannot: none is lost, or ends it by default."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def block() -> None:
    """Keep the handled signals pending; for the last time before the event loop restores their defaults."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock() -> None:
    """Let the handled signals arrive, the pending ones first."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
