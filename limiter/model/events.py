"""Events: the input of the decision policy.

All times and durations are milliseconds. Times are those of the clock that the policy is given with each
event; latencies run from when an attempt, call or health check was sent.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

EndpointId = bytes  # opaque: only compared, and handed back in actions


class Outcome(Enum):
    """How an attempt, a counter call or a health check ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error; it may have run the request
    REJECTED = "rejected"  # the other side rejected it without running it
    TIMEOUT = "timeout"  # no answer in time; it may have run, or may still run
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # the connection broke while the attempt was in flight; it may have run
    CANCELLED = "cancelled"  # the policy stopped waiting; it may have run
    REQUEST_OVER = "request over"  # never sent: the request already had its final answer, or no attempt left


# Outcomes after which the server certainly did not run the request.
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.REQUEST_OVER)


class EndpointState(Enum):
    """A server's state on the endpoint list."""

    READY = "ready"  # may be sent requests
    DRAINING = "draining"  # finishes what it has; to be sent nothing new
    GONE = "gone"  # removed; only among changes, never on a full list


class LoadMetric(Enum):
    """What a server may report of its own load."""

    IN_FLIGHT = "in flight"  # requests that it holds
    QUEUED = "queued"  # requests that wait for service
    UTILIZATION = "utilisation"  # share of its processors in use, 0 to 1
    SERVICE_TIME = "service time"  # recent, in milliseconds
    THROUGHPUT = "throughput"  # requests a second
    ERROR_RATE = "error rate"  # errors a second


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list: one server."""

    id: EndpointId
    state: EndpointState
    zone: int = 0
    cell: int = 0  # servers that share what they know of idempotency keys
    kind: int = 0  # of machine
    weight: float = 1.0  # capacity hint, to compare with those of other servers
    started_at: float = 0.0  # 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """The endpoint list, or what changed of it."""

    endpoints: tuple[Endpoint, ...]
    is_full_list: bool  # it replaces the list as it was; else only these entries changed
    from_cache: bool = False  # the list as last known, maybe long ago: not an answer of discovery


@dataclass(frozen=True, slots=True)
class DiscoveryPollFailed:
    """A call to discovery brought no list."""

    rejected: bool = True  # discovery was reached and turned the call away; else nothing was heard of it


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request has arrived whole."""

    id: int
    customer: int
    plan: int  # index in the settings' plans
    request_class: int  # index in the settings' request classes
    units: float  # that it draws from the quota; an estimate where units are post-paid
    limiter_set_size: float  # limiters that may get this customer's requests,
    limiter_set_start: float  # and the number of the first
    expires_at: float  # when the client gives up
    is_retry: bool = False  # the client repeats an earlier request, and says so


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over; there is one such event for each attempt."""

    request_id: int
    attempt: int  # attempts of a request are numbered from 0 in the order in which they were sent
    endpoint_id: EndpointId
    outcome: Outcome
    latency: float
    request_finished: bool  # the request has its final answer
    load_report: Mapping[LoadMetric, float] | None = None
    metered_utilization: float | None = None  # the customer's use through all limiters / its quota, delayed
    billed_units: float | None = None  # post-paid: they replace the estimate
    stale_connection: bool = False  # reset before any answer on a reused connection


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed answer has come; from here on the attempt has no time-out."""

    request_id: int
    attempt: int
    endpoint_id: EndpointId
    latency: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits for its answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CounterReply:
    """A counter call is over. After TIMEOUT the amount may or may not have been added.

    Attributes:
        key: The key of the count that was called.
        outcome: How the call ended.
        total: The count after this call, all limiters together. Valid with `Outcome.OK` only.
        latency: Milliseconds from the call to its end.
    """

    key: int
    outcome: Outcome
    total: float
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
    """A message of another limiter."""

    sender: int  # its limiter index
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
