"""Log lines for people, or as JSON for machines: one event name and its fields a line.

``CANVASPLANK_LOG=json`` has every line as JSON, by python-json-logger; the human form is what it is without.
"""

from __future__ import annotations

import logging
import sys
from typing import Any

HUMAN = "%(asctime)s %(message)s"
FORMS = ("human", "json")


def begin(form: str) -> None:
    """Set logging up on standard error; an unknown form is a ``ValueError``."""
    if form not in FORMS:
        raise ValueError(f"CANVASPLANK_LOG is {form!r}, not one of {', '.join(FORMS)}")
    handler = logging.StreamHandler(sys.stderr)
    if form == "json":
        from pythonjsonlogger.json import JsonFormatter  # imported only where it is wanted

        handler.setFormatter(
            JsonFormatter(
                "{created}{levelname}{name}{message}",
                style="{",
                rename_fields={"created": "unix_s", "levelname": "level"},
            )
        )
    else:
        handler.setFormatter(logging.Formatter(HUMAN))
    logging.basicConfig(handlers=[handler], level=logging.INFO)


def event(log: logging.Logger, name: str, *, text: str = "", **fields: Any) -> None:
    """One event; ``text`` is what people read of it, or else its name and fields."""
    said = text or " ".join([name, *(f"{key}={value}" for key, value in fields.items())])
    log.info("%s", said, extra={"event": name, **fields})
