"""What a call server's answers mean: outcomes, and the figures it tells of itself."""

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
}
PROCESSOR_FULL, NUMBER_BUSY = "cpu_full", "number_busy"
# From the start of a word only: guards against seconds spent on a long body that holds no figures.
GAUGE = re.compile(r"\b([A-Za-z_]\w*)\s*[=:]\s*(-?\d+(?:\.\d+)?(?:[eE][+-]?\d{1,2})?)(?![\w.])")
WAIT = re.compile(r"\d{1,9}(?:\.\d{1,9})?")


def parse_refusal(message: sip.Message, load_reports: LoadReportReader) -> tuple[api.Outcome, RefusalDetails]:
    """How an attempt ended by a final answer that is no success."""
    outcome = OUTCOMES.get(message.status, api.Outcome.ERROR)
    note = message.headers.get("x-outcome", "")
    busy = note == NUMBER_BUSY and outcome is api.Outcome.ERROR
    report = load_reports.report(figures(message), _processor_wait_ms(message))
    return outcome, RefusalDetails(note == PROCESSOR_FULL, busy, report)


def figures(message: sip.Message) -> dict[str, float]:
    """The figures told, in their header or in the body; what cannot be read as one is passed over."""
    text = message.headers.get("x-gauges") or message.body.decode("utf-8", "replace")
    return {name: float(value) for name, value in GAUGE.findall(text)}


def _processor_wait_ms(message: sip.Message) -> float | None:
    """The wait at a full processor, which it tells where the settings say so."""
    text = message.headers.get("x-waited", "")
    return float(text) if WAIT.fullmatch(text) else None
