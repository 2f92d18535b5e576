"""Malformed SIP messages of a call server, one of each kind, for emulators and tests."""

from __future__ import annotations

import enum
import random

PADDING_BYTES = 1_000_000  # after a false length: as much as a peer may have in flight
RANDOM_BYTES = 4096
OVERSIZED_HEADER_BYTES = 20_000  # the limit for a message is 16 KiB
_FALSE_LENGTH_BYTES = 3_000_000_000


class UnreadableKind(enum.Enum):
    """The defect of an unreadable message."""

    FALSE_LENGTH = "false length"
    ENDLESS_HEADERS = "endless headers"
    LENGTH_GIVEN_TWICE = "length given twice"
    OTHER_VERSION = "other version"
    HEADERS_NOT_UTF8 = "headers not UTF-8"
    RANDOM = "random bytes"
    # The body stops short: the bytes received next are taken for the rest of it.
    INCOMPLETE = "incomplete"
    # The first byte of the message that follows is taken for the last one of the body.
    LENGTH_ONE_TOO_LARGE = "length one too large"


def unreadable_message(kind: UnreadableKind, call_id: str, seed: int = 0) -> bytes:
    """Return an unreadable answer (200 to INVITE) to a call's set-up.

    ``seed`` seeds the random bytes. No such answer ends with bytes that could begin another message.
    """
    answer = f"SIP/2.0 200 OK\r\nCall-ID: {call_id}\r\nCSeq: 1 INVITE\r\n".encode()
    match kind:
        case UnreadableKind.FALSE_LENGTH:
            return answer + b"Content-Length: %d\r\n\r\n" % _FALSE_LENGTH_BYTES + b"x" * PADDING_BYTES
        case UnreadableKind.ENDLESS_HEADERS:
            return answer + b"X-Note: " + b"x" * OVERSIZED_HEADER_BYTES
        case UnreadableKind.LENGTH_GIVEN_TWICE:
            return answer + b"Content-Length: 4\r\nContent-Length: 40\r\n\r\nbody"
        case UnreadableKind.OTHER_VERSION:
            return answer.replace(b"SIP/2.0", b"SIP/9.7") + b"Content-Length: 0\r\n\r\n"
        case UnreadableKind.HEADERS_NOT_UTF8:
            return answer + b"X-Note: \xff\xfe\xc0\r\nContent-Length: 0\r\n\r\n"
        case UnreadableKind.RANDOM:
            # Only bytes of 128 and above: another first byte might pass for the start of a message.
            return random.Random(seed).randbytes(RANDOM_BYTES).translate(bytes(range(128, 256)) * 2)
        case UnreadableKind.INCOMPLETE:
            return answer + b"Content-Length: 400\r\n\r\nthe body stops he"
        case UnreadableKind.LENGTH_ONE_TOO_LARGE:
            return answer + b"Content-Length: 7\r\n\r\nbody\r\n"
