"""Frames of the simulator's wire: batches of records in, one reply to each batch out.

All numbers are big-endian and unpadded. A batch is a header and its records; a reply is the length of its
actions and the actions.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import BinaryIO

from limiter.simulator.errors import WireError, WireFault

# The number of records, the length of all that follows the length field, and the clock.
BATCH_HEADER = struct.Struct(">IId")
# The length of the actions.
REPLY_HEADER = struct.Struct(">I")
# Size of the clock, which stands in a batch's header after the length and is counted by it.
CLOCK_BYTES = 8


@dataclass(frozen=True, slots=True)
class Batch:
    """Events that happen at the same time, still encoded.

    Attributes:
        now: Time of the events in milliseconds.
        record_count: Number of records in the body.
        body: The records.
    """

    now: float
    record_count: int
    body: bytes


def read_batch(source: BinaryIO) -> Batch | None:
    """Read the next batch; return None where the input ends between two batches.

    Raises:
        WireError: the input ends inside the batch, or the length in the header is too small.
    """
    header = source.read(BATCH_HEADER.size)
    if not header:
        return None
    _check_length(header, BATCH_HEADER.size, "a header")
    record_count, length, now = BATCH_HEADER.unpack(header)
    body_length = length - CLOCK_BYTES
    if body_length < 0:
        message = f"length {length} leaves no room for the clock"
        raise WireError(WireFault.LENGTH, message)
    body = source.read(body_length)
    _check_length(body, body_length, "a batch")
    return Batch(now, record_count, body)


def encode_reply(actions: bytes | bytearray) -> bytes:
    """Frame the encoded actions of all instances as the reply to one batch."""
    return REPLY_HEADER.pack(len(actions)) + actions


def _check_length(data: bytes, expected: int, part: str) -> None:
    if len(data) != expected:
        message = f"input ended inside {part}: {len(data)} of {expected} bytes"
        raise WireError(WireFault.TRUNCATED, message)
