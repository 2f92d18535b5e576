"""Blocks the signals that the program handles while it cannot, so that none is lost or kills the process."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def block() -> None:
    """Keep the signals pending while the event loop has no handlers for them: at the start and at exit."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock() -> None:
    """Deliver the handled signals, the pending ones first."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
