"""Log lines for people, or as JSON for machines: one event name and its fields a line.

``CANVASPLANK_LOG=json`` has every line as JSON, by python-json-logger; the human form is what it is without.
"""

from __future__ import annotations

import logging
import sys
from typing import Any

HUMAN_FORMAT = "%(asctime)s %(message)s"
FORMATS = ("human", "json")


def configure(log_format: str) -> None:
    """Set logging up on standard error; an unknown form is a ``ValueError``."""
    if log_format not in FORMATS:
        raise ValueError(f"CANVASPLANK_LOG is {log_format!r}, not one of {', '.join(FORMATS)}")
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        from pythonjsonlogger.json import JsonFormatter  # imported only where it is wanted

        handler.setFormatter(
            JsonFormatter(
                "{created}{levelname}{name}{message}",
                style="{",
                rename_fields={"created": "unix_s", "levelname": "level"},
            )
        )
    else:
        handler.setFormatter(logging.Formatter(HUMAN_FORMAT))
    logging.basicConfig(handlers=[handler], level=logging.INFO)


def log_event(log: logging.Logger, name: str, *, text: str = "", **fields: Any) -> None:
    """One event; ``text`` is what people read of it, or else its name and fields."""
    message = text or " ".join([name, *(f"{key}={value}" for key, value in fields.items())])
    log.info("%s", message, extra={"event": name, **fields})
