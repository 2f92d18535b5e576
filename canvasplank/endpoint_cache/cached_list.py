"""The file format of the cached endpoint list: versioned JSON of bounded size.

The format is JSON because operators read and write the file, too.  This module does no I/O.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.discovery_events import Endpoint

FORMAT_VERSION = 1
MAX_BYTES = 8 * 1024 * 1024  # 20,000 endpoints are 3.2 MB
MAX_ENDPOINTS = 20_000
MAX_UNIX_MS = 1e15  # about 30,000 years; rejects malformed values only
ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
UnixMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class CachedListError(ValueError):
    """A cached list cannot be used; the message is one line."""


class CachedEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call server, as service discovery last described it."""

    instance_id: ShortText
    host_port: ShortText
    lifecycle: ShortText
    cell: int = 0
    started_at_ms: UnixMs = 0  # 0: unknown

    def to_endpoint(self) -> Endpoint:
        """Return the call server as in a discovery event, but without its zone, which is not cached."""
        return Endpoint(self.instance_id, self.host_port, self.lifecycle, self.cell, self.started_at_ms)


class CachedEndpointList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete endpoint list, last known to be current at ``as_of_ms`` on the Unix clock."""

    version: int
    as_of_ms: UnixMs
    endpoints: Annotated[list[CachedEndpoint], msgspec.Meta(max_length=MAX_ENDPOINTS)] = msgspec.field(
        name="servers"
    )


_DECODER = msgspec.json.Decoder(CachedEndpointList)


def encode(cached: CachedEndpointList) -> bytes:
    """Return the content of the cache file for a list."""
    return msgspec.json.format(msgspec.json.encode(cached), indent=1) + b"\n"


def decode(data: bytes) -> CachedEndpointList:
    """Return the list in the content of a cache file.

    Raises ``CachedListError`` if the content is too large, truncated, malformed, of another format version,
    or contains an endpoint twice.
    """
    if len(data) > MAX_BYTES:
        raise CachedListError(f"more than {MAX_BYTES} bytes")
    try:
        cached = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CachedListError(f"cannot be read: {' '.join(str(error).split())}") from error
    if cached.version != FORMAT_VERSION:
        raise CachedListError(f"format version {cached.version}, not {FORMAT_VERSION}")
    if len({endpoint.instance_id for endpoint in cached.endpoints}) != len(cached.endpoints):
        raise CachedListError("contains an instance id twice")
    return cached
