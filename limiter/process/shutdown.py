"""Graceful shutdown: requests that are in hand are finished before the platform kills the process.

The platform sends SIGTERM, and SIGKILL after the longest deadline of a request and a fixed delay. In between:

1. New connections are still accepted for ACCEPT_AFTER_SIGTERM_SECONDS, while clients learn of the shutdown.
2. Each connection is closed with its next response, or at once if no request is in hand.
3. What is unanswered after `shutdown_seconds` is ended with an error response.
4. FLUSH_SECONDS later all connections that are left are aborted.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from limiter.model.settings import Settings
from limiter.transport.clients.listener import Listener
from limiter.transport.driver.proxy import Proxy

# New connections are accepted for so long after SIGTERM, since clients go on connecting until health checks
# have failed.
ACCEPT_AFTER_SIGTERM_SECONDS = 0.5
# The platform kills the process after the longest deadline of its request classes, of which it counts
# MAX_DEADLINE_SECONDS at most, and KILL_DELAY_SECONDS more.
MAX_DEADLINE_SECONDS = 3.0
KILL_DELAY_SECONDS = 0.7
# Time for the last responses to leave the process's buffers.
FLUSH_SECONDS = 0.15
# Time that is left between the planned exit and the kill, for a busy machine.
KILL_MARGIN_SECONDS = 0.1
# Interval between two looks at whether a step of the shutdown is complete.
SHUTDOWN_POLL_SECONDS = 0.02

log = logging.getLogger("limiter")


def compute_shutdown_seconds(settings: Settings) -> float:
    """Return the seconds from SIGTERM until the requests that are unanswered are ended."""
    longest_deadline_ms = max(request_class.deadline for request_class in settings.request_classes)
    kill_after = min(MAX_DEADLINE_SECONDS, longest_deadline_ms / 1000) + KILL_DELAY_SECONDS
    return kill_after - FLUSH_SECONDS - KILL_MARGIN_SECONDS


async def shut_down_gracefully(listener: Listener, proxy: Proxy) -> None:
    """Finish the requests in hand, as far as there is time for them, and close all client connections."""
    log.info("stopping unanswered_requests=%d", len(proxy.requests.list_unanswered()))
    loop = asyncio.get_running_loop()
    requests_end_at = loop.time() + compute_shutdown_seconds(proxy.settings)
    listener.start_draining()
    await asyncio.sleep(ACCEPT_AFTER_SIGTERM_SECONDS)
    listener.stop_accepting()
    await _wait_while(listener.close_idle_connections, requests_end_at)
    listener.reject_new_requests()
    for request in proxy.requests.list_unanswered():
        proxy.forwarder.end_request(request)
    await _wait_while(listener.has_connections, loop.time() + FLUSH_SECONDS)
    listener.abort()


async def _wait_while(condition: Callable[[], bool], end_at: float) -> None:
    """Wait until the condition no longer holds, or until `end_at`, in seconds of the loop's clock."""
    loop = asyncio.get_running_loop()
    while True:
        if not condition() or loop.time() >= end_at:
            return
        await asyncio.sleep(SHUTDOWN_POLL_SECONDS)
