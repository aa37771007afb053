"""Starts the limiter process: opens its sockets, waits for an endpoint list from discovery, then listens."""

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
from limiter.transport.discovery.discovery_watch import DiscoveryWatch
from limiter.transport.driver.proxy import Proxy

# Maximum wait for the first response of discovery. After that the limiter serves with the endpoint list of
# the configuration if that may be used: without discovery, an outdated list is better than none.
DISCOVERY_WAIT_SECONDS = 1.0
# Further wait if that list must not be used. Both together are below 6 s, within which a restarted limiter
# has to be ready. After that it rejects all requests until discovery has responded.
UNUSABLE_LIST_WAIT_SECONDS = 4.0

log = logging.getLogger("limiter")


async def run_limiter(config: Config) -> None:
    """Serve clients until SIGTERM or SIGINT.

    Raises:
        ConfigError: The endpoint list in the configuration is invalid.
        OSError: The limiter cannot bind an address.
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
        await _wait_for_endpoint_list(proxy.discovery, stop_requested)
        listener = Listener(config, proxy, clock)
        host, port = listener.socket.getsockname()[:2]
        log.info("listening name=%s address=%s:%d", config.name, host, port)
        await stop_requested.wait()
        await shut_down_gracefully(listener, proxy)


def raise_descriptor_limit(configured_descriptors: int) -> int:
    """Raise the soft limit on file descriptors to the configured number, but not above the hard limit.

    Args:
        configured_descriptors: Number of descriptors that the configuration allows.

    Returns:
        Number of descriptors that the process may use.
    """
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    usable_descriptors = (
        configured_descriptors
        if hard_limit == resource.RLIM_INFINITY
        else min(configured_descriptors, hard_limit)
    )
    if soft_limit != resource.RLIM_INFINITY and soft_limit < usable_descriptors:
        resource.setrlimit(resource.RLIMIT_NOFILE, (usable_descriptors, hard_limit))
    return usable_descriptors


def _exclude_from_garbage_collection() -> None:
    """Exclude all existing objects from later collections, since they live as long as the process."""
    gc.collect()
    gc.freeze()


async def _wait_for_endpoint_list(discovery: DiscoveryWatch, stop_requested: asyncio.Event) -> None:
    """Wait for the first response of discovery, since servers may drain since before this process started.

    On return, the list of the configuration is either usable or has expired, unless discovery has responded.
    """
    await _wait_for_any(DISCOVERY_WAIT_SECONDS, discovery.first_list_received, stop_requested)
    if not discovery.is_list_usable:
        await _wait_for_any(UNUSABLE_LIST_WAIT_SECONDS, discovery.first_list_received, stop_requested)
    discovery.expire_unusable_list()


async def _wait_for_any(timeout_seconds: float, *events: asyncio.Event) -> None:
    """Wait until one of the events is set or the timeout expires."""
    wait_tasks = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(wait_tasks, timeout=timeout_seconds, return_when=asyncio.FIRST_COMPLETED)
    for wait_task in wait_tasks:
        wait_task.cancel()
