"""RESP2, the protocol of the shared counter: encodes commands, and reads replies of bounded size."""

from __future__ import annotations

import math
import re
from collections.abc import Iterator
from typing import NamedTuple

import hiredis

from limiter.model.events import Outcome

# Longest reply that is read. A total takes some twenty bytes.
MAX_REPLY_BYTES = 512
# First byte of an array, set, map, push or attribute. The parser would set memory aside by the length that an
# aggregate states, so it is refused before the parser sees it.
AGGREGATE_REPLY = re.compile(rb"(?:^|\n)[*~%>|]")
# A total as the counter writes it. `float` alone would also take "1_0", "nan" and blanks.
TOTAL = re.compile(rb"-?\d+(\.\d*)?([eE][-+]?\d+)?")
# The only error replies which prove that nothing was added.
NOTHING_ADDED_CODES = ("BUSY", "ERR")


# The log of an invalid reply prints these classes by name.


class UnsolicitedReplyError(ValueError):
    """A reply came while no call was unanswered."""

    def __init__(self) -> None:
        """Set the message that the log shows."""
        super().__init__("a reply without a call")


class ReplyTooLongError(ValueError):
    """A reply exceeds MAX_REPLY_BYTES, or is an aggregate."""

    def __init__(self) -> None:
        """Set the message that the log shows."""
        super().__init__("a reply that is too long, or an aggregate")


class InvalidReplyError(ValueError):
    """A reply is none of those that its call can have."""

    def __init__(self, reply: object) -> None:
        """Keep the reply, as the parser read it."""
        super().__init__(f"{reply!r} is not a reply to the call")
        self.reply = reply


class CallResult(NamedTuple):
    """What a reply says of its call.

    Attributes:
        outcome: how the call ended.
        total: the counter's total after the call, 0 unless the outcome is OK.
    """

    outcome: Outcome
    total: float


class ReplyReader:
    """Splits what a connection receives into replies."""

    __slots__ = ("_incomplete_bytes", "_reader")

    def __init__(self) -> None:
        """Begin before the first reply of a connection."""
        self._reader = hiredis.Reader()
        self._incomplete_bytes = 0  # Length of what came of a reply that is not complete yet.

    def feed(self, data: bytes) -> Iterator[object]:
        """Yield the replies that `data` completes.

        Raises:
            ReplyTooLongError: a reply is too long, or an aggregate.
            hiredis.ProtocolError: the bytes are not RESP.
        """
        if AGGREGATE_REPLY.search(data):
            raise ReplyTooLongError
        self._incomplete_bytes += len(data)
        self._reader.feed(data)
        while (reply := self._reader.gets()) is not False:
            self._incomplete_bytes = 0
            yield reply
        if self._incomplete_bytes > MAX_REPLY_BYTES:
            raise ReplyTooLongError


def parse_add_reply(reply: object) -> CallResult:
    """Read the reply to CNT.ADD; raise InvalidReplyError where it is none."""
    if isinstance(reply, hiredis.ReplyError):
        return _parse_error_reply(reply)
    if not isinstance(reply, bytes) or not TOTAL.fullmatch(reply):
        raise InvalidReplyError(reply)
    total = float(reply)
    if not math.isfinite(total):
        raise InvalidReplyError(reply)
    return CallResult(Outcome.OK, total)


def parse_ping_reply(reply: object) -> CallResult:
    """Read the reply to PING; raise InvalidReplyError where it is none."""
    if isinstance(reply, hiredis.ReplyError):
        return _parse_error_reply(reply)
    if reply != b"PONG":
        raise InvalidReplyError(reply)
    return CallResult(Outcome.OK, 0.0)


def _parse_error_reply(reply: hiredis.ReplyError) -> CallResult:
    # A garbled reply may begin with a minus as well, so only the known codes count.
    code = str(reply).partition(" ")[0]
    if code not in NOTHING_ADDED_CODES:
        raise InvalidReplyError(reply)
    return CallResult(Outcome.REJECTED, 0.0)


def pack_command(*words: str) -> bytes:
    """Encode a command that consists of `words`: its name and its arguments."""
    packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]  # its stub takes one word only
    return packed
