"""Decodes the records of a batch to events of the decision policy.

A record consists of a one-byte code and the fields that belong to the code; the comments give the names of
both in the wire protocol. Most records are addressed to one instance, which is a simulated limiter. A page
applies to the whole process: it declares a numbered list of endpoints, to which later records refer.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum

from limiter.model.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientRequest,
    CounterReply,
    DiscoveryPollFailed,
    Endpoint,
    EndpointsChanged,
    EndpointState,
    GossipReceived,
    HealthCheckEnded,
    Outcome,
    StreamStarted,
    TimerFired,
)
from limiter.simulator.errors import WireError, WireFault
from limiter.simulator.record_reader import EndpointPages, RecordReader
from limiter.simulator.records import EventWithRawLoadReport, InstanceClosed, InstanceOpened, Record


class EventCode(IntEnum):
    """The code in the first byte of a record."""

    CLIENT_DISCONNECTED = 16  # LAPSED
    ENDPOINTS_CHANGED = 17  # REGISTRY
    HEALTH_CHECK_ENDED = 18  # PING_RESULT
    INSTANCE_OPENED = 19  # OPEN_INSTANCE
    CLIENT_REQUEST = 20  # CALL
    TIMER_FIRED = 21  # WAKE
    STREAM_STARTED = 22  # HEAD_RECEIVED
    INSTANCE_CLOSED = 23  # RETIRE
    ATTEMPT_ENDED = 24  # COMPLETED
    GOSSIP_RECEIVED = 25  # MAIL
    COUNTER_REPLY = 26  # TOTAL
    ENDPOINT_PAGE = 27  # PAGE


class RegistryForm(IntEnum):
    """How the page of a registry record relates to the endpoint list."""

    DELTA = 0  # The page contains only the entries that have changed.
    FULL = 1  # The page is the full list.
    CACHED = 2  # The page is the full list that the instance last knew; it may be outdated.
    FAILED = 3  # The poll failed, and the record has no page.


CLIENT_RETRY_BIT = 2  # The bit in a request's options that is set if the client retries a request.

OUTCOMES = {
    200: Outcome.OK,
    408: Outcome.TIMEOUT,
    409: Outcome.REQUEST_ENDED,
    429: Outcome.REJECTED,
    444: Outcome.CANCELLED,
    502: Outcome.ERROR,
    520: Outcome.RESET,
    521: Outcome.CONNECT_FAILED,
}
ENDPOINT_STATES = {0: EndpointState.DRAINING, 1: EndpointState.READY, 2: EndpointState.GONE}

# Layouts of records. The first byte, `x`, is the code, which the decoder has already read. A layout that ends
# with a count or length is followed by that number of entries, values or bytes.
_CLIENT_DISCONNECTED = struct.Struct(">xHI")  # limiter, requestId
_ENDPOINTS_CHANGED = struct.Struct(">xHBQI")  # limiter, form, revision, setId
_HEALTH_CHECK_ENDED = struct.Struct(">xH6sHdB")  # limiter, server, how, latency, count of serverStats
_INSTANCE_OPENED = struct.Struct(">xHQI")  # limiter, salt, length of settings
# limiter, requestId, opts, priceUnits, terms, apiKey, type, setSize, setStart, notAfter
_CLIENT_REQUEST = struct.Struct(">xHIHfHQBffd")
_TIMER_FIRED = struct.Struct(">xHI")  # limiter, handle
_STREAM_STARTED = struct.Struct(">xHIB6sd")  # limiter, requestId, seqNo, server, latency
_INSTANCE_CLOSED = struct.Struct(">xH")  # limiter
# limiter, requestId, seenUse, latency, seqNo, server, billed, how, doneFlag, count of serverStats
_ATTEMPT_ENDED = struct.Struct(">xHIHdB6sHHBB")
_GOSSIP_RECEIVED = struct.Struct(">xHHH")  # limiter, sender, length of bytes
_COUNTER_REPLY = struct.Struct(">xHQHfd")  # limiter, cname, how, resultValue, latency
_ENDPOINT_PAGE = struct.Struct(">xII")  # setId, count of entries
ENDPOINT_ENTRY = struct.Struct(">HdH6sfHB")  # bay, startTime, kind, server, capacityHint, hall, status
# Layouts of load reports by their number of values, for which a record has one byte.
_LOAD_REPORT_LAYOUTS = [struct.Struct(f">{count}f") for count in range(256)]


# The number of an instance, and the record that is addressed to it.
AddressedRecord = tuple[int, Record]


class EventDecoder:
    """Decodes batches in order, and keeps the pages to which records of later batches refer."""

    def __init__(self) -> None:
        """Create a decoder without pages."""
        self._pages: EndpointPages = {}

    def decode(self, body: bytes, record_count: int) -> list[AddressedRecord]:
        """Decode all records of a batch.

        Raises:
            WireError: The body does not consist of exactly `record_count` well-formed records.
        """
        records: list[AddressedRecord] = []
        reader = RecordReader(body, self._pages)
        record_start = 0
        try:
            for _ in range(record_count):
                record_start = reader.offset
                code = body[record_start]
                decode_record = _DECODERS.get(code)
                if decode_record is None:
                    raise _unknown_code_error(code, "event code", f" at byte {record_start}")
                record = decode_record(reader)
                if record is not None:
                    records.append(record)
        except (struct.error, IndexError) as error:
            message = f"record at byte {record_start} is truncated: the batch ends inside it"
            raise WireError(WireFault.TRUNCATED, message) from error
        if reader.offset != len(body):
            message = f"{len(body) - reader.offset} unexpected bytes follow the last record of the batch"
            raise WireError(WireFault.LENGTH, message)
        return records


def _decode_client_request(reader: RecordReader) -> AddressedRecord:
    (
        instance,
        request_id,
        options,
        units,
        plan,
        customer,
        request_class,
        limiter_set_size,
        limiter_set_start,
        expires_at,
    ) = reader.read_fields(_CLIENT_REQUEST)
    request = ClientRequest(
        request_id,
        customer,
        plan,
        request_class,
        units,
        limiter_set_size,
        limiter_set_start,
        expires_at,
        is_retry=bool(options & CLIENT_RETRY_BIT),
    )
    return instance, request


def _decode_attempt_ended(reader: RecordReader) -> AddressedRecord:
    (
        instance,
        request_id,
        metered_percent_plus_one,
        latency,
        attempt,
        endpoint_id,
        billed_units,
        outcome_code,
        request_finished,
        load_value_count,
    ) = reader.read_fields(_ATTEMPT_ENDED)
    event = AttemptEnded(
        request_id,
        attempt,
        endpoint_id,
        _decode_outcome(outcome_code),
        latency,
        bool(request_finished),
        metered_utilization=(metered_percent_plus_one - 1) / 100.0 if metered_percent_plus_one else None,
        billed_units=float(billed_units) if billed_units else None,
    )
    if not load_value_count:
        return instance, event
    return instance, EventWithRawLoadReport(event, reader.read_fields(_LOAD_REPORT_LAYOUTS[load_value_count]))


def _decode_health_check_ended(reader: RecordReader) -> AddressedRecord:
    instance, endpoint_id, outcome_code, latency, load_value_count = reader.read_fields(_HEALTH_CHECK_ENDED)
    load_values = reader.read_fields(_LOAD_REPORT_LAYOUTS[load_value_count])
    event = HealthCheckEnded(endpoint_id, _decode_outcome(outcome_code), latency)
    return instance, EventWithRawLoadReport(event, load_values)


def _decode_timer_fired(reader: RecordReader) -> AddressedRecord:
    instance, token = reader.read_fields(_TIMER_FIRED)
    return instance, TimerFired(token)


def _decode_counter_reply(reader: RecordReader) -> AddressedRecord:
    instance, counter_key, outcome_code, total_units, latency = reader.read_fields(_COUNTER_REPLY)
    return instance, CounterReply(counter_key, _decode_outcome(outcome_code), total_units, latency)


def _decode_client_disconnected(reader: RecordReader) -> AddressedRecord:
    instance, request_id = reader.read_fields(_CLIENT_DISCONNECTED)
    return instance, ClientDisconnected(request_id)


def _decode_stream_started(reader: RecordReader) -> AddressedRecord:
    instance, request_id, attempt, endpoint_id, latency = reader.read_fields(_STREAM_STARTED)
    return instance, StreamStarted(request_id, attempt, endpoint_id, latency)


def _decode_gossip_received(reader: RecordReader) -> AddressedRecord:
    instance, sender, length = reader.read_fields(_GOSSIP_RECEIVED)
    return instance, GossipReceived(sender, reader.read_bytes(length))


def _decode_instance_opened(reader: RecordReader) -> AddressedRecord:
    instance, seed, length = reader.read_fields(_INSTANCE_OPENED)
    return instance, InstanceOpened(seed, reader.read_bytes(length))


def _decode_instance_closed(reader: RecordReader) -> AddressedRecord:
    (instance,) = reader.read_fields(_INSTANCE_CLOSED)
    return instance, InstanceClosed()


def _decode_endpoints_changed(reader: RecordReader) -> AddressedRecord:
    instance, form, _revision, page_number = reader.read_fields(_ENDPOINTS_CHANGED)
    if form > RegistryForm.FAILED:
        raise _unknown_code_error(form, "registry form")
    if form == RegistryForm.FAILED:
        return instance, DiscoveryPollFailed()
    if page_number not in reader.pages:
        message = f"registry record refers to page {page_number}, which no earlier record has declared"
        raise WireError(WireFault.UNKNOWN_PAGE, message)
    event = EndpointsChanged(
        reader.pages[page_number],
        is_full_list=form != RegistryForm.DELTA,
        from_cache=form == RegistryForm.CACHED,
    )
    return instance, event


def _decode_endpoint_page(reader: RecordReader) -> None:
    """Declare a page, which replaces any earlier page with the same number."""
    page_number, entry_count = reader.read_fields(_ENDPOINT_PAGE)
    entries = reader.read_bytes(entry_count * ENDPOINT_ENTRY.size)
    reader.pages[page_number] = tuple(map(_decode_endpoint, ENDPOINT_ENTRY.iter_unpack(entries)))


def _decode_endpoint(entry: tuple[int, float, int, bytes, float, int, int]) -> Endpoint:
    cell, started_at, machine_type, endpoint_id, weight, zone, state_code = entry
    try:
        state = ENDPOINT_STATES[state_code]
    except KeyError as error:
        raise _unknown_code_error(state_code, "server state") from error
    return Endpoint(endpoint_id, state, zone, cell, machine_type, weight, started_at)


def _decode_outcome(code: int) -> Outcome:
    try:
        return OUTCOMES[code]
    except KeyError as error:
        raise _unknown_code_error(code, "outcome code") from error


def _unknown_code_error(code: int, code_kind: str, location: str = "") -> WireError:
    """Return the error for a code that the protocol does not define; `code_kind` says what it stands for."""
    return WireError(WireFault.UNKNOWN_CODE, f"unknown {code_kind} {code}{location}")


# Decoders by code. A record needs only one lookup here to find its decoder, not a chain of comparisons.
_DECODERS: dict[int, Callable[[RecordReader], AddressedRecord | None]] = {
    EventCode.CLIENT_DISCONNECTED: _decode_client_disconnected,
    EventCode.ENDPOINTS_CHANGED: _decode_endpoints_changed,
    EventCode.HEALTH_CHECK_ENDED: _decode_health_check_ended,
    EventCode.INSTANCE_OPENED: _decode_instance_opened,
    EventCode.CLIENT_REQUEST: _decode_client_request,
    EventCode.TIMER_FIRED: _decode_timer_fired,
    EventCode.STREAM_STARTED: _decode_stream_started,
    EventCode.INSTANCE_CLOSED: _decode_instance_closed,
    EventCode.ATTEMPT_ENDED: _decode_attempt_ended,
    EventCode.GOSSIP_RECEIVED: _decode_gossip_received,
    EventCode.COUNTER_REPLY: _decode_counter_reply,
    EventCode.ENDPOINT_PAGE: _decode_endpoint_page,
}
