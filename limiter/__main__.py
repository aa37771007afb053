"""The limiter as a program: read the configuration, start, move with it on SIGHUP, end on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import resource
import signal
import sys
from collections.abc import Callable
from contextlib import closing
from dataclasses import replace

import uvloop

from limiter.configuration.addresses import Address
from limiter.configuration.config import Config, ConfigError
from limiter.configuration.config_loader import load, reload
from limiter.model.settings import Settings
from limiter.transport.clients.listener import Listener
from limiter.transport.clock import Clock
from limiter.transport.discovery.discovery_watch import DiscoveryWatch, DiscoveryWatchOptions
from limiter.transport.discovery.endpoint_list import NameNumbering
from limiter.transport.discovery.poll_pacing import PollPacing
from limiter.transport.driver.proxy import Proxy

# At start discovery is waited for so long; after that the list of the configuration has to do.
DISCOVERY_WAIT_SECONDS = 1.0
ACCEPT_AFTER_SIGTERM_SECONDS = 0.5  # in which connections still come
# The platform kills the process so long after SIGTERM: the longest deadline, MAX_DEADLINE_SECONDS at most,
# and KILL_DELAY_SECONDS more.
MAX_DEADLINE_SECONDS = 3.0
KILL_DELAY_SECONDS = 0.7
FLUSH_SECONDS = 0.15  # for the last responses to leave
KILL_MARGIN_SECONDS = 0.1  # left before the kill
SHUTDOWN_POLL_SECONDS = 0.02

log = logging.getLogger("limiter")


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT; raise ConfigError, or OSError where it can't listen."""
    loop = asyncio.get_running_loop()
    clock = Clock()
    with (
        closing(Proxy(loop, config, clock)) as proxy,
        closing(_watch_discovery(config, proxy)) as discovery,
    ):
        stop = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, move, discovery, proxy)
        discovery.start()
        gc.collect()
        gc.freeze()  # what lives as long as the process need not be looked at again
        # Changes of the list while the process did not run count too: no request is accepted before
        # discovery has answered.
        await _wait_for_any(DISCOVERY_WAIT_SECONDS, discovery.first_response, stop)
        listener = Listener(loop, config, proxy, clock)
        host, port = listener.socket.getsockname()[:2]
        log.info("listening name=%s address=%s:%d", config.name, host, port)
        await stop.wait()
        await drain(listener, proxy)


def _watch_discovery(config: Config, proxy: Proxy) -> DiscoveryWatch:
    """A watch that is not started yet; the proxy has the list of the configuration."""
    settings = config.settings
    options = DiscoveryWatchOptions(
        address=config.discovery,
        names=NameNumbering(config.zone_names, config.kind_names),
        dial_timeout_ms=config.dial_timeout_ms,
        pacing=PollPacing.for_fleet(settings.limiter_count, is_pushed=not settings.polls_discovery),
    )
    discovery = DiscoveryWatch(options, proxy.servers_changed, proxy.discovery_failed)
    proxy.poll_discovery = discovery.allow_next_poll
    discovery.set_known_endpoints(config.known_endpoints)
    return discovery


async def _wait_for_any(timeout_seconds: float, *events: asyncio.Event) -> None:
    """Wait until one of the events is set, or the time is up."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, timeout=timeout_seconds, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def move(discovery: DiscoveryWatch, proxy: Proxy) -> None:
    """Go to the discovery and the counter that the configuration file names now."""
    try:
        config = reload(os.environ)
    except ConfigError as error:  # a file half written or with an error must not stop the service
        _log_rejected(error)
        return
    discovery.change_address(config.discovery)
    if proxy.counter is not None and config.counter is not None:
        proxy.counter.change_address(config.counter)
    log.info(
        "configuration_reloaded discovery=%s counter=%s",
        _endpoint(config.discovery),
        _endpoint(config.counter),
    )


def _endpoint(address: Address | None) -> str:
    return "none" if address is None else "{}:{}".format(*address)


def _log_rejected(error: ConfigError) -> None:
    log.error("configuration_rejected key=%s problem=%s", error.key, error.problem)


def shutdown_seconds(settings: Settings) -> float:
    """Seconds from SIGTERM until the requests that are unanswered are ended, since the kill follows."""
    longest_deadline = max(request_class.deadline for request_class in settings.request_classes) / 1000
    kill_after = min(MAX_DEADLINE_SECONDS, longest_deadline) + KILL_DELAY_SECONDS
    return kill_after - FLUSH_SECONDS - KILL_MARGIN_SECONDS


async def drain(listener: Listener, proxy: Proxy) -> None:
    """Shut down gracefully.

    Connections still come for a while; then each is closed with its next response, or between requests.
    """
    log.info("stopping unanswered_requests=%d", len(proxy.requests.unanswered()))
    loop = asyncio.get_running_loop()
    end = loop.time() + shutdown_seconds(proxy.settings)
    listener.start_draining()
    await asyncio.sleep(ACCEPT_AFTER_SIGTERM_SECONDS)
    listener.stop_accepting()
    await _wait_while(listener.close_idle, end)
    listener.stop_requests()
    for request in proxy.requests.unanswered():
        proxy.forwarder.end(request)
    await _wait_while(listener.has_connections, loop.time() + FLUSH_SECONDS)
    listener.abort()


async def _wait_while(condition: Callable[[], bool], end: float) -> None:
    """Wait until the condition no longer holds, or for `end`, a time of the loop."""
    loop = asyncio.get_running_loop()
    while True:
        if not condition() or loop.time() >= end:
            return
        await asyncio.sleep(SHUTDOWN_POLL_SECONDS)


def _raise_descriptor_limit(wanted: int) -> int:
    """How many descriptors there are to plan with: those wanted, or what the system grants."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    granted = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < granted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (granted, hard))
    return granted


def main() -> int:
    """Run the program; return its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to move: it would end the process
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config = load(os.environ)
        uvloop.run(run(replace(config, max_descriptors=_raise_descriptor_limit(config.max_descriptors))))
    except ConfigError as error:
        print(f"limiter: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"limiter: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
