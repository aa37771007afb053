"""Tests of the RESP2 codec for the shared counter: split replies, limits on their size, and their results."""

from __future__ import annotations

import pytest

from limiter.model.events import Outcome
from limiter.transport.counter.resp import (
    MAX_REPLY_BYTES,
    CallResult,
    InvalidReplyError,
    ReplyReader,
    ReplyTooLongError,
    pack_command,
    parse_add_reply,
    parse_ping_reply,
)


def read_replies(*chunks: bytes) -> list[object]:
    """Return the replies parsed from these bytes, received in the given chunks."""
    reader = ReplyReader()
    return [reply for chunk in chunks for reply in reader.feed(chunk)]


def test_replies_are_parsed_in_order_wherever_their_bytes_are_split() -> None:
    received = b"$2\r\n12\r\n$3\r\n1.5\r\n+PONG\r\n"
    for split in range(len(received)):
        assert read_replies(received[:split], received[split:]) == [b"12", b"1.5", b"PONG"]


def test_reply_of_the_maximum_length_is_parsed() -> None:
    text = b"1" * (MAX_REPLY_BYTES - len(b"$500\r\n"))
    header = b"$%d\r\n" % len(text)
    assert read_replies(header, text, b"\r\n") == [text]


def test_incomplete_reply_longer_than_the_maximum_raises_an_error() -> None:
    with pytest.raises(ReplyTooLongError):
        read_replies(b"$1000000\r\n", b"1" * MAX_REPLY_BYTES)


@pytest.mark.parametrize("first_byte", [b"*", b"~", b"%", b"|", b">"])
def test_aggregate_reply_raises_an_error_wherever_it_starts(first_byte: bytes) -> None:
    """The parser allocates memory for the declared length, so aggregates are rejected before parsing."""
    with pytest.raises(ReplyTooLongError):
        read_replies(first_byte + b"400000000\r\n")
    with pytest.raises(ReplyTooLongError):
        read_replies(b"$2\r\n12\r\n" + first_byte + b"400000000\r\n")


@pytest.mark.parametrize(
    ("reply", "expected_total"), [(b"12", 12.0), (b"-0.5", -0.5), (b"1.5e3", 1500.0), (b"7.", 7.0)]
)
def test_total_is_parsed_from_the_reply_to_an_add(reply: bytes, expected_total: float) -> None:
    assert parse_add_reply(reply) == CallResult(Outcome.OK, expected_total)


@pytest.mark.parametrize("reply", [b"", b"nan", b"1_0", b" 1", b"1e999", b"PONG", None, 5])
def test_reply_to_an_add_that_is_not_a_total_raises_an_error(reply: object) -> None:
    with pytest.raises(InvalidReplyError):
        parse_add_reply(reply)


@pytest.mark.parametrize("reply", [b"12", b"", None])
def test_reply_to_a_ping_other_than_pong_raises_an_error(reply: object) -> None:
    assert parse_ping_reply(b"PONG").outcome is Outcome.OK
    with pytest.raises(InvalidReplyError):
        parse_ping_reply(reply)


def test_command_is_encoded_as_an_array_of_bulk_strings() -> None:
    packed = pack_command("CNT.ADD", "7", "1.000000", "1000")
    assert packed == b"*4\r\n$7\r\nCNT.ADD\r\n$1\r\n7\r\n$8\r\n1.000000\r\n$4\r\n1000\r\n"
