"""Events: the input of the decision policy.

All times and durations are in milliseconds. Times are readings of the clock whose time is passed to the
policy with each event. Latencies are measured from the time at which an attempt, counter call or health check
was sent.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

EndpointId = bytes  # Opaque: the policy only compares ids and returns them in actions.


class Outcome(Enum):
    """How an attempt, a counter call or a health check ended."""

    OK = "ok"
    ERROR = "error"  # The response was an error; the request may have run.
    REJECTED = "rejected"  # The receiver rejected the request without running it.
    TIMEOUT = "timeout"  # No response arrived in time; the request may have run or may still run.
    CONNECT_FAILED = "connect failed"  # No connection could be established, so nothing was sent.
    RESET = "reset"  # The connection broke while the attempt was in flight; the request may have run.
    # The attempt was cancelled, for example because its client disconnected; the request may have run.
    CANCELLED = "cancelled"
    # Nothing was sent: the request was already finished, or had no time or no attempts left.
    REQUEST_ENDED = "request over"


# Outcomes after which it is certain that the server did not run the request.
NOT_EXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.REQUEST_ENDED)


class EndpointState(Enum):
    """A server's state in the endpoint list."""

    READY = "ready"  # The server accepts requests.
    DRAINING = "draining"  # The server finishes its current requests and must not be sent new ones.
    GONE = "gone"  # The server was removed. This state occurs only in changes, never in a full list.


class LoadMetric(Enum):
    """A metric of a server's own load that the server may report."""

    IN_FLIGHT = "in flight"  # Number of requests at the server.
    QUEUED = "queued"  # Number of requests at the server that are waiting for service.
    UTILIZATION = "utilisation"  # Fraction of the server's processors in use, 0 to 1.
    SERVICE_TIME = "service time"  # Recent service time in milliseconds.
    THROUGHPUT = "throughput"  # Requests per second.
    ERROR_RATE = "error rate"  # Errors per second.


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list, which describes one server.

    Attributes:
        id: The server's id.
        state: The server's state, which determines whether it may be sent requests.
        zone: Number of the zone that the server runs in.
        cell: Number of the server's cell; the servers of a cell share their records of idempotency keys.
        machine_type: Number of the server's machine type.
        weight: Hint of the server's capacity relative to that of other servers.
        started_at: Time at which the server started; 0 if it started long ago.
    """

    id: EndpointId
    state: EndpointState
    zone: int = 0
    cell: int = 0
    machine_type: int = 0
    weight: float = 1.0
    started_at: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """A full endpoint list, or changes to the list.

    Attributes:
        endpoints: Entries of the list.
        is_full_list: Whether the entries replace the previous list; otherwise only these entries changed.
        from_cache: Whether this is a stored list, which may be old, and not a response from discovery.
    """

    endpoints: tuple[Endpoint, ...]
    is_full_list: bool
    from_cache: bool = False


@dataclass(frozen=True, slots=True)
class EndpointListExpired:
    """The endpoint list must not be used any more; the next `EndpointsChanged` replaces it.

    The agent of discovery may hold changes that bind this limiter but that it has not received.
    """


@dataclass(frozen=True, slots=True)
class DiscoveryPollFailed:
    """A poll of discovery did not return an endpoint list.

    Attributes:
        rejected: Whether discovery rejected the poll; otherwise discovery did not respond.
    """

    rejected: bool = True


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request has arrived completely.

    Attributes:
        id: Number of the request, unique among the open requests of this limiter.
        customer: Number of the customer.
        plan: Index of the customer's plan in `Settings.plans`.
        request_class: Index of the request's class in `Settings.request_classes`.
        units: Units that the request takes from the quota; an estimate if `Settings.is_post_paid` is set.
        limiter_set_size: Number of limiters that may receive this customer's requests.
        limiter_set_start: Index of the first of these limiters.
        expires_at: Time at which the client gives up.
        is_retry: Whether the client marked the request as a retry of an earlier one.
    """

    id: int
    customer: int
    plan: int
    request_class: int
    units: float
    limiter_set_size: float
    limiter_set_start: float
    expires_at: float
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended. There is exactly one such event for each attempt.

    Attributes:
        request_id: Number of the request.
        attempt: Number of the attempt; the attempts of a request are numbered from 0 in the order of sending.
        endpoint_id: Id of the server that the attempt was sent to.
        outcome: How the attempt ended.
        latency: Milliseconds from the start of the attempt to its end.
        request_finished: Whether the request has received its final response.
        load_report: Load reported by the server; None if it reported none.
        metered_utilization: The customer's usage through all limiters as a fraction of its quota, measured by
            the server some time ago; None if the server did not report it.
        billed_units: Actual units of the request, which replace the estimate in `ClientRequest.units`; None
            if the estimate remains valid.
        stale_connection: Whether the attempt reused a connection that was reset before the first byte of the
            response.
    """

    request_id: int
    attempt: int
    endpoint_id: EndpointId
    outcome: Outcome
    latency: float
    request_finished: bool
    load_report: Mapping[LoadMetric, float] | None = None
    metered_utilization: float | None = None
    billed_units: float | None = None
    stale_connection: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed response has arrived. From now on the attempt has no timeout."""

    request_id: int
    attempt: int
    endpoint_id: EndpointId
    latency: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected and no longer waits for the response."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CounterReply:
    """A call to the counter has ended. After `Outcome.TIMEOUT`, the units may or may not have been added.

    Attributes:
        key: Key of the count.
        outcome: How the call ended.
        total_units: Units added by all limiters together, including this call. Valid only with `Outcome.OK`.
        latency: Milliseconds from the start of the call to its end.
    """

    key: int
    outcome: Outcome
    total_units: float
    latency: float


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has ended."""

    endpoint_id: EndpointId
    outcome: Outcome
    latency: float
    load_report: Mapping[LoadMetric, float] | None = None


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A gossip message from another limiter has arrived.

    Attributes:
        sender: Index of the limiter that sent it.
        body: The encoded message.
    """

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the policy set has expired."""

    token: int


Event = (
    EndpointsChanged
    | EndpointListExpired
    | DiscoveryPollFailed
    | ClientRequest
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | CounterReply
    | HealthCheckEnded
    | GossipReceived
    | TimerFired
)
