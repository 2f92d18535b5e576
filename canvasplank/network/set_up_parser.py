"""Reads a caller's set-up, and holds it to what the settings know."""

from __future__ import annotations

import re

from canvasplank.codecs import isup
from canvasplank.codecs.errors import BadMessageError
from canvasplank.config.platform_settings import RequestBounds
from canvasplank.exchange.call_records import CallRecord
from canvasplank.network.caller_stream import CallerStream
from canvasplank.runtime.scheduler import Scheduler

NO_CALL = "0" * 16
NUMBER = re.compile(r"[A-Za-z0-9*#+._-]{1,64}")  # what a server can read in the first line
FIGURES = ("dest", "width", "via", "again")
FIGURE = re.compile(r"-?[0-9]{1,9}")
MAX_WAIT_MS = 3_600_000.0  # no caller waits for an hour; a longer figure is no server's to read
MAX_DESCRIPTION_BYTES = 15 * 1024  # with the server side's headers it still is one message


def parse_set_up(
    stream: CallerStream, message: isup.Message, known: RequestBounds, scheduler: Scheduler
) -> CallRecord:
    """The call that a set-up asks for; one that no server could read is a bad message.

    Guards against figures that are no figures (a wait of 'nan' would spoil the order of the deadlines),
    and against a server ending a connection, with other callers' calls, over what it cannot read.
    """
    figures = _figures(message)
    wait_text = message.text(isup.Parameter.WAIT)
    try:
        wait_ms = float(wait_text)
    except ValueError as error:
        raise BadMessageError(f"set-up {message.call_id}: {error}") from None
    if not 0 < wait_ms <= MAX_WAIT_MS:  # a 'nan' is not, either
        raise BadMessageError(f"set-up {message.call_id}: a wait of {wait_text[:20]!r}")
    number = message.text(isup.Parameter.NUMBER)
    if message.call_id == NO_CALL or not NUMBER.fullmatch(number):
        raise BadMessageError(f"set-up {message.call_id}: no id, or a number of {number[:20]!r}")
    description = message.parameters.get(isup.Parameter.DESCRIPTION, b"")
    if not 0 < len(description) <= MAX_DESCRIPTION_BYTES:
        raise BadMessageError(f"set-up {message.call_id}: a description of {len(description)} bytes")
    return CallRecord(
        id=message.call_id,
        class_name=message.text(isup.Parameter.CLASS),
        tenant=message.text(isup.Parameter.TENANT) if known.tenants else None,
        number=number,
        preferred_pool=figures.get("dest", -1),
        was_cut=figures.get("again") == 1,
        # The wait counts from when the caller sent it: earlier than now by as much as we looked late.
        expires_ms=scheduler.now_ms - scheduler.lateness_ms + wait_ms,
        description=description,
        origin=stream,
    )


def is_within_bounds(call: CallRecord, message: isup.Message, known: RequestBounds) -> bool:
    """Whether class, tenant and figures are within what the settings know."""
    if call.class_name not in known.classes or (known.tenants and call.tenant not in known.tenants):
        return False
    width = _figures(message).get("width", 1)
    pool = call.preferred_pool
    return (
        (pool == -1 or known.pools is None or pool in known.pools)
        and width >= 1
        and (known.max_width is None or width <= known.max_width)
    )


def _figures(message: isup.Message) -> dict[str, int]:
    """The figures of a set-up that are read here; each is a whole number."""
    figures: dict[str, int] = {}
    for part in message.text(isup.Parameter.FIGURES).rstrip(";").split(";"):
        name, colon, value = part.partition(":")
        if not colon or (name in FIGURES and not FIGURE.fullmatch(value)):
            raise BadMessageError(f"set-up {message.call_id}: the figure {part[:40]!r} cannot be read")
        if name in FIGURES:
            figures[name] = int(value)
    return figures
