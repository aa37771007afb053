"""Frames of the simulator's wire protocol: the adapter reads batches of records and replies to each batch.

All numbers are big-endian and unpadded. A batch consists of a header and its records; a reply consists of the
length of its encoded actions in bytes and the actions.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import BinaryIO

from limiter.simulator.errors import WireError, WireFault

# The number of records, the number of bytes after this length field, and the time in milliseconds.
BATCH_HEADER = struct.Struct(">IId")
# The number of bytes of the encoded actions.
REPLY_HEADER = struct.Struct(">I")
# Size of the time field, which follows the length field in the header of a batch; the length includes it.
TIME_FIELD_BYTES = 8


@dataclass(frozen=True, slots=True)
class Batch:
    """Encoded events that happen at the same time.

    Attributes:
        now: Time of the events in milliseconds.
        record_count: Number of records in the body.
        body: The encoded records.
    """

    now: float
    record_count: int
    body: bytes


def read_batch(source: BinaryIO) -> Batch | None:
    """Read the next batch; return None if the input has ended after a complete batch.

    Raises:
        WireError: The input ends inside the batch, or the length in the header is too small.
    """
    header = source.read(BATCH_HEADER.size)
    if not header:
        return None
    _check_length(header, BATCH_HEADER.size, "a batch header")
    record_count, length, now = BATCH_HEADER.unpack(header)
    body_length = length - TIME_FIELD_BYTES
    if body_length < 0:
        message = f"length {length} in the batch header is too small to include the time"
        raise WireError(WireFault.LENGTH, message)
    body = source.read(body_length)
    _check_length(body, body_length, "a batch body")
    return Batch(now, record_count, body)


def encode_reply(actions: bytes | bytearray) -> bytes:
    """Return the reply to one batch, which contains the encoded actions of all instances."""
    return REPLY_HEADER.pack(len(actions)) + actions


def _check_length(data: bytes, expected: int, frame_part: str) -> None:
    if len(data) != expected:
        message = f"input ended inside {frame_part}: got {len(data)} of {expected} bytes"
        raise WireError(WireFault.TRUNCATED, message)
