"""Start of the limiter process: opens its sockets, catches up with discovery, then listens."""

from __future__ import annotations

import asyncio
import gc
import logging
import resource
import signal
from contextlib import closing

from limiter.configuration.config import Config
from limiter.process.reload import reload_configuration
from limiter.process.shutdown import shut_down_gracefully
from limiter.transport.clients.listener import Listener
from limiter.transport.clock import Clock
from limiter.transport.driver.proxy import Proxy

# Longest wait for discovery's first response. After that the endpoint list of the configuration has to do: a
# limiter that serves by an old list is better than none while discovery is down.
DISCOVERY_WAIT_SECONDS = 1.0

log = logging.getLogger("limiter")


async def run_limiter(config: Config) -> None:
    """Serve clients until SIGTERM or SIGINT.

    Raises:
        ConfigError: The configured endpoint list cannot be read.
        OSError: An address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    clock = Clock()
    with closing(Proxy(config, clock)) as proxy:
        proxy.discovery.load_configured_endpoints(config.configured_endpoints)
        stop_requested = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, reload_configuration, proxy)
        proxy.discovery.start()
        _exclude_from_garbage_collection()
        # Servers may have drained while this process did not run, so no request is accepted before discovery
        # has responded.
        await _wait_for_any(DISCOVERY_WAIT_SECONDS, proxy.discovery.first_list_received, stop_requested)
        listener = Listener(config, proxy, clock)
        host, port = listener.socket.getsockname()[:2]
        log.info("listening name=%s address=%s:%d", config.name, host, port)
        await stop_requested.wait()
        await shut_down_gracefully(listener, proxy)


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the process's soft limit of file descriptors; return how many the process may plan with.

    Args:
        wanted: Descriptors that the configuration grants. The hard limit of the system may allow fewer.
    """
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    granted = wanted if hard_limit == resource.RLIM_INFINITY else min(wanted, hard_limit)
    if soft_limit != resource.RLIM_INFINITY and soft_limit < granted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (granted, hard_limit))
    return granted


def _exclude_from_garbage_collection() -> None:
    """Exclude what exists now from later collections: it lives as long as the process."""
    gc.collect()
    gc.freeze()


async def _wait_for_any(timeout_seconds: float, *events: asyncio.Event) -> None:
    """Wait until one of the events is set, or the time is up."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, timeout=timeout_seconds, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
