"""Tests of the status line of responses to clients."""

from __future__ import annotations

import pytest

from limiter.transport.clients.client_response import encode_response


@pytest.mark.parametrize(
    ("status", "reason"),
    [
        (200, b"OK"),
        (400, b"Bad Request"),
        (408, b"Request Timeout"),
        (409, b"Conflict"),
        (413, b"Content Too Large"),
        (429, b"Too Many Requests"),
        (502, b"Bad Gateway"),
        (503, b"Service Unavailable"),
        (504, b"Gateway Timeout"),
    ],
)
def test_status_line_has_the_standard_reason_phrase(status: int, reason: bytes) -> None:
    """The phrases are those of RFC 9110 (of RFC 6585 for 429). Clients and logs display them."""
    status_line, _, _ = encode_response(status, b"", b"", 0.0, close=False).partition(b"\r\n")
    assert status_line == b"HTTP/1.1 %d %b" % (status, reason)
