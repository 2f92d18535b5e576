"""Signals that the program heeds, held back while it cannot: none is lost, or ends it by default."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


def block() -> None:
    """Keep them for later; for the last time just before the event loop gives their default action back."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock() -> None:
    """Let them come, those that were kept first."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
