"""Actions: the output of the decision policy.

All times and durations are in milliseconds. Actions are carried out in the order in which they are returned.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from limiter.model.events import EndpointId


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Forward a request to a server. AttemptEnded follows, at the latest when the timeout expires.

    The attempts of a request are numbered from 0 in the order of these actions.

    Attributes:
        request_id: Number of the request.
        endpoint_id: Id of the server to send the request to.
        timeout: Milliseconds after which the attempt times out; 0 if it lasts until the client gives up.
        write_before: Time from which on the request must not be written, since the servers may have forgotten
            its idempotency key; infinite if there is no such time. The attempt then ends unsent.
    """

    request_id: int
    endpoint_id: EndpointId
    timeout: float
    write_before: float = math.inf


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Finish a request as rejected, which guarantees the client that a retry is safe.

    Attributes:
        request_id: Number of the request.
        retry_after: Milliseconds that the client should wait before a retry; 0 if not specified.
    """

    request_id: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Finish a request as failed, with no guarantee about whether it was run."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt. AttemptEnded follows as for any other attempt."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add units to a count in the shared counter and read the new total. CounterReply follows.

    Attributes:
        key: Key of the count, 64 bits.
        units_to_add: Units to add; 0 only reads the total.
        time_to_live: Milliseconds after which a count that this call creates expires. Later calls do not
            extend it.
    """

    key: int
    units_to_add: float
    time_to_live: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver TimerFired with this token after the delay. A timer cannot be cancelled."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Request a server's health and load. HealthCheckEnded follows."""

    endpoint_id: EndpointId


@dataclass(frozen=True, slots=True)
class PollDiscovery:
    """Allow the driver to poll discovery once. EndpointsChanged or DiscoveryPollFailed follows."""


@dataclass(frozen=True, slots=True)
class BroadcastGossip:
    """Send a message to all other limiters. Each of them may receive it late or never."""

    body: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | IncrementCounter
    | SetTimer
    | SendHealthCheck
    | PollDiscovery
    | BroadcastGossip
    | LogMessage
)
