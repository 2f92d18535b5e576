"""Codecs: the result does not depend on how the bytes are split, and errors give their reason."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from canvasplank.codecs import isup, sip, sse
from canvasplank.codecs.errors import MAX_MESSAGE_BYTES, BadMessageError
from canvasplank.codecs.sip_recovery import MessageFinder
from canvasplank.network import server_messages
from emulators.unreadable_messages import UnreadableKind, unreadable_message

ID = "9e847923b2a4a452"
ISUP = isup.answer(ID, b"v=0") + isup.release(ID, 42) + isup.release_confirmed(ID)
SIP = (
    sip.request("INVITE", "7f3a", ID, 1, {"X-Tier": "voice"}, b"a\r\n\r\nb")
    + b"\r\n"
    + b"SIP/2.0 503 Full\r\ncall-id: x\r\nCSeq: 12 INVITE\r\nX-Outcome: cpu_full\r\nContent-Length: 0\r\n\r\n"
    + b"BYE sip:x@net SIP/2.0\r\nCall-ID: y\r\nReason: Q.850;cause=41\r\nContent-Length:0\r\n\r\n"
)
EVENTS = b": a comment\n\nid: 7\ndata: one\ndata: two\n\nid:8\r\ndata:\xc5\x91\r\n\r\n"
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + EVENTS
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
    b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (EVENTS[:5], EVENTS[5:30], EVENTS[30:])
)
STREAMS = [(isup.Parser, ISUP), (sip.Parser, SIP), (sse.Parser, PLAIN), (sse.Parser, CHUNKED)]


def parse(parser_class, data: bytes, cuts=()) -> list:
    """Return all messages in ``data``, fed in pieces that end at ``cuts``."""
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    parser = parser_class()
    return [m for a, b in itertools.pairwise(edges) for m in parser.feed(memoryview(data)[a:b])]


@pytest.mark.parametrize(("parser", "data"), STREAMS)
@given(cuts=st.lists(st.integers(0, 10_000), max_size=12))
def test_messages_do_not_depend_on_the_split(parser, data, cuts):
    assert parse(parser, data, cuts) == parse(parser, data)


def test_messages_are_parsed():
    answer, release, confirmed = parse(isup.Parser, ISUP)
    assert (answer.call_id, answer.parameters[isup.Parameter.DESCRIPTION], release.cause) == (ID, b"v=0", 42)
    assert confirmed.kind == isup.Kind.RELEASE_CONFIRMED
    invite, full, bye = parse(sip.Parser, SIP)
    assert (invite.method, invite.call_id, invite.sequence, invite.body) == ("INVITE", ID, 1, b"a\r\n\r\nb")
    assert (full.method, full.status, full.sequence) == ("INVITE", 503, 12)
    assert full.headers["x-outcome"] == "cpu_full"
    assert (bye.status, bye.cause) == (0, 41)
    for data in (PLAIN, CHUNKED):
        assert parse(sse.Parser, data) == [sse.Event("7", "one\ntwo"), sse.Event("8", "\u0151")]


@pytest.mark.parametrize(
    ("parser", "data", "message"),
    [
        (isup.Parser, b"\x00\x03\x01AB", "length 3 is not between"),
        (isup.Parser, b"\x40\x00\x01", "length 16384 is not between"),
        (isup.Parser, b"\x00\x0b\x01AAAAAAAA\x64\x00", "parameter at byte 11 is truncated"),
        (
            isup.Parser,
            b"\x00\x0c\x01AAAAAAAA\x64\x00\x05",
            "parameter 100 has length 5, but 0 bytes are left",
        ),
        (sip.Parser, b"HELLO\r\n\r\n", "Content-Length is missing"),
        (sip.Parser, b"HELLO\r\nContent-Length: 0\r\n\r\n", "not a start line"),
        (sip.Parser, b"BYE sip:x SIP/2.0\r\nContent-Length: -1\r\n\r\n", "is not a number"),
        (sip.Parser, b"BYE sip:x SIP/2.0\r\nno colon\r\n\r\n", "not a header"),
        (
            sip.Parser,
            b"BYE sip:x SIP/2.0\r\nContent-Length: 16384\r\n\r\n",
            f"longer than {MAX_MESSAGE_BYTES} bytes",
        ),
        (sip.Parser, b"SIP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", "has no method"),
        (sip.Parser, "SIP/2.0 \u00b200 X\r\nContent-Length: 0\r\n\r\n".encode(), "not a start line"),
        (sip.Parser, b"BYE " + b"X" * MAX_MESSAGE_BYTES, "headers do not end"),
        (sip.Parser, b"X", "not the start of a message"),
        (sip.Parser, b"YE sip:x SIP/2.0\r\n", "not the start of a message"),
        (sip.Parser, b"YE sip:x SIP/2.0\r\nContent-Length: 0\r\n\r\n", "not a start line"),
        (sip.Parser, b"\xff\r\n\r\n", "not UTF-8"),
        (sip.Parser, b"\xffnoise", "not the start of a message"),
        (sip.Parser, b"SIP/2.1", "not the start of a message"),
        (sip.Parser, b"BYE sip:x SIP/2.0\r\nX: \x07\r\n\r\n", "control characters"),
        (sip.Parser, b"BYE sip:x SIP/2.0\r\nContent-Length: 0000000000005\r\n\r\n", "is not a number"),
        (sse.Parser, b"HTTP/1.1 503 Busy\r\n\r\n", "not a successful response"),
        (sse.Parser, CHUNKED.replace(b"chunked\r\n\r\n", b"chunked\r\n\r\nzz\r\n"), "chunk length"),
        (sse.Parser, CHUNKED.replace(b"chunked\r\n\r\n", b"chunked\r\n\r\n-5\r\n"), "chunk length"),
        (sse.Parser, b"HTTP/1.1 200 OK\r\n\r\n" + b"data: x\n" * 300_000, "event is longer"),
        (sse.Parser, b"HTTP/1.1 200 OK\r\n\r\n" + b"data:\n" * 300_000, "event is longer"),
    ],
)
def test_the_error_of_a_bad_message_gives_the_reason(parser, data, message):
    with pytest.raises(BadMessageError, match=message):
        parse(parser, data)


@pytest.mark.parametrize("size", [1, 2, 3, 1000])
def test_the_rest_of_an_oversized_event_is_discarded(size):
    """If the size limit is exceeded just before a line's end, the line's rest must not end the event."""
    parser = sse.Parser()
    with pytest.raises(sse.OversizedEventError, match="event is longer") as raised:
        list(parser.feed(b"HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: " + b"x" * 300_000))
    assert raised.value.event_id == "2"
    rest = b"\r\ndata: y\n" + b"data: " + b"z" * 300_000 + b"\n\nid: 3\ndata: {}\n\n"
    beginning, rest = rest[:300_000], rest[300_000:]
    pieces = [beginning[:1], beginning[1:]] + [rest[at : at + size] for at in range(0, len(rest), size)]
    assert [event for piece in pieces for event in parser.feed(piece)] == [sse.Event("3", "{}")]
    assert not parser.in_message


@pytest.mark.parametrize(
    ("reason", "cause"),
    [
        ("Q.850;cause=41", 41),
        ('SIP;cause=200, q.850 ; text="a,b"; Cause = 16', 16),
        ("SIP;cause=200", None),
        ("", None),
        ("Q.850;cause=0", 31),
        ("Q.850;cause=300", 31),
        ("Q.850;cause=1000", 31),
        ("Q.850;cause=\u00b2", 31),
    ],
)
def test_the_cause_of_a_release_fits_one_byte(reason, cause):
    """A larger cause could not be forwarded to the caller, and the call stayed established for ever."""
    assert sip.Message("BYE", 0, {"reason": reason}, b"").cause == cause


def test_gauges_are_matched_from_the_start_of_a_word_only():
    """Matching at every position of a word took seconds on a body of one long word."""
    assert server_messages.GAUGE.findall("free=5 x0 : -1.5 7size=9") == [("free", "5"), ("x0", "-1.5")]


BAD_TEXTS = [(None, "is missing"), (b"\xff", "is not text"), (b"a b", "contains")]


@pytest.mark.parametrize(("value", "reason"), BAD_TEXTS)
def test_the_error_of_a_bad_parameter_names_it(value, reason):
    message = isup.Message(1, ID, {} if value is None else {isup.Parameter.CLASS: value})
    with pytest.raises(BadMessageError, match=rf"parameter 100 \(class\) {reason}"):
        message.text(isup.Parameter.CLASS)


BYE = sip.request("BYE", "caller", "aa" * 8, 2, {"Reason": "Q.850;cause=16"})


@pytest.mark.parametrize("kind", UnreadableKind, ids=lambda kind: kind.name.lower())
@pytest.mark.parametrize("size", [1, 7, 100, 16_384])
def test_releases_are_found_after_an_unreadable_message(kind, size):
    data = unreadable_message(kind, "bb" * 8)[-30_000:] + 2 * BYE
    finder, found = MessageFinder(), []
    for start in range(0, len(data), size):
        found += finder.feed(data[start : start + size])
    releases = [message for message in found if message.method == "BYE"]
    assert [(each.call_id, each.cause) for each in releases] == [("aa" * 8, 16)] * 2


def test_a_message_without_an_end_is_not_buffered_without_limit():
    finder = MessageFinder()
    for _ in range(10):
        assert not list(finder.feed(b"BYE sip:" + b"x" * 16_384))
        assert len(finder._buffer) <= 2 * 16_384
    assert [each.method for each in finder.feed(b"\r\n" + BYE)] == ["BYE"]


DESCRIPTION = b"v=0\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
ANSWER = f"SIP/2.0 200 OK\r\nCall-ID: {'bb' * 8}\r\nCSeq: 1 INVITE\r\nContent-Length: ".encode()
FOLLOWING = {
    "BYE": BYE,
    "NOTIFY": sip.request("NOTIFY", "exchange", "0" * 16, 1, {"X-Gauges": "free:12;size:40"}),
    "OPTIONS": sip.request("OPTIONS", "ping", "0" * 16, 1),
    "200": sip.response(200, "OK", sip.Message("BYE", 0, {"call-id": "aa" * 8, "cseq": "1 BYE"}, b"")),
}


@pytest.mark.parametrize("following", FOLLOWING)
def test_a_wrong_length_of_an_answer_is_found_by_the_message_behind_it(following):
    """With a length one too large, the caller got the 'B' of a BYE, which itself was dropped as a 'YE'."""
    behind = FOLLOWING[following]
    unnoticed = []
    for length in range(len(DESCRIPTION + behind) + 1):
        parser = sip.Parser()
        data = ANSWER + b"%d\r\n\r\n" % length + DESCRIPTION + behind
        try:
            answer = next(parser.feed(data))
        except BadMessageError:
            assert parser.unread.endswith(DESCRIPTION[length:] + behind), "it can be searched for releases"
            continue
        if b"SIP/2.0" not in answer.body:  # the receiver rejects such a body
            unnoticed.append(length)
    # The end of the last line may be an empty line between two messages (RFC 3261 7.5).
    # What follows an empty body is found to be no message only after it.
    assert unnoticed == [0, len(DESCRIPTION) - 2, len(DESCRIPTION)]
