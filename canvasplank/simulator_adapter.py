"""Adapter to the simulator: many controllers, driven by JSON lines on standard input and output.

It maps messages to and from :mod:`canvasplank.interface` and makes no decisions.  A malformed frame ends the
process with one line on standard error and exit status 2.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TextIO

from canvasplank import interface as api
from canvasplank.config.platform_settings import (
    LoadReportReader,
    read_load_report_reader,
    read_settings,
    reported_or_none,
)
from canvasplank.policy import Controller

_OUTCOMES = {
    "GOOD": api.Outcome.ENDED,
    "BAD": api.Outcome.ERROR,
    "FULL": api.Outcome.FULL,
    "LATE": api.Outcome.TIMED_OUT,
    "NOCONN": api.Outcome.NO_CONNECTION,
    "RST": api.Outcome.RESET,
    "CXL": api.Outcome.CANCELLED,
    "NOP": api.Outcome.NOT_SENT,
}
_STATES = {
    "on": api.ServerState.READY,
    "fading": api.ServerState.DRAINING,
    "off": api.ServerState.GONE,
}
_LIST_KINDS = {
    "delta": api.ListKind.CHANGES,
    "full": api.ListKind.COMPLETE,
    "cached": api.ListKind.CACHED,
}
# Bits of a request's flags.
_REDIALLED = 2
_REPLACES_CUT_CALL = 16
# A note holds a reason in its low bits, and may hold the wait at the processor (ms) above them.
_NOTE_BITS = 4
_NOTE_MASK = 15
_NOTE_PROCESSOR_FULL = 3
_NOTE_NUMBER_BUSY = 4


class WireError(Exception):
    """The simulator sent a malformed frame, or an unknown message or instance."""


@dataclass(frozen=True, slots=True)
class _Instance:
    """One controller, and the reader for the load reports of its deployment."""

    controller: Controller
    report_columns: tuple[str, ...]
    load_reports: LoadReportReader


class ControllerHost:
    """Independent controllers on one connection."""

    def __init__(self) -> None:
        self._instances: dict[int, _Instance] = {}
        self._lists: dict[int, tuple[api.Server, ...]] = {}
        self._readers: dict[str, Callable[[list[Any]], api.Event | None]] = {
            "update": self._read_update,
            "request": self._read_request,
            "head_received": lambda m: api.Established(m[2], m[3], m[5], m[4]),
            "settled": self._read_settled,
            "hangup": lambda m: api.CallAbandoned(m[2]),
            "ring": lambda m: api.TimerFired(m[2]),
            "echo": self._read_echo,
            "peer": lambda m: None,
        }

    def handle_batch(self, now_ms: float, messages: list[list[Any]]) -> Iterator[list[Any]]:
        """Handle the events of one batch; yield the actions as messages.

        Raises ``WireError`` for an unknown message or instance.
        """
        for message in messages:
            name = message[0]
            instance = message[1]
            if name == "sheet":
                self._lists[instance] = tuple(self._read_server(entry) for entry in message[2])
                continue
            try:
                if name == "configure":
                    self._configure(message)
                    continue
                if name == "shutdown":
                    del self._instances[instance]
                    continue
                controller = self._instances[instance].controller
                reader = self._readers[name]
            except KeyError as error:
                raise WireError(f"{name!r} for instance {instance!r}: unknown {error.args[0]!r}") from None
            except api.SettingsError as error:
                yield ["give_in", instance, str(error)]
                continue
            yield from self._handle(controller, reader, now_ms, message)

    def _configure(self, message: list[Any]) -> None:
        _, instance, seed, options = message
        settings = read_settings(options)
        report_columns = tuple(options["load_report"]["names"])
        load_reports = read_load_report_reader(options)
        self._instances[instance] = _Instance(Controller(settings, seed), report_columns, load_reports)

    def _handle(
        self,
        controller: Controller,
        reader: Callable[[list[Any]], api.Event | None],
        now_ms: float,
        message: list[Any],
    ) -> Iterator[list[Any]]:
        event = reader(message)
        if event is None:
            return
        name, instance = message[:2]
        try:
            actions = controller.handle(now_ms, event)
        except Exception as error:  # reported to the simulator, with its cause
            yield ["give_in", instance, f"{type(error).__name__} on {name}: {error}"]
            return
        for action in actions:
            yield _encode(instance, action)

    def _read_server(self, entry: list[Any]) -> api.Server:
        server, _zone, _kind, pool, state, _units, started_ms = entry
        return api.Server(server, pool, _STATES[state], reported_or_none(started_ms) or None)

    def _read_update(self, message: list[Any]) -> api.Event | None:
        if message[3] == "failed":
            return None
        return api.ServerList(_LIST_KINDS[message[3]], self._lists[message[2]])

    def _read_request(self, message: list[Any]) -> api.Event:
        _, _, call, expires_ms, _units, flags, _cost, _advice, number, tenant, class_name, pool = message
        flags = flags or 0
        return api.Call(
            id=call,
            class_name=class_name,
            expires_ms=expires_ms,
            preferred_pool=pool,
            tenant=tenant or None,
            number=number,
            redialled=bool(flags & _REDIALLED),
            replaces_cut_call=bool(flags & _REPLACES_CUT_CALL),
        )

    def _read_settled(self, message: list[Any]) -> api.Event:
        _, instance, call, attempt, server, code, _waited, finished, note, row = message
        reason = (note or 0) & _NOTE_MASK
        wait_ms = (note or 0) >> _NOTE_BITS
        return api.AttemptEnded(
            call_id=call,
            attempt=attempt,
            server_id=server,
            outcome=_OUTCOMES[code],
            finished=bool(finished),
            processor_full=code == "FULL" and reason == _NOTE_PROCESSOR_FULL,
            number_busy=code == "BAD" and reason == _NOTE_NUMBER_BUSY,
            report=self._read_report(instance, row, wait_ms or None),
        )

    def _read_echo(self, message: list[Any]) -> api.Event | None:
        """Read an answer to a probe, or a report of circuits, which comes unsolicited and without a wait."""
        _, instance, server, code, waited, row = message
        report = self._read_report(instance, row)
        if waited or report is not None or code != "GOOD":
            return api.ProbeAnswered(server, code == "GOOD", report)
        circuits = self._instances[instance].load_reports.circuits(self._report_values(instance, row))
        return None if circuits is None else api.CircuitsReported(server, *circuits)

    def _report_values(self, instance: int, row: list[float | None] | None) -> dict[str, float | None]:
        return dict(zip(self._instances[instance].report_columns, row or (), strict=False))

    def _read_report(
        self, instance: int, row: list[float | None] | None, wait_ms: float | None = None
    ) -> api.Report | None:
        return self._instances[instance].load_reports.report(self._report_values(instance, row), wait_ms)


def _encode(instance: int, action: api.Action) -> list[Any]:
    match action:
        case api.SetUp(call, server, timeout):
            return ["deliver", instance, call, server, timeout]
        case api.Cancel(call, attempt):
            return ["undo_send", instance, call, attempt]
        case api.Refuse(call, retry_after):
            return ["busy", instance, call, retry_after]
        case api.Fail(call):
            return ["surrender", instance, call]
        case api.SetTimer(after, token):
            return ["set_alarm", instance, after, token]
        case api.Probe(server):
            return ["ping", instance, server]
        case api.Log(text):
            return ["note_down", instance, text]


def _read_batch(lines: Iterator[str]) -> tuple[float, int, list[list[Any]]] | None:
    """Read the next batch; return None at the end of input between two batches."""
    first = next(lines, None)
    if first is None:
        return None
    match _parse(first):
        case ["sync", int() | float() as now_ms, int() as number]:
            messages: list[list[Any]] = []
        case other:
            raise WireError(f"expected 'sync' with the time and number of a batch, got {other!r}")
    for line in lines:
        message = _parse(line)
        if message[0] == "end":
            return now_ms, number, messages
        messages.append(message)
    raise WireError(f"input ended inside batch {number}")


def _parse(line: str) -> list[Any]:
    try:
        message = json.loads(line)
    except ValueError:
        raise WireError(f"not JSON: {line.strip()[:80]!r}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise WireError(f"not a message: {line.strip()[:80]!r}")
    return message


def serve(input_stream: TextIO, output_stream: TextIO) -> None:
    """Answer the batches read from ``input_stream`` on ``output_stream`` until the input ends."""
    host = ControllerHost()
    lines = iter(input_stream)
    while (batch := _read_batch(lines)) is not None:
        now_ms, number, messages = batch
        reply = list(host.handle_batch(now_ms, messages))
        reply.append(["finished", number])
        output_stream.write("".join(json.dumps(line, separators=(",", ":")) + "\n" for line in reply))
        output_stream.flush()


def main() -> int:
    """Run on standard input and output; return the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, LookupError, TypeError, ValueError) as error:
        print(f"canvasplank.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
