"""The kept list as it lies on disk: JSON, since operators read it too, with a version and within bounds."""

from __future__ import annotations

from typing import Annotated

import msgspec

from canvasplank.config.discovery_events import Endpoint

VERSION = 1
MOST_BYTES = 8 * 1024 * 1024
MOST_SERVERS = 20_000
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class KeptError(ValueError):
    """A list that cannot be used; the message says why, in one line."""


class KeptServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call server, as the board told it."""

    instance_id: Text
    host_port: Text
    lifecycle: Text
    cell: int = 0
    started_at_ms: Annotated[float, msgspec.Meta(ge=0, le=1e15)] = 0

    def instance(self) -> Endpoint:
        """As a notice names it."""
        return Endpoint(self.instance_id, self.host_port, self.lifecycle, self.cell, self.started_at_ms)


class KeptList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The folded list, true as of a time on the Unix clock."""

    version: int
    as_of_ms: Annotated[float, msgspec.Meta(ge=0, le=1e15)]
    servers: Annotated[list[KeptServer], msgspec.Meta(max_length=MOST_SERVERS)]


_DECODER = msgspec.json.Decoder(KeptList)


def encode(kept: KeptList) -> bytes:
    """The file's bytes."""
    return msgspec.json.format(msgspec.json.encode(kept), indent=1) + b"\n"


def decode(data: bytes) -> KeptList:
    """A list, checked; guards against a file cut short, spoilt or of another version."""
    if len(data) > MOST_BYTES:
        raise KeptError(f"more than {MOST_BYTES} bytes")
    try:
        kept = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise KeptError(f"cannot be read: {' '.join(str(error).split())}") from None
    if kept.version != VERSION:
        raise KeptError(f"of version {kept.version}, not {VERSION}")
    if len({server.instance_id for server in kept.servers}) != len(kept.servers):
        raise KeptError("names a server twice")
    return kept
