"""The wire form of a peer's view: what one instance has learned of each call server, and when.

MessagePack through msgspec, with a version of its own, so that an instance of another release is refused
cleanly rather than misread.  Nothing here does any I/O: bytes in, a checked view out, or ``ViewError``.
"""

from __future__ import annotations

import struct
from typing import Annotated

import msgspec

from canvasplank import interface as api

VERSION = 1
ASK = b"view\n"
LENGTH = struct.Struct(">I")
MOST_BYTES = 256 * 1024  # a view of some thousand servers fits; a larger one is no view of ours
MOST_SERVERS = 4096

Finite = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class ViewError(ValueError):
    """A view that cannot be taken; the message says why, in one line."""


class Learned(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one instance has learned of one call server.

    ``learned_ms`` is the Unix millisecond of the latest observation behind the figures; ``None`` figures were
    never learned, which is not the same as zero.
    """

    instance_id: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    started_ms: Finite | None  # the start of the server process that was seen, as the list told it
    learned_ms: Finite
    rate_per_s: Finite | None = None  # set-ups a second it took after its last 'processor full'
    slow: bool = False  # its usual answer took as long as waiting does harm
    silent: bool = False  # it had stopped answering


class PeerView(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole view, as of ``taken_ms`` on the peer's Unix clock."""

    version: int
    peer: Annotated[str, msgspec.Meta(max_length=128)]
    taken_ms: Finite
    servers: Annotated[list[Learned], msgspec.Meta(max_length=MOST_SERVERS)]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerView)


def encode(view: PeerView) -> bytes:
    """The bytes to send."""
    return _ENCODER.encode(view)


def decode(data: bytes) -> PeerView:
    """A view from a peer, checked; guards against a truncated, oversized, malformed or foreign view."""
    if len(data) > MOST_BYTES:
        raise ViewError(f"a view of {len(data)} bytes, more than {MOST_BYTES}")
    try:
        view = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise ViewError(f"a view that cannot be read: {' '.join(str(error).split())}") from None
    if view.version != VERSION:
        raise ViewError(f"a view of version {view.version}, not {VERSION}")
    if any(server.learned_ms > view.taken_ms for server in view.servers):
        raise ViewError("a view that learned something after it was taken")
    return view


def framed(data: bytes) -> bytes:
    """A view as the exporting side writes it."""
    return LENGTH.pack(len(data)) + data


def exported(peer: str, learned: list[api.LearnedServer], now_ms: float) -> PeerView:
    """A running instance's view, from what its module has learned (``Controller.learned_servers``)."""
    servers = [
        Learned(
            each.server_id,
            each.started_ms,
            min(each.observed_ms, now_ms),
            each.rate_per_s,
            each.slow,
            each.silent,
        )
        for each in learned
    ]
    return PeerView(VERSION, peer, now_ms, servers)
