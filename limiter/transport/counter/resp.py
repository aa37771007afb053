"""RESP2, the protocol of the shared counter: encodes commands and parses replies of limited length."""

from __future__ import annotations

import math
import re
from collections.abc import Iterator
from typing import NamedTuple

import hiredis

from limiter.model.events import Outcome

# Longest reply that is accepted. A total takes about 20 bytes.
MAX_REPLY_BYTES = 512
# Matches the first byte of an array, set, map, push or attribute. The parser would allocate memory for the
# length that an aggregate declares, so aggregates are rejected before they are parsed.
AGGREGATE_REPLY_PATTERN = re.compile(rb"(?:^|\n)[*~%>|]")
# Format of a total. `float` alone would also accept "1_0", "nan" and surrounding whitespace.
TOTAL_PATTERN = re.compile(rb"-?\d+(\.\d*)?([eE][-+]?\d+)?")
# The only error codes which guarantee that the counter did not apply the call.
NOT_APPLIED_ERROR_CODES = ("BUSY", "ERR")


# The class names of these errors appear in the log.


class UnsolicitedReplyError(ValueError):
    """A reply arrived while no call was outstanding."""

    def __init__(self) -> None:
        """Set the message that the log shows."""
        super().__init__("received a reply although no call is outstanding")


class ReplyTooLongError(ValueError):
    """A reply exceeds MAX_REPLY_BYTES, or is an aggregate."""

    def __init__(self) -> None:
        """Set the message that the log shows."""
        super().__init__("reply exceeds the maximum length or is an aggregate")


class InvalidReplyError(ValueError):
    """A reply is not valid for its call."""

    def __init__(self, reply: object) -> None:
        """Store the parsed reply."""
        super().__init__(f"{reply!r} is not a valid reply to the call")
        self.reply = reply


class CallResult(NamedTuple):
    """The result of a call, as parsed from its reply.

    Attributes:
        outcome: How the call ended.
        total_units: The count's total in units after the call; 0 unless the outcome is OK.
    """

    outcome: Outcome
    total_units: float


class ReplyReader:
    """Parses the bytes that a connection receives into replies."""

    __slots__ = ("_incomplete_reply_bytes", "_reader")

    def __init__(self) -> None:
        """Create a reader for a new connection."""
        self._reader = hiredis.Reader()
        self._incomplete_reply_bytes = 0  # Bytes received of the reply that is incomplete.

    def feed(self, data: bytes) -> Iterator[object]:
        """Parse further bytes, and yield the replies that they complete.

        Raises:
            ReplyTooLongError: A reply exceeds MAX_REPLY_BYTES or is an aggregate.
            hiredis.ProtocolError: the bytes are not valid RESP.
        """
        if AGGREGATE_REPLY_PATTERN.search(data):
            raise ReplyTooLongError
        self._incomplete_reply_bytes += len(data)
        self._reader.feed(data)
        while (reply := self._reader.gets()) is not False:
            self._incomplete_reply_bytes = 0
            yield reply
        if self._incomplete_reply_bytes > MAX_REPLY_BYTES:
            raise ReplyTooLongError


def parse_add_reply(reply: object) -> CallResult:
    """Parse the reply to CNT.ADD; raise InvalidReplyError if it is not valid."""
    if isinstance(reply, hiredis.ReplyError):
        return _parse_error_reply(reply)
    if not isinstance(reply, bytes) or not TOTAL_PATTERN.fullmatch(reply):
        raise InvalidReplyError(reply)
    total_units = float(reply)
    if not math.isfinite(total_units):
        raise InvalidReplyError(reply)
    return CallResult(Outcome.OK, total_units)


def parse_ping_reply(reply: object) -> CallResult:
    """Parse the reply to PING; raise InvalidReplyError if it is not valid."""
    if isinstance(reply, hiredis.ReplyError):
        return _parse_error_reply(reply)
    if reply != b"PONG":
        raise InvalidReplyError(reply)
    return CallResult(Outcome.OK, 0.0)


def _parse_error_reply(reply: hiredis.ReplyError) -> CallResult:
    # A corrupt reply may also start with a minus sign, so only the known codes are accepted.
    code = str(reply).partition(" ")[0]
    if code not in NOT_APPLIED_ERROR_CODES:
        raise InvalidReplyError(reply)
    return CallResult(Outcome.REJECTED, 0.0)


def pack_command(*command_parts: str) -> bytes:
    """Encode a command that consists of its name and its arguments."""
    packed: bytes = hiredis.pack_command(command_parts)  # type: ignore[arg-type]  # its stub accepts one string only
    return packed
