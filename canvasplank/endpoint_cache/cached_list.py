"""The file format of the cached endpoint list: versioned JSON of bounded size.

JSON because operators read and write the file, too.  No I/O here: bytes in, a checked list out.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.discovery_events import Endpoint

FORMAT_VERSION = 1
MAX_BYTES = 8 * 1024 * 1024  # 20,000 endpoints are 3.2 MB
MAX_ENDPOINTS = 20_000
MAX_UNIX_MS = 1e15  # some 30,000 years: bounds the type, not the time
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
UnixMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class CachedListError(ValueError):
    """A cached list that cannot be used; the message is one line."""


class CachedEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call server, as service discovery last described it."""

    instance_id: Text
    host_port: Text
    lifecycle: Text
    cell: int = 0
    started_at_ms: UnixMs = 0  # 0: not known

    def to_endpoint(self) -> Endpoint:
        """The same call server as an entry of a discovery event (the file holds no zone)."""
        return Endpoint(self.instance_id, self.host_port, self.lifecycle, self.cell, self.started_at_ms)


class CachedEndpointList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete endpoint list, which was true at ``as_of_ms`` on the Unix clock."""

    version: int
    as_of_ms: UnixMs
    endpoints: Annotated[list[CachedEndpoint], msgspec.Meta(max_length=MAX_ENDPOINTS)] = msgspec.field(
        name="servers"
    )


_DECODER = msgspec.json.Decoder(CachedEndpointList)


def encode(cached: CachedEndpointList) -> bytes:
    """The file's content."""
    return msgspec.json.format(msgspec.json.encode(cached), indent=1) + b"\n"


def decode(data: bytes) -> CachedEndpointList:
    """The list in a file's content.

    Raises ``CachedListError`` where the content is too large, truncated, malformed, of another version, or
    names an endpoint twice.
    """
    if len(data) > MAX_BYTES:
        raise CachedListError(f"more than {MAX_BYTES} bytes")
    try:
        cached = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CachedListError(f"cannot be read: {' '.join(str(error).split())}") from error
    if cached.version != FORMAT_VERSION:
        raise CachedListError(f"of version {cached.version}, not {FORMAT_VERSION}")
    if len({endpoint.instance_id for endpoint in cached.endpoints}) != len(cached.endpoints):
        raise CachedListError("names a server twice")
    return cached
