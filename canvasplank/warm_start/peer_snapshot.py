"""The wire form of a peer's view: what one instance has learned of each call server, and when.

MessagePack through msgspec, with a version of its own, so that an instance of another release is refused
cleanly rather than misread.  Nothing here does any I/O: bytes in, a checked view out, or ``SnapshotError``.
"""

from __future__ import annotations

import struct
from typing import Annotated

import msgspec

from canvasplank import interface as api

FORMAT_VERSION = 1
VIEW_REQUEST = b"view\n"
LENGTH = struct.Struct(">I")
MAX_BYTES = 256 * 1024  # a view of some thousand servers fits; a larger one is no view of ours
MAX_SERVERS = 4096

NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class SnapshotError(ValueError):
    """A view that cannot be taken; the message says why, in one line."""


class ServerSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one instance has learned of one call server.

    ``observed_ms`` is the Unix millisecond of the latest observation behind the figures; ``None`` figures
    were never learned, which is not the same as zero.
    """

    instance_id: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    started_ms: NonNegative | None  # the start of the server process that was seen, as the list told it
    observed_ms: NonNegative = msgspec.field(name="learned_ms")
    rate_per_s: NonNegative | None = None  # set-ups a second it took after its last 'processor full'
    slow: bool = False  # its usual answer took as long as waiting does harm
    silent: bool = False  # it had stopped answering


class PeerSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole view, as of ``taken_ms`` on the peer's Unix clock."""

    version: int
    peer: Annotated[str, msgspec.Meta(max_length=128)]
    taken_ms: NonNegative
    servers: Annotated[list[ServerSnapshot], msgspec.Meta(max_length=MAX_SERVERS)]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerSnapshot)


def encode(snapshot: PeerSnapshot) -> bytes:
    """The bytes to send."""
    return _ENCODER.encode(snapshot)


def decode(data: bytes) -> PeerSnapshot:
    """A view from a peer, checked; guards against a truncated, oversized, malformed or foreign view."""
    if len(data) > MAX_BYTES:
        raise SnapshotError(f"a view of {len(data)} bytes, more than {MAX_BYTES}")
    try:
        snapshot = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"a view that cannot be read: {' '.join(str(error).split())}") from None
    if snapshot.version != FORMAT_VERSION:
        raise SnapshotError(f"a view of version {snapshot.version}, not {FORMAT_VERSION}")
    if any(server.observed_ms > snapshot.taken_ms for server in snapshot.servers):
        raise SnapshotError("a view that learned something after it was taken")
    return snapshot


def frame(data: bytes) -> bytes:
    """A view as the exporting side writes it."""
    return LENGTH.pack(len(data)) + data


def make_snapshot(peer: str, learned: list[api.LearnedServer], now_ms: float) -> PeerSnapshot:
    """A running instance's view, from what its module has learned (``Controller.learned_servers``)."""
    servers = [
        ServerSnapshot(
            each.server_id,
            each.started_ms,
            min(each.observed_ms, now_ms),
            each.rate_per_s,
            each.slow,
            each.silent,
        )
        for each in learned
    ]
    return PeerSnapshot(FORMAT_VERSION, peer, now_ms, servers)
