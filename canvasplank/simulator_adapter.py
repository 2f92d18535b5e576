"""The simulator's adapter: many controllers behind its JSON lines on standard input and output.

It frames messages, maps them to and from :mod:`canvasplank.interface`, and flushes.  It decides nothing.  A
broken frame ends it with one line on standard error and exit status 2.
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
_WAS_CUT = 16
# A note holds a reason in its low bits, and may hold the wait at the processor (ms) above them.
_NOTE_BITS = 4
_NOTE_MASK = 15
_NOTE_PROCESSOR_FULL = 3
_NOTE_NUMBER_BUSY = 4


class WireError(Exception):
    """The other side broke the framing, or named something that it never introduced."""


@dataclass(frozen=True, slots=True)
class _Instance:
    """One controller, and what reads the load figures of its deployment."""

    controller: Controller
    columns: tuple[str, ...]
    load_reports: LoadReportReader


class ControllerHost:
    """Many controllers, with nothing in common, behind one wire."""

    def __init__(self) -> None:
        self._instances: dict[int, _Instance] = {}
        self._lists: dict[int, tuple[api.Server, ...]] = {}
        self._readers: dict[str, Callable[[list[Any]], api.Event | None]] = {
            "update": self._update,
            "request": self._request,
            "head_received": lambda m: api.Established(m[2], m[3], m[5], m[4]),
            "settled": self._settled,
            "hangup": lambda m: api.CallAbandoned(m[2]),
            "ring": lambda m: api.TimerFired(m[2]),
            "echo": self._echo,
            "peer": lambda m: None,
        }

    def batch(self, now_ms: float, messages: list[list[Any]]) -> Iterator[list[Any]]:
        """Handle the events of one batch, and give back the actions, in the wire's form.

        Raises ``WireError`` for a message or an instance that is unknown.
        """
        for message in messages:
            name = message[0]
            instance = message[1]
            if name == "sheet":
                self._lists[instance] = tuple(self._entry(entry) for entry in message[2])
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
            except KeyError as unknown:
                raise WireError(f"{name!r} for instance {instance!r}: unknown {unknown.args[0]!r}") from None
            except api.SettingsError as error:
                yield ["give_in", instance, str(error)]
                continue
            yield from self._handle(controller, reader, now_ms, message)

    def _configure(self, message: list[Any]) -> None:
        _, instance, seed, options = message
        settings = read_settings(options)
        columns = tuple(options["load_report"]["names"])
        load_reports = read_load_report_reader(options)
        self._instances[instance] = _Instance(Controller(settings, seed), columns, load_reports)

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
        except Exception as error:  # the wire has a message for a module that failed, with the cause
            yield ["give_in", instance, f"{type(error).__name__} on {name}: {error}"]
            return
        for action in actions:
            yield _encode(instance, action)

    def _entry(self, entry: list[Any]) -> api.Server:
        server, _zone, _kind, pool, phase, _units, born = entry
        return api.Server(server, pool, _STATES[phase], reported_or_none(born) or None)

    def _update(self, message: list[Any]) -> api.Event | None:
        if message[3] == "failed":
            return None
        return api.ServerList(_LIST_KINDS[message[3]], self._lists[message[2]])

    def _request(self, message: list[Any]) -> api.Event:
        _, _, call, gives_up, _units, flags, _cost, _advice, number, tenant, class_name, pool = message
        flags = flags or 0
        return api.Call(
            id=call,
            class_name=class_name,
            expires_ms=gives_up,
            preferred_pool=pool,
            tenant=tenant or None,
            number=number,
            redialled=bool(flags & _REDIALLED),
            replaces_cut_call=bool(flags & _WAS_CUT),
        )

    def _settled(self, message: list[Any]) -> api.Event:
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
            report=self._report(instance, row, wait_ms or None),
        )

    def _echo(self, message: list[Any]) -> api.Event | None:
        """The answer to a probe, or the free circuits, which come unasked and in no time."""
        _, instance, server, code, waited, row = message
        report = self._report(instance, row)
        if waited or report is not None or code != "GOOD":
            return api.ProbeAnswered(server, code == "GOOD", report)
        circuits = self._instances[instance].load_reports.circuits(self._reported(instance, row))
        return None if circuits is None else api.CircuitsReported(server, *circuits)

    def _reported(self, instance: int, row: list[float | None] | None) -> dict[str, float | None]:
        return dict(zip(self._instances[instance].columns, row or (), strict=False))

    def _report(
        self, instance: int, row: list[float | None] | None, wait_ms: float | None = None
    ) -> api.Report | None:
        return self._instances[instance].load_reports.report(self._reported(instance, row), wait_ms)


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
    """The next batch, or None at the end of input between two batches."""
    first = next(lines, None)
    if first is None:
        return None
    match _parse(first):
        case ["sync", int() | float() as now_ms, int() as number]:
            messages: list[list[Any]] = []
        case opening:
            raise WireError(f"a batch begins with 'sync', its time and its number, not with {opening!r}")
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


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    host = ControllerHost()
    lines = iter(source)
    while (batch := _read_batch(lines)) is not None:
        now_ms, number, messages = batch
        reply = list(host.batch(now_ms, messages))
        reply.append(["finished", number])
        sink.write("".join(json.dumps(line, separators=(",", ":")) + "\n" for line in reply))
        sink.flush()


def main() -> int:
    """Run on standard input and output."""
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, LookupError, TypeError, ValueError) as error:
        print(f"canvasplank.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
