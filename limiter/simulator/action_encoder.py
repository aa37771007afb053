"""Encodes the actions of the decision policy as records of a reply to the simulator.

A record consists of a one-byte code, the number of the instance that takes the action, and the fields that
belong to the code.
"""

from __future__ import annotations

import struct
from typing import Final, assert_never

from limiter.model.actions import (
    Action,
    BroadcastGossip,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    LogMessage,
    PollDiscovery,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
)

# Codes of actions. The comments give their names in the wire protocol.
CANCEL_ATTEMPT: Final = 80  # STOP_ATTEMPT
FAIL_REQUEST: Final = 81  # ABORT
REJECT_REQUEST: Final = 82  # TURN_AWAY
SET_TIMER: Final = 84  # NOTIFY_ME
BROADCAST_GOSSIP: Final = 86  # PUBLISH
SEND_HEALTH_CHECK: Final = 87  # PROBE
INCREMENT_COUNTER: Final = 88  # ADD_TO
LOG_MESSAGE: Final = 89  # NOTE_DOWN
SEND_ATTEMPT: Final = 90  # FORWARD
POLL_DISCOVERY: Final = 92  # SUBSCRIBE

ALL_PEERS: Final = 0xFFFF  # The receiver number of a message to all other instances.
SUBSCRIPTION_ON: Final = 1
MAX_LOG_MESSAGE_BYTES: Final = 0xFFFF  # The length field has two bytes.

# Layouts of the records, including the code; the comments give the wire protocol's names of the fields. A
# layout that ends with a length is followed by that number of bytes.
_CANCEL_ATTEMPT = struct.Struct(">BHIB")  # limiter, requestId, seqNo
_FAIL_REQUEST = struct.Struct(">BHI")  # limiter, requestId
_REJECT_REQUEST = struct.Struct(">BHId")  # limiter, requestId, comeBack
_SET_TIMER = struct.Struct(">BHdI")  # limiter, fromNow, handle
_BROADCAST_GOSSIP = struct.Struct(">BHHH")  # limiter, dest, length of bytes
_SEND_HEALTH_CHECK = struct.Struct(">BH6s")  # limiter, server
_INCREMENT_COUNTER = struct.Struct(">BHdQf")  # limiter, time to live, cname, by
_LOG_MESSAGE = struct.Struct(">BHH")  # limiter, length of msg
_SEND_ATTEMPT = struct.Struct(">BHId6s")  # limiter, requestId, giveUpAfter, server
_POLL_DISCOVERY = struct.Struct(">BHB")  # limiter, want


def encode_action(instance: int, action: Action) -> bytes:  # noqa: C901, PLR0911 - one case for each action
    """Encode an action of the instance with this number; the most frequent types are tested first."""
    match action:
        case SendAttempt():
            return _encode_send_attempt(instance, action)
        case RejectRequest():
            return _encode_reject_request(instance, action)
        case IncrementCounter():
            return _encode_increment_counter(instance, action)
        case SetTimer():
            return _encode_set_timer(instance, action)
        case BroadcastGossip():
            return _encode_broadcast_gossip(instance, action)
        case FailRequest():
            return _encode_fail_request(instance, action)
        case CancelAttempt():
            return _encode_cancel_attempt(instance, action)
        case SendHealthCheck():
            return _encode_send_health_check(instance, action)
        case LogMessage():
            return _encode_log_message(instance, action)
        case PollDiscovery():
            return _POLL_DISCOVERY.pack(POLL_DISCOVERY, instance, SUBSCRIPTION_ON)
        case _:
            assert_never(action)


def _encode_cancel_attempt(instance: int, action: CancelAttempt) -> bytes:
    return _CANCEL_ATTEMPT.pack(CANCEL_ATTEMPT, instance, action.request_id, action.attempt)


def _encode_fail_request(instance: int, action: FailRequest) -> bytes:
    return _FAIL_REQUEST.pack(FAIL_REQUEST, instance, action.request_id)


def _encode_reject_request(instance: int, action: RejectRequest) -> bytes:
    return _REJECT_REQUEST.pack(REJECT_REQUEST, instance, action.request_id, action.retry_after)


def _encode_set_timer(instance: int, action: SetTimer) -> bytes:
    return _SET_TIMER.pack(SET_TIMER, instance, action.delay, action.token)


def _encode_broadcast_gossip(instance: int, action: BroadcastGossip) -> bytes:
    return _BROADCAST_GOSSIP.pack(BROADCAST_GOSSIP, instance, ALL_PEERS, len(action.body)) + action.body


def _encode_send_health_check(instance: int, action: SendHealthCheck) -> bytes:
    return _SEND_HEALTH_CHECK.pack(SEND_HEALTH_CHECK, instance, action.endpoint_id)


def _encode_increment_counter(instance: int, action: IncrementCounter) -> bytes:
    return _INCREMENT_COUNTER.pack(
        INCREMENT_COUNTER, instance, action.time_to_live, action.key, action.units_to_add
    )


def _encode_log_message(instance: int, action: LogMessage) -> bytes:
    text = action.text.encode()[:MAX_LOG_MESSAGE_BYTES]
    return _LOG_MESSAGE.pack(LOG_MESSAGE, instance, len(text)) + text


def _encode_send_attempt(instance: int, action: SendAttempt) -> bytes:
    return _SEND_ATTEMPT.pack(SEND_ATTEMPT, instance, action.request_id, action.timeout, action.endpoint_id)
