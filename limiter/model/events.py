"""Events: the input of the decision policy.

All times and durations are milliseconds. Times are those of the clock that the policy is given with each
event; latencies run from when an attempt, call or health check was sent.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

EndpointId = bytes  # Opaque: it is only compared, and handed back in actions.


class Outcome(Enum):
    """How an attempt, a counter call or a health check ended."""

    OK = "ok"
    ERROR = "error"  # The response was an error; the request may have run.
    REJECTED = "rejected"  # The other side rejected the request without running it.
    TIMEOUT = "timeout"  # There was no response in time; the request may have run, or may still run.
    CONNECT_FAILED = "connect failed"  # There was no connection, so nothing was sent.
    RESET = "reset"  # The connection broke while the attempt was in flight; the request may have run.
    CANCELLED = "cancelled"  # The policy cancelled the attempt; the request may have run.
    REQUEST_ENDED = (
        "request over"  # Nothing was sent: the request had its final response, or no attempt left.
    )


# Outcomes after which it is certain that the server did not run the request.
NOT_EXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.REQUEST_ENDED)


class EndpointState(Enum):
    """A server's state on the endpoint list."""

    READY = "ready"  # The server may be sent requests.
    DRAINING = "draining"  # The server finishes the requests that it has and must not be sent new ones.
    GONE = "gone"  # The server was removed. This state occurs among changes only, never on a full list.


class LoadMetric(Enum):
    """A metric that a server may report of its own load."""

    IN_FLIGHT = "in flight"  # Number of requests at the server.
    QUEUED = "queued"  # Number of requests at the server that wait for service.
    UTILIZATION = "utilisation"  # Fraction of the server's processors in use, 0 to 1.
    SERVICE_TIME = "service time"  # Recent service time in milliseconds.
    THROUGHPUT = "throughput"  # Requests a second.
    ERROR_RATE = "error rate"  # Errors a second.


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list: one server.

    Attributes:
        id: The server's id.
        state: Whether it may be sent requests.
        zone: Number of the zone that it runs in.
        cell: Number of its cell; servers of a cell share what they know of idempotency keys.
        machine_type: Number of its kind of machine.
        weight: Hint at its capacity, to be compared with the weights of other servers.
        started_at: Time at which it started; 0 if that was long ago.
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
    """The endpoint list, or changes to it.

    Attributes:
        endpoints: Entries of the list.
        is_full_list: Whether they replace the former list; otherwise only these entries changed.
        from_cache: Whether this is the list as last known, maybe long ago, and not a response of discovery.
    """

    endpoints: tuple[Endpoint, ...]
    is_full_list: bool
    from_cache: bool = False


@dataclass(frozen=True, slots=True)
class DiscoveryPollFailed:
    """A poll of discovery brought no list.

    Attributes:
        rejected: Whether discovery was reached and rejected the poll; otherwise there was no response.
    """

    rejected: bool = True


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request has arrived completely.

    Attributes:
        id: Number of the request; no other open request of this limiter has it.
        customer: Number of the customer.
        plan: Index of the customer's plan in `Settings.plans`.
        request_class: Index of the request's class in `Settings.request_classes`.
        units: Units that it draws from the quota; an estimate where units are post-paid.
        limiter_set_size: Number of limiters that may get this customer's requests.
        limiter_set_start: Number of the first of these limiters.
        expires_at: Time at which the client gives up.
        is_retry: Whether the client states that it repeats an earlier request.
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
    """An attempt is over; there is one such event for each attempt.

    Attributes:
        request_id: Number of the request.
        attempt: Number of the attempt; those of a request are numbered from 0 in the order of sending.
        endpoint_id: The server that it was sent to.
        outcome: How it ended.
        latency: Milliseconds from its start to its end.
        request_finished: Whether the request has its final response.
        load_report: The server's load as it reported it; None if it didn't.
        metered_utilization: The customer's usage through all limiters as a fraction of its quota, as the
            server metered it some time ago; None if it didn't.
        billed_units: Units that replace the estimate where units are post-paid; None if it stands.
        stale_connection: Whether a reused connection was reset before any byte of the response.
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
    """The first part of a streamed response has come; from here on the attempt has no time-out."""

    request_id: int
    attempt: int
    endpoint_id: EndpointId
    latency: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits for its response."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CounterReply:
    """A counter call is over. After TIMEOUT the amount may or may not have been added.

    Attributes:
        key: The key of the count that was called.
        outcome: How the call ended.
        total_units: The count after this call, all limiters together. Valid with `Outcome.OK` only.
        latency: Milliseconds from the call to its end.
    """

    key: int
    outcome: Outcome
    total_units: float
    latency: float


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check is over."""

    endpoint_id: EndpointId
    outcome: Outcome
    latency: float
    load_report: Mapping[LoadMetric, float] | None = None


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A gossip message of another limiter.

    Attributes:
        sender: Index of that limiter.
        body: The encoded message.
    """

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the policy set has run out."""

    token: int


Event = (
    EndpointsChanged
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
