"""Decodes the platform's settings for the decision module, the network and the simulator adapter."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from canvasplank import interface as api
from canvasplank.config.configuration import ConfigurationError

# The platform's names of report sources and of report columns.
_REPORT_SOURCES = {
    "off": api.ReportSource.NONE,
    "on_probe": api.ReportSource.PROBES,
    "inline": api.ReportSource.ANSWERS,
}
REPORT_FIELDS = {
    "util": api.ReportField.UTILISATION,
    "queue": api.ReportField.QUEUE,
    "latency_ms": api.ReportField.WAIT_MS,
    "can_take": api.ReportField.RATE_PER_S,
    "qps": api.ReportField.RATE_PER_S,
    "hold_back": api.ReportField.HOLD_BACK,
}


class ConnectionLimits(msgspec.Struct):
    """The settings' limits on connections and open calls, which the decision module does not use."""

    connect_timeout_ms: float
    conn_idle_ms: float
    max_open: int


class RequestBounds(msgspec.Struct, frozen=True):
    """The values that the settings allow in a set-up; None: not bounded."""

    classes: frozenset[str]
    tenants: frozenset[str]  # empty: the settings have no tenants, and the tenant of a set-up is ignored
    pools: frozenset[int] | None
    max_width: int | None  # circuits of one call


class LoadReportReader:
    """Reads servers' load reports, whose columns the settings name.

    The first two columns are a circuit group's free circuits and all its circuits.  They are identified by
    position, since deployments name them differently.
    """

    def __init__(self, columns: Iterable[str]) -> None:
        self._columns = tuple(columns)
        self._free, self._size = (*self._columns, "", "")[:2]

    def circuits(self, figures: Mapping[str, float | None]) -> tuple[float, float] | None:
        """Return the free circuits and all circuits; None unless both are reported."""
        free, size = reported_or_none(figures.get(self._free)), reported_or_none(figures.get(self._size))
        return None if free is None or size is None else (free, size)

    def report(self, figures: Mapping[str, float | None], wait_ms: float | None = None) -> api.Report | None:
        """Return the load figures that the decision module uses; None if there are none.

        ``wait_ms`` is a wait at the processor that was reported elsewhere, used if ``figures`` has none.
        """
        values = {
            REPORT_FIELDS[name].value: value
            for name in self._columns
            if name in REPORT_FIELDS and (value := reported_or_none(figures.get(name))) is not None
        }
        if wait_ms is not None:
            values.setdefault(api.ReportField.WAIT_MS.value, wait_ms)
        return api.Report(**values) if values else None


def reported_or_none(value: float | None) -> float | None:
    """Return the figure, or None if it is omitted or negative: -1 stands for 'not reported'."""
    return None if value is None or value < 0 else value


def read_connection_limits(options: dict[str, Any]) -> ConnectionLimits:
    """Return the limits on connections and open calls; raises ``ConfigurationError``."""
    try:
        return msgspec.convert(options["ceilings"], ConnectionLimits)
    except (KeyError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"settings: ceilings: {error}") from None


def read_load_report_reader(options: dict[str, Any]) -> LoadReportReader:
    """Return a reader for the columns of load reports in the settings; raises ``ConfigurationError``."""
    try:
        return LoadReportReader(msgspec.convert(options["load_report"]["names"], list[str]))
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"settings: load_report: {error}") from None


def read_request_bounds(settings: api.Settings, options: dict[str, Any]) -> RequestBounds:
    """Return the bounds on a caller's set-up; raises ``ConfigurationError``."""
    try:
        widths = msgspec.convert(options["family_info"].get("widths") or [], list[int])
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"settings: widths: {error}") from None
    pools = [c.pools for c in settings.classes if c.pools is not None]
    return RequestBounds(
        classes=frozenset(c.name for c in settings.classes),
        tenants=frozenset(c.name for c in settings.tenants),
        pools=frozenset(number for each in pools for number in each)
        if len(pools) == len(settings.classes)
        else None,
        max_width=max(widths) if widths else None,
    )


def read_settings(options: dict[str, Any]) -> api.Settings:
    """Return the settings of the decision module; unknown keys are ignored.

    Raises ``interface.SettingsError``, with the platform's name of the key.
    """
    try:
        return _decode_settings(options)
    except KeyError as missing:
        raise api.SettingsError(f"setting {missing.args[0]!r} is missing or unknown") from None
    except (TypeError, IndexError, AttributeError) as broken:
        raise api.SettingsError(f"settings are malformed: {broken}") from None


def _decode_settings(options: dict[str, Any]) -> api.Settings:
    rules, limits, family = options["rules"], options["ceilings"], options["family_info"]
    report = options["load_report"]
    classes = _decode_classes(options["profiles"], family)
    tenants = options.get("tenants") or ()
    return api.Settings(
        instances=options["instances"],
        classes=classes,
        rules=_decode_rules(rules, family),
        max_attempts=limits["most_tries"],
        tick_ms=options["tick_ms"],
        resend_ms=reported_or_none(family.get("resend_ms")) or None,
        tenants=tuple(api.Tenant(tenant["name"], tenant["quota_per_s"]) for tenant in tenants),
        over_quota_weight=options.get("over_share_worth", 1.0),
        reports=_REPORT_SOURCES[report["via"]],
        report_fields=tuple(REPORT_FIELDS[name] for name in report["names"] if name in REPORT_FIELDS),
        probes_allowed=limits["probes"],
        cancel_allowed=limits["cancel"],
        retry_after_max_ms=(reported_or_none(limits.get("max_retry_after_ms")) or None)
        if limits["retry_after"]
        else None,
    )


def _decode_classes(profiles: list[dict[str, Any]], family: dict[str, Any]) -> tuple[api.CallClass, ...]:
    pools, holds = family.get("skilled_pools"), family.get("class_hold_ms") or ()
    return tuple(
        api.CallClass(
            name=profile["name"],
            target_ms=profile["aim_ms"],
            deadline_ms=profile["deadline_ms"],
            weight=profile["worth"],
            late_weight=profile["late_worth"],
            pools=None if pools is None else tuple(pools[number]),
            hold_ms=holds[number] if number < len(holds) else None,
        )
        for number, profile in enumerate(profiles)
    )


def _decode_rules(rules: dict[str, Any], family: dict[str, Any]) -> api.Rules:
    return api.Rules(
        release_ms=family["clear_wait_ms"],
        drain_grace_ms=rules["stop_sending_within_ms"],
        answer_slack_ms=rules["answer_slack_ms"],
        cold_share=rules["cold_share"],
        warm_within_ms=rules["warm_within_ms"],
        overload_multiple=rules["tip_multiple"],
        overload_span_ms=rules["overload_for_ms"],
    )
