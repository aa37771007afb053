"""Graceful shutdown: finishes the open requests before the platform kills the process.

The platform sends SIGTERM and, after the longest deadline of a request plus a fixed delay, SIGKILL. In
between:

1. New connections are still accepted for ACCEPT_AFTER_SIGTERM_SECONDS, until clients notice the shutdown.
2. Each connection is closed after its next response, or at once if it has no open request.
3. Requests still unanswered `compute_shutdown_seconds` after SIGTERM are ended with an error response.
4. FLUSH_SECONDS later, all remaining connections are aborted.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from limiter.model.settings import Settings
from limiter.transport.clients.listener import Listener
from limiter.transport.driver.proxy import Proxy

# New connections are accepted for this time after SIGTERM, since clients continue to connect until their
# health checks of this limiter have failed.
ACCEPT_AFTER_SIGTERM_SECONDS = 0.5
# The platform sends SIGKILL KILL_DELAY_SECONDS after the longest deadline of the request classes. It counts a
# longer deadline than MAX_DEADLINE_SECONDS as MAX_DEADLINE_SECONDS.
MAX_DEADLINE_SECONDS = 3.0
KILL_DELAY_SECONDS = 0.7
# Time for sending the last responses that are still in the buffers of the process.
FLUSH_SECONDS = 0.15
# Time between the planned exit and SIGKILL, since shutdown takes longer on a busy machine.
KILL_MARGIN_SECONDS = 0.1
# Interval at which a step of the shutdown checks whether it is complete.
SHUTDOWN_POLL_SECONDS = 0.02

log = logging.getLogger("limiter")


def compute_shutdown_seconds(settings: Settings) -> float:
    """Return the seconds from SIGTERM until requests that are still unanswered are ended with an error."""
    longest_deadline_ms = max(request_class.deadline for request_class in settings.request_classes)
    sigkill_after_seconds = min(MAX_DEADLINE_SECONDS, longest_deadline_ms / 1000) + KILL_DELAY_SECONDS
    return sigkill_after_seconds - FLUSH_SECONDS - KILL_MARGIN_SECONDS


async def shut_down_gracefully(listener: Listener, proxy: Proxy) -> None:
    """Finish the open requests, as far as time allows, and close all client connections."""
    log.info("stopping unanswered_requests=%d", len(proxy.requests.list_unanswered()))
    loop = asyncio.get_running_loop()
    requests_end_time = loop.time() + compute_shutdown_seconds(proxy.settings)
    listener.start_draining()
    await asyncio.sleep(ACCEPT_AFTER_SIGTERM_SECONDS)
    listener.stop_accepting()
    await _wait_while(listener.close_idle_connections, requests_end_time)
    listener.reject_new_requests()
    for request in proxy.requests.list_unanswered():
        proxy.forwarder.end_request(request)
    await _wait_while(listener.has_connections, loop.time() + FLUSH_SECONDS)
    listener.abort()


async def _wait_while(condition: Callable[[], bool], end_time: float) -> None:
    """Wait until the condition no longer holds, or until `end_time`, a time of the event loop's clock."""
    loop = asyncio.get_running_loop()
    while True:
        if not condition() or loop.time() >= end_time:
            return
        await asyncio.sleep(SHUTDOWN_POLL_SECONDS)
