"""Parsing of call servers' responses: outcomes of attempts and load figures."""

from __future__ import annotations

import re

from canvasplank import interface as api
from canvasplank.codecs import sip
from canvasplank.config.platform_settings import LoadReportReader
from canvasplank.exchange.call_records import RefusalDetails

OUTCOMES = {
    480: api.Outcome.NOT_SENT,
    503: api.Outcome.FULL,
    504: api.Outcome.RESET,
}  # by SIP status; any other status is an ERROR
PROCESSOR_FULL, NUMBER_BUSY = "cpu_full", "number_busy"
# Matches at word starts only: without the \b, searching a long body without figures took seconds.
GAUGE = re.compile(r"\b([A-Za-z_]\w*)\s*[=:]\s*(-?\d+(?:\.\d+)?(?:[eE][+-]?\d{1,2})?)(?![\w.])")
WAIT = re.compile(r"\d{1,9}(?:\.\d{1,9})?")


def parse_refusal(message: sip.Message, load_reports: LoadReportReader) -> tuple[api.Outcome, RefusalDetails]:
    """Return the outcome and details of a final response of 300 or more (RFC 3261 21)."""
    outcome = OUTCOMES.get(message.status, api.Outcome.ERROR)
    note = message.headers.get("x-outcome", "")
    busy = note == NUMBER_BUSY and outcome is api.Outcome.ERROR
    report = load_reports.report(parse_gauges(message), _processor_wait_ms(message))
    return outcome, RefusalDetails(note == PROCESSOR_FULL, busy, report)


def parse_gauges(message: sip.Message) -> dict[str, float]:
    """Return the load figures of a message by name, from X-Gauges or the body, without malformed ones."""
    text = message.headers.get("x-gauges") or message.body.decode("utf-8", "replace")
    return {name: float(value) for name, value in GAUGE.findall(text)}


def _processor_wait_ms(message: sip.Message) -> float | None:
    """Return the wait at a full processor in milliseconds, from X-Waited; None without a valid one."""
    text = message.headers.get("x-waited", "")
    return float(text) if WAIT.fullmatch(text) else None
