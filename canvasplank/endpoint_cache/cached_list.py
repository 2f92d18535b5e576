"""The kept list as it lies on disk: JSON, since operators read it too, with a version and within bounds."""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.discovery_events import Endpoint

FORMAT_VERSION = 1
MAX_BYTES = 8 * 1024 * 1024
MAX_ENDPOINTS = 20_000
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class CachedListError(ValueError):
    """A list that cannot be used; the message says why, in one line."""


class CachedEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call server, as the board told it."""

    instance_id: Text
    host_port: Text
    lifecycle: Text
    cell: int = 0
    started_at_ms: Annotated[float, msgspec.Meta(ge=0, le=1e15)] = 0

    def to_endpoint(self) -> Endpoint:
        """As a notice names it."""
        return Endpoint(self.instance_id, self.host_port, self.lifecycle, self.cell, self.started_at_ms)


class CachedEndpointList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The folded list, true as of a time on the Unix clock."""

    version: int
    as_of_ms: Annotated[float, msgspec.Meta(ge=0, le=1e15)]
    endpoints: Annotated[list[CachedEndpoint], msgspec.Meta(max_length=MAX_ENDPOINTS)] = msgspec.field(
        name="servers"
    )


_DECODER = msgspec.json.Decoder(CachedEndpointList)


def encode(cached: CachedEndpointList) -> bytes:
    """The file's bytes."""
    return msgspec.json.format(msgspec.json.encode(cached), indent=1) + b"\n"


def decode(data: bytes) -> CachedEndpointList:
    """A list, checked; guards against a file cut short, spoilt or of another version."""
    if len(data) > MAX_BYTES:
        raise CachedListError(f"more than {MAX_BYTES} bytes")
    try:
        cached = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CachedListError(f"cannot be read: {' '.join(str(error).split())}") from None
    if cached.version != FORMAT_VERSION:
        raise CachedListError(f"of version {cached.version}, not {FORMAT_VERSION}")
    if len({endpoint.instance_id for endpoint in cached.endpoints}) != len(cached.endpoints):
        raise CachedListError("names a server twice")
    return cached
