"""The datagrams between limiters: usage of customers, and servers that discovery reports as draining or gone.

A usage message is a header (attempts in flight, their mean latency in ms), then for each plan a group header
(plan, number of entries) and its entries of five bytes: 33 bits of customer and 7 bits of units. An endpoint
report is a prefix that reads as a usage message of a plan that does not exist, so that older versions ignore
it, a byte that is 1 if its sender has just polled discovery, and endpoint ids, each after its length.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import NamedTuple

from limiter.model.events import EndpointId

MAX_MESSAGE_BYTES = 256  # the operators' limit
HEADER = struct.Struct(">BH")
GROUP_HEADER = struct.Struct(">BB")
ENTRY_BYTES = 5
UNIT_BITS = 7  # low bits of an entry, for the units; the customer has the others
MAX_ENTRY_UNITS = 2**UNIT_BITS - 1
CUSTOMER_LIMIT = 2 ** (8 * ENTRY_BYTES - UNIT_BITS)
REPORT_PREFIX = b"\x00\x00\x00\xff"
_POLL_FLAG_OFFSET = len(REPORT_PREFIX)
_IDS_OFFSET = _POLL_FLAG_OFFSET + 1


class UsageEntry(NamedTuple):
    """Units that a limiter has forwarded for a customer of a plan."""

    plan: int
    customer: int
    units: float


class UsageMessage(NamedTuple):
    """A limiter's load and the usage of customers through it."""

    in_flight: int
    latency_ms: int
    entries: list[UsageEntry]


class UsageWriter:
    """Collects the entries of one usage message until it is full."""

    def __init__(self, in_flight: int, latency_ms: float) -> None:
        """Begin a message with the sender's load."""
        self._body = bytearray(HEADER.pack(min(in_flight, 255), min(65535, round(latency_ms))))
        self._groups: dict[int, list[bytes]] = {}
        self._size = HEADER.size
        self.is_full = False

    def add(self, plan: int, customer: int, units: int) -> int:
        """Write an entry; the units of it that are written, 0 where it can't be said or does not fit."""
        written: int = min(MAX_ENTRY_UNITS, units)
        if written < 1 or plan > 255 or customer >= CUSTOMER_LIMIT:
            return 0
        self._size += ENTRY_BYTES + (0 if plan in self._groups else GROUP_HEADER.size)
        if self._size > MAX_MESSAGE_BYTES:
            self.is_full = True
            return 0
        entry = customer << UNIT_BITS | written
        self._groups.setdefault(plan, []).append(entry.to_bytes(ENTRY_BYTES))
        return written

    def message(self) -> bytes:
        """The message as it goes out."""
        for plan, entries in self._groups.items():
            self._body += GROUP_HEADER.pack(plan, len(entries))
            self._body += b"".join(entries)
        return bytes(self._body)


def decode_usage(body: bytes, plan_count: int) -> UsageMessage | None:
    """The usage message of a peer; None if it is malformed."""
    entries: list[UsageEntry] = []
    offset = HEADER.size
    if len(body) < offset:
        return None
    while offset < len(body):
        if offset + GROUP_HEADER.size > len(body):
            return None
        plan, count = GROUP_HEADER.unpack_from(body, offset)
        offset += GROUP_HEADER.size
        end = offset + count * ENTRY_BYTES
        if plan >= plan_count or count == 0 or end > len(body):
            return None
        for start in range(offset, end, ENTRY_BYTES):
            entry = int.from_bytes(body[start : start + ENTRY_BYTES])
            entries.append(UsageEntry(plan, entry >> UNIT_BITS, float(entry & MAX_ENTRY_UNITS)))
        offset = end
    in_flight, latency_ms = HEADER.unpack_from(body)
    return UsageMessage(in_flight, latency_ms, entries)


class EndpointReport(NamedTuple):
    """Servers that discovery has reported to the sender as draining or gone."""

    has_polled: bool
    endpoint_ids: list[EndpointId]


def encode_report(has_polled: bool, endpoint_ids: Iterable[EndpointId]) -> tuple[bytes, list[EndpointId]]:
    """One message with as many of the ids as fit, and those that are done with: said, or too long for any."""
    body = bytearray(REPORT_PREFIX)
    body.append(has_polled)
    done = []
    for endpoint_id in endpoint_ids:
        fits = len(body) + 1 + len(endpoint_id) <= MAX_MESSAGE_BYTES
        if not fits and len(body) > _IDS_OFFSET:
            break  # left for the next message
        if fits:
            body.append(len(endpoint_id))
            body += endpoint_id
        done.append(endpoint_id)
    return bytes(body), done


def is_report(body: bytes) -> bool:
    """Whether a message is an endpoint report, malformed or not."""
    return body.startswith(REPORT_PREFIX)


def decode_report(body: bytes) -> EndpointReport | None:
    """The endpoint report of a peer; None if an id of it is empty or cut short."""
    endpoint_ids = []
    offset = _IDS_OFFSET
    while offset < len(body):
        start = offset + 1
        end = start + body[offset]
        if not start < end <= len(body):
            return None
        endpoint_ids.append(body[start:end])
        offset = end
    return EndpointReport(body[_POLL_FLAG_OFFSET:_IDS_OFFSET] == b"\x01", endpoint_ids)
