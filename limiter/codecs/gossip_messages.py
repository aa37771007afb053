"""Codec of the datagrams between limiters. All numbers are big-endian.

A usage message states how many units its sender has forwarded, by customer. It is a header and groups of
entries, one group for each plan, to the end of the datagram:

    | part         | bytes | content                                                        |
    | ------------ | ----- | -------------------------------------------------------------- |
    | header       | 1     | attempts in flight at the sender, 255 at most                  |
    |              | 2     | their mean latency in ms, 65,535 at most                       |
    | group header | 1     | index of the plan                                              |
    |              | 1     | number of entries in the group                                 |
    | entry        | 5     | customer in the 33 high bits, units in the 7 low bits          |

An endpoint report states which servers discovery has reported as draining or removed. Its prefix reads as a
usage message with a group of plan 255. No plan has that number, so versions that know no reports ignore it:

    | part         | bytes | content                                                        |
    | ------------ | ----- | -------------------------------------------------------------- |
    | prefix       | 4     | `REPORT_PREFIX`                                                |
    | poll flag    | 1     | 1 if the sender has just polled discovery, else 0              |
    | endpoint id  | 1     | length of the id                                               |
    |              | 1-250 | the id; lengths and ids repeat to the end of the datagram      |
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import NamedTuple

from limiter.model.events import EndpointId

MAX_MESSAGE_BYTES = 256  # The operators' limit on a datagram between limiters.
HEADER = struct.Struct(">BH")
GROUP_HEADER = struct.Struct(">BB")
MAX_ATTEMPTS_IN_FLIGHT = 255  # The header states attempts in flight in one byte.
MAX_LATENCY_MS = 65_535  # The header states their latency in two bytes.
MAX_PLAN_INDEX = 255  # A group header states the index of its plan in one byte.
ENTRY_BYTES = 5
UNIT_BITS = 7  # The low bits of an entry state its units, the other bits its customer.
MAX_ENTRY_UNITS = 2**UNIT_BITS - 1
CUSTOMER_LIMIT = 2 ** (8 * ENTRY_BYTES - UNIT_BITS)
ENDPOINT_REPORT_PREFIX = b"\x00\x00\x00\xff"
_POLL_FLAG_OFFSET = len(ENDPOINT_REPORT_PREFIX)
_IDS_OFFSET = _POLL_FLAG_OFFSET + 1


class UsageEntry(NamedTuple):
    """Units that a limiter has forwarded for a customer of a plan."""

    plan: int
    customer: int
    units: float


class UsageMessage(NamedTuple):
    """A limiter's load and the usage of customers through it.

    Attributes:
        attempts_in_flight: Attempts in flight at the sender.
        mean_latency_ms: Their mean latency in milliseconds.
        entries: Usage of customers, in the order of the message.
    """

    attempts_in_flight: int
    mean_latency_ms: int
    entries: list[UsageEntry]


class UsageMessageEncoder:
    """Collects the entries of one usage message until it is full.

    Attributes:
        is_full: Whether an entry didn't fit any more.
    """

    def __init__(self, in_flight: int, latency_ms: float) -> None:
        """Start a message without entries.

        Args:
            in_flight: Number of attempts in flight at the sender.
            latency_ms: Mean latency of the sender's attempts in milliseconds.
        """
        stated_latency_ms = min(MAX_LATENCY_MS, round(latency_ms))
        self._body = bytearray(HEADER.pack(min(in_flight, MAX_ATTEMPTS_IN_FLIGHT), stated_latency_ms))
        self._groups: dict[int, list[bytes]] = {}
        self._size = HEADER.size
        self.is_full = False

    def add_entry(self, plan: int, customer: int, units: int) -> int:
        """Write an entry and return how many of its units it states.

        Returns:
            The units written, at most `MAX_ENTRY_UNITS`. It is 0 if nothing was written, because there are no
            units, the plan or customer is too large for an entry, or the message is full.
        """
        written: int = min(MAX_ENTRY_UNITS, units)
        if written < 1 or plan > MAX_PLAN_INDEX or customer >= CUSTOMER_LIMIT:
            return 0
        self._size += ENTRY_BYTES + (0 if plan in self._groups else GROUP_HEADER.size)
        if self._size > MAX_MESSAGE_BYTES:
            self.is_full = True
            return 0
        entry = customer << UNIT_BITS | written
        self._groups.setdefault(plan, []).append(entry.to_bytes(ENTRY_BYTES))
        return written

    def encode(self) -> bytes:
        """Return the encoded message. Call it once, after the last entry."""
        for plan, entries in self._groups.items():
            self._body += GROUP_HEADER.pack(plan, len(entries))
            self._body += b"".join(entries)
        return bytes(self._body)


def decode_usage_message(body: bytes, plan_count: int) -> UsageMessage | None:
    """Decode a usage message; return None if it is malformed or names a plan that doesn't exist."""
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
    """Servers that discovery has reported to the sender as draining or removed.

    Attributes:
        has_polled: Whether the sender has just polled discovery.
        endpoint_ids: The servers' ids.
    """

    has_polled: bool
    endpoint_ids: list[EndpointId]


class EncodedEndpointReport(NamedTuple):
    """An endpoint report as it is sent.

    Attributes:
        body: The message.
        processed_ids: Ids that need no further message: those in this one, and those too long for any
            message.
    """

    body: bytes
    processed_ids: list[EndpointId]


def encode_endpoint_report(has_polled: bool, endpoint_ids: Iterable[EndpointId]) -> EncodedEndpointReport:
    """Encode one endpoint report with as many of the ids as fit.

    Args:
        has_polled: Whether the sender has just polled discovery.
        endpoint_ids: Ids of servers that are draining or removed, the first to be sent first.
    """
    body = bytearray(ENDPOINT_REPORT_PREFIX)
    body.append(has_polled)
    done_ids = []
    for endpoint_id in endpoint_ids:
        fits = len(body) + 1 + len(endpoint_id) <= MAX_MESSAGE_BYTES
        if not fits and len(body) > _IDS_OFFSET:
            break  # This id and those after it are left for the next message.
        if fits:
            body.append(len(endpoint_id))
            body += endpoint_id
        done_ids.append(endpoint_id)
    return EncodedEndpointReport(bytes(body), done_ids)


def is_endpoint_report(body: bytes) -> bool:
    """Return whether a message is an endpoint report, well-formed or not."""
    return body.startswith(ENDPOINT_REPORT_PREFIX)


def decode_endpoint_report(body: bytes) -> EndpointReport | None:
    """Decode an endpoint report; return None if an id of it is empty or cut short."""
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
