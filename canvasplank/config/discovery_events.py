"""Events of service discovery, and the endpoint list that results from them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from canvasplank import interface as api


class Endpoint(msgspec.Struct, rename="camel"):
    """A call server in service discovery."""

    instance_id: str
    host_port: str
    lifecycle: str  # ``READY``, ``DRAINING`` or ``GONE``; anything else counts as draining
    cell: int = 0
    started_at_ms: float = 0  # Unix time of the start of the server's process; 0: long ago
    zone: str = ""


class EndpointListUpdate(msgspec.Struct):
    """Changed endpoints, or the complete list if ``reset`` is set."""

    instances: list[Endpoint]
    reset: bool = False


class DiscoveryEvent(msgspec.Struct):
    """An event of service discovery; ``rev`` is its number."""

    rev: int
    pool: EndpointListUpdate | None = None


DISCOVERY_EVENT_DECODER = msgspec.json.Decoder(DiscoveryEvent)
READY, DRAINING, GONE = "ready", "draining", "gone"
_STATES = {
    READY: api.ServerState.READY,
    DRAINING: api.ServerState.DRAINING,
    GONE: api.ServerState.GONE,
}


def apply_event(endpoints: dict[str, Endpoint], event: DiscoveryEvent) -> None:
    """Apply an event to the endpoint list, a dictionary by ``instance_id``."""
    if event.pool is None:
        return
    if event.pool.reset:
        endpoints.clear()
    for endpoint in event.pool.instances:
        if endpoint.lifecycle == GONE:
            endpoints.pop(endpoint.instance_id, None)
        else:
            endpoints[endpoint.instance_id] = endpoint


def apply_events(events: Iterable[DiscoveryEvent]) -> list[Endpoint]:
    """Return the endpoint list that results from these events."""
    endpoints: dict[str, Endpoint] = {}
    for event in events:
        apply_event(endpoints, event)
    return list(endpoints.values())


def to_server(endpoint: Endpoint) -> api.Server:
    """Return the endpoint in the decision module's form; an unknown lifecycle counts as draining."""
    return api.Server(
        endpoint.instance_id,
        endpoint.cell,
        _STATES.get(endpoint.lifecycle, api.ServerState.DRAINING),
        endpoint.started_at_ms or None,
    )
