"""Parses a caller's set-up, and checks it against the bounds in the settings."""

from __future__ import annotations

import re

from canvasplank.codecs import isup
from canvasplank.codecs.errors import BadMessageError
from canvasplank.config.platform_settings import RequestBounds
from canvasplank.exchange.call_records import CallRecord
from canvasplank.network.caller_stream import CallerStream
from canvasplank.runtime.scheduler import Scheduler

NO_CALL_ID = "0" * 16
UNKNOWN_NAME = "-"  # recorded in place of a class or tenant that is not in the settings
NUMBER_PATTERN = re.compile(r"[A-Za-z0-9*#+._-]{1,64}")  # valid in the request line to a server
FIGURE_NAMES = ("dest", "width", "via", "again")
FIGURE_PATTERN = re.compile(r"-?[0-9]{1,9}")
MAX_WAIT_MS = 3_600_000.0  # no caller waits for an hour
MAX_DESCRIPTION_BYTES = 15 * 1024  # fits one message together with the headers of an INVITE


def parse_set_up(
    stream: CallerStream, message: isup.Message, bounds: RequestBounds, scheduler: Scheduler
) -> CallRecord:
    """Returns the call that a set-up requests; raises ``BadMessageError`` for values that no server can read.

    An invalid value ends only the caller's connection.  Forwarded, it could make a server end a connection
    that carries other callers' calls, and a wait of 'nan' would corrupt the order of the timers.
    """
    figures = _parse_figures(message)
    wait_text = message.text(isup.Parameter.WAIT)
    try:
        wait_ms = float(wait_text)
    except ValueError as error:
        raise BadMessageError(f"set-up {message.call_id}: {error}") from error
    if not 0 < wait_ms <= MAX_WAIT_MS:  # also rejects 'nan'
        raise BadMessageError(f"set-up {message.call_id}: the wait {wait_text[:20]!r} is out of range")
    number = message.text(isup.Parameter.NUMBER)
    if message.call_id == NO_CALL_ID or not NUMBER_PATTERN.fullmatch(number):
        raise BadMessageError(f"set-up {message.call_id}: no call id, or bad number {number[:20]!r}")
    description = message.parameters.get(isup.Parameter.DESCRIPTION, b"")
    if not 0 < len(description) <= MAX_DESCRIPTION_BYTES:
        raise BadMessageError(
            f"set-up {message.call_id}: a description of {len(description)} bytes is empty or too long"
        )
    return CallRecord(
        id=message.call_id,
        class_name=message.text(isup.Parameter.CLASS),
        tenant=message.text(isup.Parameter.TENANT) if bounds.tenants else None,
        number=number,
        preferred_pool=figures.get("dest", -1),
        replaces_cut_call=figures.get("again") == 1,
        # The wait counts from when the caller sent the set-up; ``lateness_ms`` is how late it was read.
        expires_ms=scheduler.now_ms - scheduler.lateness_ms + wait_ms,
        description=description,
        origin=stream,
    )


def is_within_bounds(call: CallRecord, message: isup.Message, bounds: RequestBounds) -> bool:
    """Whether class, tenant, pool and width are within the settings."""
    if call.class_name not in bounds.classes or (bounds.tenants and call.tenant not in bounds.tenants):
        return False
    width = _parse_figures(message).get("width", 1)
    pool = call.preferred_pool
    return (
        (pool == -1 or bounds.pools is None or pool in bounds.pools)
        and width >= 1
        and (bounds.max_width is None or width <= bounds.max_width)
    )


def replace_unknown_names(call: CallRecord, bounds: RequestBounds) -> None:
    """Replace a class and a tenant outside the settings, so that no name of a caller's choice is kept.

    The store of record keeps the names of rejected calls too, for as long as its database is unavailable.
    """
    if call.class_name not in bounds.classes:
        call.class_name = UNKNOWN_NAME
    if bounds.tenants and call.tenant not in bounds.tenants:
        call.tenant = UNKNOWN_NAME


def _parse_figures(message: isup.Message) -> dict[str, int]:
    """Returns the figures in ``FIGURE_NAMES`` that a set-up holds; raises ``BadMessageError``."""
    figures: dict[str, int] = {}
    for field in message.text(isup.Parameter.FIGURES).rstrip(";").split(";"):
        name, colon, value = field.partition(":")
        if not colon or (name in FIGURE_NAMES and not FIGURE_PATTERN.fullmatch(value)):
            raise BadMessageError(f"set-up {message.call_id}: the figure {field[:40]!r} cannot be read")
        if name in FIGURE_NAMES:
            figures[name] = int(value)
    return figures
