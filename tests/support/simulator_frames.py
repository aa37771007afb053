"""Encodes the frames of a simulator and splits the adapter's replies, without the codec under test."""

from __future__ import annotations

import io
import struct

from limiter.simulator import adapter

SERVER_ID = bytes.fromhex("0a124a071f93")
SETTINGS_TEXT = b"""classes.count=1
classes.0.aim=2000.0
classes.0.deadline=6000.0
classes.0.effect=repeatable
classes.0.group=all
contracts.count=1
contracts.0.quotaRate=1.0
contracts.0.peakUnits=4.0
extra.mayCount=true
limits.maxAttempts=5
me=0
peersTotal=3
report.fields=lat_ms,unheard_of,rate
something.new=7
"""


def encode_batch_header(record_count: int, length: int, now: float = 0.0) -> bytes:
    """Return the header of a batch; `length` is that of the records plus the eight bytes of the clock."""
    return struct.pack(">IId", record_count, length, now)


def encode_batch(now: float, *records: bytes) -> bytes:
    """Return a valid batch of these records."""
    body = b"".join(records)
    return encode_batch_header(len(records), len(body) + 8, now) + body


def encode_open_instance(instance: int = 3, settings_text: bytes = SETTINGS_TEXT) -> bytes:
    """Return an OPEN_INSTANCE record."""
    return struct.pack(">BHQI", 19, instance, 7, len(settings_text)) + settings_text


def encode_endpoint_page(state: int = 1) -> bytes:
    """Return a PAGE record, number 0, that lists SERVER_ID in this state."""
    return struct.pack(">BII", 27, 0, 1) + struct.pack(">HdH6sfHB", 0, 0.0, 0, SERVER_ID, 1.0, 0, state)


def encode_registry(instance: int = 3, form: int = 2) -> bytes:
    """Return a REGISTRY record that refers to page 0."""
    return struct.pack(">BHBQI", 17, instance, form, 41, 0)


def encode_client_request(request_id: int, instance: int = 3) -> bytes:
    """Return a CALL record."""
    return struct.pack(">BHIHfHQBffd", 20, instance, request_id, 0, 1.0, 0, 5, 0, 2.0, 3.0, 6000.0)


def run_adapter(*batches: bytes) -> list[bytes]:
    """Run a new adapter on these batches, and return the encoded actions of each reply."""
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(b"".join(batches)), sink)
    data = sink.getvalue()
    replies = []
    while data:
        (length,) = struct.unpack_from(">I", data)
        replies.append(data[4 : 4 + length])
        data = data[4 + length :]
    return replies
