"""Parses a caller's set-up, and checks it against the bounds that the settings give."""

from __future__ import annotations

import re

from canvasplank.codecs import isup
from canvasplank.codecs.errors import BadMessageError
from canvasplank.config.platform_settings import RequestBounds
from canvasplank.exchange.call_records import CallRecord
from canvasplank.network.caller_stream import CallerStream
from canvasplank.runtime.scheduler import Scheduler

NO_CALL_ID = "0" * 16
NUMBER = re.compile(r"[A-Za-z0-9*#+._-]{1,64}")  # what a server can read in the request line
FIGURES = ("dest", "width", "via", "again")
FIGURE = re.compile(r"-?[0-9]{1,9}")
MAX_WAIT_MS = 3_600_000.0  # no caller waits for an hour; a longer wait is a bad message
MAX_DESCRIPTION_BYTES = 15 * 1024  # with the headers of a server's INVITE it still fits one message


def parse_set_up(
    stream: CallerStream, message: isup.Message, bounds: RequestBounds, scheduler: Scheduler
) -> CallRecord:
    """The call that a set-up requests; raises ``BadMessageError`` for what no server could read.

    A figure that is none (a wait of 'nan' would spoil the order of the timers) ends the caller's connection
    here, before it can make a server end a connection that other callers' calls share.
    """
    figures = _parse_figures(message)
    wait_text = message.text(isup.Parameter.WAIT)
    try:
        wait_ms = float(wait_text)
    except ValueError as error:
        raise BadMessageError(f"set-up {message.call_id}: {error}") from error
    if not 0 < wait_ms <= MAX_WAIT_MS:  # a 'nan' is not, either
        raise BadMessageError(f"set-up {message.call_id}: a wait of {wait_text[:20]!r}")
    number = message.text(isup.Parameter.NUMBER)
    if message.call_id == NO_CALL_ID or not NUMBER.fullmatch(number):
        raise BadMessageError(f"set-up {message.call_id}: no id, or a number of {number[:20]!r}")
    description = message.parameters.get(isup.Parameter.DESCRIPTION, b"")
    if not 0 < len(description) <= MAX_DESCRIPTION_BYTES:
        raise BadMessageError(f"set-up {message.call_id}: a description of {len(description)} bytes")
    return CallRecord(
        id=message.call_id,
        class_name=message.text(isup.Parameter.CLASS),
        tenant=message.text(isup.Parameter.TENANT) if bounds.tenants else None,
        number=number,
        preferred_pool=figures.get("dest", -1),
        replaces_cut_call=figures.get("again") == 1,
        # The wait counts from when the caller sent it: earlier than now by as much as it was read late.
        expires_ms=scheduler.now_ms - scheduler.lateness_ms + wait_ms,
        description=description,
        origin=stream,
    )


def is_within_bounds(call: CallRecord, message: isup.Message, bounds: RequestBounds) -> bool:
    """Whether class, tenant, pool and width are ones that the settings know."""
    if call.class_name not in bounds.classes or (bounds.tenants and call.tenant not in bounds.tenants):
        return False
    width = _parse_figures(message).get("width", 1)
    pool = call.preferred_pool
    return (
        (pool == -1 or bounds.pools is None or pool in bounds.pools)
        and width >= 1
        and (bounds.max_width is None or width <= bounds.max_width)
    )


def _parse_figures(message: isup.Message) -> dict[str, int]:
    """The figures of a set-up that are used here, each an integer; raises ``BadMessageError``."""
    figures: dict[str, int] = {}
    for field in message.text(isup.Parameter.FIGURES).rstrip(";").split(";"):
        name, colon, value = field.partition(":")
        if not colon or (name in FIGURES and not FIGURE.fullmatch(value)):
            raise BadMessageError(f"set-up {message.call_id}: the figure {field[:40]!r} cannot be read")
        if name in FIGURES:
            figures[name] = int(value)
    return figures
