"""Messages of a call server that no reader of SIP can use, one of each kind, for emulators and tests."""

from __future__ import annotations

import enum
import random

PADDING_BYTES = 1_000_000  # behind a length that is false: as much as a peer may have on its way
RANDOM_BYTES = 4096
HEADERS_BYTES = 20_000  # more than the 16 KiB that a message may have
_FALSE_LENGTH = 3_000_000_000


class UnreadableKind(enum.Enum):
    """What is wrong with the message."""

    FALSE_LENGTH = "false length"
    ENDLESS_HEADERS = "endless headers"
    LENGTH_GIVEN_TWICE = "length given twice"
    OTHER_VERSION = "other version"
    HEADERS_NOT_UTF8 = "headers not UTF-8"
    RANDOM = "random bytes"
    INCOMPLETE = "incomplete"  # the body stops in the middle; what follows is taken for the rest


def unreadable_message(kind: UnreadableKind, call_id: str, seed: int = 0) -> bytes:
    """The bytes of an answer (200 to INVITE) of this call that cannot be read.

    ``seed`` draws the random bytes.  None of them ends with bytes that begin another message.
    """
    answer = f"SIP/2.0 200 OK\r\nCall-ID: {call_id}\r\nCSeq: 1 INVITE\r\n".encode()
    match kind:
        case UnreadableKind.FALSE_LENGTH:
            return answer + b"Content-Length: %d\r\n\r\n" % _FALSE_LENGTH + b"x" * PADDING_BYTES
        case UnreadableKind.ENDLESS_HEADERS:
            return answer + b"X-Note: " + b"x" * HEADERS_BYTES
        case UnreadableKind.LENGTH_GIVEN_TWICE:
            return answer + b"Content-Length: 4\r\nContent-Length: 40\r\n\r\nbody"
        case UnreadableKind.OTHER_VERSION:
            return answer.replace(b"SIP/2.0", b"SIP/9.7") + b"Content-Length: 0\r\n\r\n"
        case UnreadableKind.HEADERS_NOT_UTF8:
            return answer + b"X-Note: \xff\xfe\xc0\r\nContent-Length: 0\r\n\r\n"
        case UnreadableKind.RANDOM:
            # Of bytes that no message begins with, or the first might pass for the start of one.
            return random.Random(seed).randbytes(RANDOM_BYTES).translate(bytes(range(128, 256)) * 2)
        case UnreadableKind.INCOMPLETE:
            return answer + b"Content-Length: 400\r\n\r\nthe body stops he"
