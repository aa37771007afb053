"""Requests of attempts that a test sends through a server pool."""

from __future__ import annotations

import math
import time

from limiter.transport.servers.attempt import AttemptRequest

TIMEOUT_SECONDS = 5.0


def make_attempt_request(request_id: str = "1", *, write_within_seconds: float = math.inf) -> AttemptRequest:
    """Return a request that expires after TIMEOUT_SECONDS.

    Args:
        request_id: the request's id.
        write_within_seconds: time from now after which it must not be written.
    """
    now_seconds = time.monotonic()
    return AttemptRequest(
        head=b"GET /read/5 HTTP/1.1\r\nX-Request-Id: %b\r\n" % request_id.encode(),
        body=b"",
        expires_at_seconds=now_seconds + TIMEOUT_SECONDS,
        write_before_seconds=now_seconds + write_within_seconds,
    )
