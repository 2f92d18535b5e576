"""Events of service discovery, and the endpoint list that they add up to."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from canvasplank import interface as api


class Endpoint(msgspec.Struct, rename="camel"):
    """One call server, as service discovery describes it."""

    instance_id: str
    host_port: str
    lifecycle: str  # ``READY``, ``DRAINING`` or ``GONE``; anything else counts as draining
    cell: int = 0
    started_at_ms: float = 0  # Unix time of the start of its process; 0: long ago
    zone: str = ""


class EndpointListUpdate(msgspec.Struct):
    """A change of the endpoint list, or the complete list where ``reset`` is set."""

    instances: list[Endpoint]
    reset: bool = False


class DiscoveryEvent(msgspec.Struct):
    """One numbered event of service discovery."""

    rev: int
    pool: EndpointListUpdate | None = None


DISCOVERY_EVENT_DECODER = msgspec.json.Decoder(DiscoveryEvent)
READY, DRAINING, GONE = "ready", "draining", "gone"
_STATES = {
    READY: api.ServerState.READY,
    DRAINING: api.ServerState.DRAINING,
    GONE: api.ServerState.GONE,
}


def apply_event(instances: dict[str, Endpoint], event: DiscoveryEvent) -> None:
    """Apply one event to the endpoint list, by ``instanceId``."""
    if event.pool is None:
        return
    if event.pool.reset:
        instances.clear()
    for instance in event.pool.instances:
        if instance.lifecycle == GONE:
            instances.pop(instance.instance_id, None)
        else:
            instances[instance.instance_id] = instance


def apply_events(events: Iterable[DiscoveryEvent]) -> list[Endpoint]:
    """The endpoint list after these events."""
    instances: dict[str, Endpoint] = {}
    for event in events:
        apply_event(instances, event)
    return list(instances.values())


def to_server(instance: Endpoint) -> api.Server:
    """The endpoint as the decision module reads it; an unknown lifecycle counts as draining."""
    return api.Server(
        instance.instance_id,
        instance.cell,
        _STATES.get(instance.lifecycle, api.ServerState.DRAINING),
        instance.started_at_ms or None,
    )
