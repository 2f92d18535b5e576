"""Logging as text, or as JSON: each event is one line with its name and fields.

``CANVASPLANK_LOG=json`` writes every line as JSON, with python-json-logger; the default is text.
"""

from __future__ import annotations

import logging
import sys
from typing import Any

HUMAN_FORMAT = "%(asctime)s %(message)s"
FORMATS = ("human", "json")


def configure(log_format: str) -> None:
    """Write log lines to standard error in one of ``FORMATS``; raises ``ValueError`` for any other."""
    if log_format not in FORMATS:
        raise ValueError(f"CANVASPLANK_LOG is {log_format!r}, not one of {', '.join(FORMATS)}")
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_json_formatter() if log_format == "json" else logging.Formatter(HUMAN_FORMAT))
    logging.basicConfig(handlers=[handler], level=logging.INFO)


def _json_formatter() -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter  # needed for JSON only

    formatter: logging.Formatter = JsonFormatter(
        "{created}{levelname}{name}{message}",
        style="{",
        rename_fields={"created": "unix_s", "levelname": "level"},
    )
    return formatter


def log_event(log: logging.Logger, name: str, *, text: str = "", **fields: Any) -> None:
    """Log an event; ``text`` is the message, which defaults to the name and the fields."""
    message = text or " ".join([name, *(f"{key}={value}" for key, value in fields.items())])
    log.info("%s", message, extra={"event": name, **fields})
