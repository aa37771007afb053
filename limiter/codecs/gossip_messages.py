"""Codec of the gossip datagrams between limiters. All numbers are big-endian.

A usage message contains the number of units that its sender has forwarded, by customer. It consists of a
header and, up to the end of the datagram, one group of entries for each plan:

    | part         | bytes | content                                                        |
    | ------------ | ----- | -------------------------------------------------------------- |
    | header       | 1     | attempts in flight at the sender, at most 255                  |
    |              | 2     | mean latency of its attempts in ms, at most 65,535             |
    | group header | 1     | index of the plan                                              |
    |              | 1     | number of entries in the group                                 |
    | entry        | 5     | customer in the 33 high bits, units in the 7 low bits          |

An endpoint report lists the servers that discovery has reported to its sender as draining or removed. Its
prefix decodes as a usage message with a group for plan 255. No plan has that index, so versions that do not
support endpoint reports ignore the datagram:

    | part         | bytes | content                                                        |
    | ------------ | ----- | -------------------------------------------------------------- |
    | prefix       | 4     | `ENDPOINT_REPORT_PREFIX`                                       |
    | poll flag    | 1     | 1 if the sender has just polled discovery, else 0              |
    | endpoint id  | 1     | length of the id                                               |
    |              | 1-250 | the id; lengths and ids repeat to the end of the datagram      |
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import NamedTuple

from limiter.model.events import EndpointId

MAX_MESSAGE_BYTES = 256  # The platform's operators limit datagrams between limiters to this size.
USAGE_MESSAGE_HEADER = struct.Struct(">BH")
GROUP_HEADER = struct.Struct(">BB")
MAX_ATTEMPTS_IN_FLIGHT = 255  # The header has one byte for the attempts in flight.
MAX_LATENCY_MS = 65_535  # The header has two bytes for the mean latency.
MAX_PLAN_INDEX = 255  # A group header has one byte for the index of its plan.
ENTRY_BYTES = 5
UNIT_BITS = 7  # The low bits of an entry contain its units, the other bits its customer.
MAX_ENTRY_UNITS = 2**UNIT_BITS - 1
CUSTOMER_LIMIT = 2 ** (8 * ENTRY_BYTES - UNIT_BITS)  # Every customer in an entry is below this number.
ENDPOINT_REPORT_PREFIX = b"\x00\x00\x00\xff"
_POLL_FLAG_OFFSET = len(ENDPOINT_REPORT_PREFIX)
_IDS_OFFSET = _POLL_FLAG_OFFSET + 1


class UsageEntry(NamedTuple):
    """Number of units that a limiter has forwarded for a customer of a plan."""

    plan: int
    customer: int
    units: float


class UsageMessage(NamedTuple):
    """The load of a limiter, and the units that it has forwarded, by customer.

    Attributes:
        attempts_in_flight: Attempts in flight at the sender.
        mean_latency_ms: Mean latency of the sender's attempts in milliseconds.
        entries: Units by plan and customer, in the order of the message.
    """

    attempts_in_flight: int
    mean_latency_ms: int
    entries: list[UsageEntry]


class UsageMessageEncoder:
    """Encodes one usage message, to which entries are added until it is full.

    Attributes:
        is_full: Whether an entry was omitted because it did not fit into the message.
    """

    def __init__(self, attempts_in_flight: int, mean_latency_ms: float) -> None:
        """Create a message without entries.

        Args:
            attempts_in_flight: Number of attempts in flight at the sender.
            mean_latency_ms: Mean latency of the sender's attempts in milliseconds.
        """
        encoded_latency_ms = min(MAX_LATENCY_MS, round(mean_latency_ms))
        self._body = bytearray(
            USAGE_MESSAGE_HEADER.pack(min(attempts_in_flight, MAX_ATTEMPTS_IN_FLIGHT), encoded_latency_ms)
        )
        self._groups: dict[int, list[bytes]] = {}
        self._byte_count = USAGE_MESSAGE_HEADER.size
        self.is_full = False

    def add_entry(self, plan: int, customer: int, units: int) -> int:
        """Add an entry with as many of the units as it can contain.

        Returns:
            The number of units in the entry, at most `MAX_ENTRY_UNITS`. It is 0 if no entry was added because
            there are no units, the plan or customer is too large for an entry, or the message is full.
        """
        encoded_units: int = min(MAX_ENTRY_UNITS, units)
        if encoded_units < 1 or plan > MAX_PLAN_INDEX or customer >= CUSTOMER_LIMIT:
            return 0
        self._byte_count += ENTRY_BYTES + (0 if plan in self._groups else GROUP_HEADER.size)
        if self._byte_count > MAX_MESSAGE_BYTES:
            self.is_full = True
            return 0
        entry = customer << UNIT_BITS | encoded_units
        self._groups.setdefault(plan, []).append(entry.to_bytes(ENTRY_BYTES))
        return encoded_units

    def encode(self) -> bytes:
        """Return the encoded message. Must be called only once, after the last entry has been added."""
        for plan, entries in self._groups.items():
            self._body += GROUP_HEADER.pack(plan, len(entries))
            self._body += b"".join(entries)
        return bytes(self._body)


def decode_usage_message(body: bytes, plan_count: int) -> UsageMessage | None:
    """Decode a usage message; return None if it is malformed or contains a plan that does not exist."""
    entries: list[UsageEntry] = []
    offset = USAGE_MESSAGE_HEADER.size
    if len(body) < offset:
        return None
    while offset < len(body):
        if offset + GROUP_HEADER.size > len(body):
            return None
        plan, count = GROUP_HEADER.unpack_from(body, offset)
        offset += GROUP_HEADER.size
        group_end = offset + count * ENTRY_BYTES
        if plan >= plan_count or count == 0 or group_end > len(body):
            return None
        for start in range(offset, group_end, ENTRY_BYTES):
            entry = int.from_bytes(body[start : start + ENTRY_BYTES])
            entries.append(UsageEntry(plan, entry >> UNIT_BITS, float(entry & MAX_ENTRY_UNITS)))
        offset = group_end
    attempts_in_flight, mean_latency_ms = USAGE_MESSAGE_HEADER.unpack_from(body)
    return UsageMessage(attempts_in_flight, mean_latency_ms, entries)


class EndpointReport(NamedTuple):
    """Servers that discovery has reported to the sender as draining or removed.

    Attributes:
        has_polled: Whether the sender has just polled discovery.
        endpoint_ids: Ids of these servers.
    """

    has_polled: bool
    endpoint_ids: list[EndpointId]


class EncodedEndpointReport(NamedTuple):
    """An encoded endpoint report.

    Attributes:
        body: The encoded message.
        processed_ids: Ids that need no further message: those in this one, and those too long for any
            message.
    """

    body: bytes
    processed_ids: list[EndpointId]


def encode_endpoint_report(has_polled: bool, endpoint_ids: Iterable[EndpointId]) -> EncodedEndpointReport:
    """Encode one endpoint report with as many of the ids as fit into a message.

    Args:
        has_polled: Whether the sender has just polled discovery.
        endpoint_ids: Ids of servers that are draining or removed, in the order in which to send them.
    """
    body = bytearray(ENDPOINT_REPORT_PREFIX)
    body.append(has_polled)
    processed_ids = []
    for endpoint_id in endpoint_ids:
        fits = len(body) + 1 + len(endpoint_id) <= MAX_MESSAGE_BYTES
        if not fits and len(body) > _IDS_OFFSET:
            break  # This id and the following ones go into the next message.
        if fits:
            body.append(len(endpoint_id))
            body += endpoint_id
        processed_ids.append(endpoint_id)
    return EncodedEndpointReport(bytes(body), processed_ids)


def is_endpoint_report(body: bytes) -> bool:
    """Return whether a message has the prefix of an endpoint report; the rest may be malformed."""
    return body.startswith(ENDPOINT_REPORT_PREFIX)


def decode_endpoint_report(body: bytes) -> EndpointReport | None:
    """Decode an endpoint report; return None if one of its ids is empty or truncated."""
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
