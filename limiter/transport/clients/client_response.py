"""Encodes HTTP/1.1 responses to clients, and defines responses that the limiter makes without a server."""

from __future__ import annotations

from dataclasses import dataclass

# Retry-After value, in milliseconds, of rejections that are unrelated to the customer's quota.
OVERLOAD_RETRY_AFTER_MS = 1000.0

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """A plain-text response that the limiter makes without a server."""

    status: int
    text: bytes
    retry_after_ms: float = 0.0  # 0 omits the Retry-After header.


def encode_response(
    status: int, body: bytes, content_type: bytes, retry_after_ms: float, *, close: bool
) -> bytes:
    """Return the bytes of an HTTP/1.1 response.

    Args:
        status: Status code; a key of REASON_PHRASES.
        body: The body, which may be empty.
        content_type: The media type; empty omits the header.
        retry_after_ms: Milliseconds for the Retry-After header; 0 omits it.
        close: Whether the connection is closed after this response.
    """
    head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, REASON_PHRASES[status], len(body))
    if content_type:
        head += b"Content-Type: %b\r\n" % content_type
    if retry_after_ms > 0:
        head += b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000)
    return head + (b"Connection: close\r\n\r\n" if close else b"\r\n") + body
