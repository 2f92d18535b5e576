"""Helpers shared by the tests of the policy."""

from __future__ import annotations

from dataclasses import replace

from conftest import HIGH, LOW, settings

from canvasplank import interface as api
from canvasplank.interface import Outcome

CLASSES = tuple(replace(c, hold_ms=8000.0) for c in (LOW, HIGH))


def large_fleet_settings(instances: int = 250, **more) -> api.Settings:
    return settings(instances=instances, classes=CLASSES, **more)


def circuits_report(server: str, count: float, free: float | None = None) -> api.CircuitsReported:
    return api.CircuitsReported(server, count if free is None else free, count)


def final_answers(actions):
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


def load_report(rate_per_s=None, wait_ms=0.0):
    return api.Report(wait_ms=wait_ms, rate_per_s=rate_per_s)


def end_as_number_busy(gateway, call_id, server="a"):
    return gateway.end(call_id, server, Outcome.ERROR, number_busy=True)
