"""Events of service discovery, and the endpoint list that they add up to."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from canvasplank import interface as api


class Endpoint(msgspec.Struct, rename="camel"):
    """One call server, as a notice names it."""

    instance_id: str
    host_port: str
    lifecycle: str
    cell: int = 0
    started_at_ms: float = 0
    zone: str = ""


class EndpointListUpdate(msgspec.Struct):
    """What a notice tells of the list: the whole list when ``reset`` is set, else what has changed."""

    instances: list[Endpoint]
    reset: bool = False


class DiscoveryEvent(msgspec.Struct):
    """One numbered event of the notice board."""

    rev: int
    pool: EndpointListUpdate | None = None


DISCOVERY_EVENT_DECODER = msgspec.json.Decoder(DiscoveryEvent)
_STATES = {
    "ready": api.ServerState.READY,
    "draining": api.ServerState.DRAINING,
    "gone": api.ServerState.GONE,
}


def apply_event(instances: dict[str, Endpoint], event: DiscoveryEvent) -> None:
    """Take one event of the board into the list."""
    if event.pool is None:
        return
    if event.pool.reset:
        instances.clear()
    for instance in event.pool.instances:
        if instance.lifecycle == "gone":
            instances.pop(instance.instance_id, None)
        else:
            instances[instance.instance_id] = instance


def endpoints_after(events: Iterable[DiscoveryEvent]) -> list[Endpoint]:
    """The list as it stands after these events."""
    instances: dict[str, Endpoint] = {}
    for event in events:
        apply_event(instances, event)
    return list(instances.values())


def to_server(instance: Endpoint) -> api.Server:
    """The entry as the module reads it; an unknown state counts as draining: nothing new goes there."""
    return api.Server(
        instance.instance_id,
        instance.cell,
        _STATES.get(instance.lifecycle, api.ServerState.DRAINING),
        instance.started_at_ms or None,
    )
