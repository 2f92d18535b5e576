"""The platform's settings, as the decision module, the network side and the simulator adapter read them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from canvasplank import interface as api
from canvasplank.config.configuration import ConfigurationError

_SOURCES = {
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
    """The figures in the settings that concern connections and tables, and not the decisions."""

    connect_timeout_ms: float
    conn_idle_ms: float
    max_open: int


class RequestBounds(msgspec.Struct, frozen=True):
    """What a set-up may ask for, by the settings: classes, pools and circuits.  None: they do not say."""

    classes: frozenset[str]
    tenants: frozenset[str]  # empty where the settings name none: then nothing is read of them
    pools: frozenset[int] | None
    max_width: int | None


class LoadReportReader:
    """Reads what servers tell of themselves, in the columns that the settings name.

    The first two are a group's free circuits and all its circuits, whatever the settings call them: a
    deployment may name them otherwise than another, and reading them by name left its servers without any.
    """

    def __init__(self, columns: Iterable[str]) -> None:
        self._columns = tuple(columns)
        self._free, self._size = (*self._columns, "", "")[:2]

    def circuits(self, figures: Mapping[str, float]) -> tuple[float, float] | None:
        """Free circuits and all circuits, where both are told."""
        free, size = known_or_none(figures.get(self._free)), known_or_none(figures.get(self._size))
        return None if free is None or size is None else (free, size)

    def report(self, figures: Mapping[str, float], wait_ms: float | None = None) -> api.Report | None:
        """The load figures that the library understands; others are passed over.

        ``wait_ms`` is a wait at the processor told elsewhere, taken where the figures hold none.
        """
        values = {
            REPORT_FIELDS[name].value: value
            for name in self._columns
            if name in REPORT_FIELDS and (value := known_or_none(figures.get(name))) is not None
        }
        if wait_ms is not None:
            values.setdefault(api.ReportField.WAIT_MS.value, wait_ms)
        return api.Report(**values) if values else None


def read_connection_limits(options: dict[str, Any]) -> ConnectionLimits:
    """The part of the settings that the network side goes by."""
    try:
        return msgspec.convert(options["ceilings"], ConnectionLimits)
    except (KeyError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"settings: ceilings: {error}") from None


def read_load_report_reader(options: dict[str, Any]) -> LoadReportReader:
    """The columns of servers' reports."""
    try:
        return LoadReportReader(msgspec.convert(options["load_report"]["names"], list[str]))
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"settings: load_report: {error}") from None


def read_request_bounds(settings: api.Settings, options: dict[str, Any]) -> RequestBounds:
    """The bounds that the network side holds a caller's set-up to."""
    pools = [c.pools for c in settings.classes]
    try:
        widths = msgspec.convert(options["family_info"].get("widths") or [], list[int])
    except msgspec.ValidationError as error:
        raise ConfigurationError(f"settings: widths: {error}") from None
    return RequestBounds(
        classes=frozenset(c.name for c in settings.classes),
        tenants=frozenset(c.name for c in settings.tenants),
        pools=None if None in pools else frozenset(number for each in pools for number in each),
        max_width=max(widths) if widths else None,
    )


def known_or_none(value: float | None) -> float | None:
    """A figure, or None where the wire leaves it out or says -1."""
    return None if value is None or value < 0 else value


def read_settings(options: dict[str, Any]) -> api.Settings:
    """The settings as the library names them; keys that it does not know are ignored."""
    try:
        rules, limits, family = options["rules"], options["ceilings"], options["family_info"]
        report = options["load_report"]
        pools, holds = family.get("skilled_pools"), family.get("class_hold_ms") or ()
        classes = tuple(
            api.CallClass(
                name=profile["name"],
                target_ms=profile["aim_ms"],
                deadline_ms=profile["deadline_ms"],
                weight=profile["worth"],
                late_weight=profile["late_worth"],
                pools=None if pools is None else tuple(pools[number]),
                hold_ms=holds[number] if number < len(holds) else None,
            )
            for number, profile in enumerate(options["profiles"])
        )
        return api.Settings(
            instances=options["instances"],
            classes=classes,
            rules=api.Rules(
                release_ms=family["clear_wait_ms"],
                drain_grace_ms=rules["stop_sending_within_ms"],
                answer_slack_ms=rules["answer_slack_ms"],
                cold_share=rules["cold_share"],
                warm_within_ms=rules["warm_within_ms"],
                overload_multiple=rules["tip_multiple"],
                overload_span_ms=rules["overload_for_ms"],
            ),
            max_attempts=limits["most_tries"],
            tick_ms=options["tick_ms"],
            resend_ms=known_or_none(family.get("resend_ms")) or None,
            tenants=tuple(
                api.Tenant(tenant["name"], tenant["quota_per_s"]) for tenant in options.get("tenants") or ()
            ),
            over_quota_weight=options.get("over_share_worth", 1.0),
            reports=_SOURCES[report["via"]],
            report_fields=tuple(REPORT_FIELDS[name] for name in report["names"] if name in REPORT_FIELDS),
            probes_allowed=limits["probes"],
            cancel_allowed=limits["cancel"],
            retry_after_max_ms=(known_or_none(limits.get("max_retry_after_ms")) or None)
            if limits["retry_after"]
            else None,
        )
    except KeyError as missing:
        raise api.SettingsError(f"setting {missing.args[0]!r} is missing or unknown") from None
    except (TypeError, IndexError, AttributeError) as broken:
        raise api.SettingsError(f"settings are malformed: {broken}") from None
