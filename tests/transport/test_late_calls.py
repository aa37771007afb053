"""Tests of calls to a shared discovery that are answered too late, while later calls are in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from limiter.transport.discovery.discovery_connection import DiscoveryConnection
from limiter.transport.discovery.discovery_watch import DiscoveryWatch, DiscoveryWatchOptions
from limiter.transport.discovery.endpoint_list import ListedEndpoint, NameNumbering
from limiter.transport.discovery.late_calls import MAX_LATE_CALLS, DiscoveryCall, LateCalls
from limiter.transport.discovery.poll_pacing import PollPacing
from limiter.transport.http_response import HttpResponse
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_server import FakeServer
from tests.support.waiting import wait_until

RESPONSE = HttpResponse(status=200, body=b"{}", content_type=b"", is_marked_not_run=False, keep_alive=True)
SHORT_GRACE_SECONDS = 0.02


class LateCallDriver:
    """Makes calls late whose responses the test decides.

    Attributes:
        answered_versions: known versions of the calls whose response was reported.
    """

    def __init__(self) -> None:
        """Start without a call."""
        self.answered_versions: list[int | None] = []
        self.late_calls = LateCalls(lambda call, _: self.answered_versions.append(call.known_version))

    def add(self, version: int) -> tuple[DiscoveryCall, asyncio.Future[HttpResponse]]:
        """Add a late call for the changes since a version."""
        response: asyncio.Future[HttpResponse] = asyncio.get_running_loop().create_future()

        async def wait_for_response() -> HttpResponse:
            return await response

        task = asyncio.get_running_loop().create_task(wait_for_response())
        call = DiscoveryCall(DiscoveryConnection(), version, task)
        self.late_calls.add(call)
        return call, response


async def test_late_responses_are_reported_in_the_order_in_which_they_come() -> None:
    driver = LateCallDriver()
    _, first = driver.add(1)
    _, second = driver.add(2)
    second.set_result(RESPONSE)
    await wait_until(lambda: driver.answered_versions)
    first.set_result(RESPONSE)
    await wait_until(lambda: len(driver.answered_versions) > 1)
    assert driver.answered_versions == [2, 1]


async def test_earliest_late_call_is_given_up_for_a_further_one_and_failed_calls_are_not_reported() -> None:
    """A discovery that never responds must not hold more and more connections."""
    driver = LateCallDriver()
    calls = [driver.add(version) for version in range(MAX_LATE_CALLS + 1)]
    tasks = [call.response for call, _ in calls]
    await asyncio.wait(tasks[:1])
    assert [task.cancelled() for task in tasks] == [True] + [False] * MAX_LATE_CALLS
    calls[1][1].set_exception(ConnectionResetError())
    await asyncio.wait(tasks[1:2])
    driver.late_calls.close()
    await asyncio.wait(tasks)
    assert tasks[-1].cancelled()
    assert driver.answered_versions == []


class OvertakenDiscovery(FakeDiscovery):
    """Holds back its response to the second call until the test releases it.

    Attributes:
        released: set by the test; the held response states the version that was current when the call came.
    """

    def __init__(self) -> None:
        """Create a discovery that has received no call."""
        super().__init__()
        self.released = asyncio.Event()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection_number: int
    ) -> None:
        """Hold back the response on the first connection from its second call on."""
        held_writer = HeldWriter(writer, self.released) if connection_number == 1 else writer
        await super().serve_connection(reader, held_writer, connection_number)  # type: ignore[arg-type]


class HeldWriter:
    """Writes the first response immediately, and the second one once it is released."""

    def __init__(self, writer: asyncio.StreamWriter, released: asyncio.Event) -> None:
        """Write to `writer`."""
        self._writer = writer
        self._released = released
        self._writes: list[asyncio.Task[None]] = []
        self.write: Callable[[bytes], None] = self._write_first

    def _write_first(self, data: bytes) -> None:
        self._writer.write(data)
        self.write = self._hold

    def _hold(self, data: bytes) -> None:
        self._writes.append(asyncio.get_running_loop().create_task(self._write_when_released(data)))

    async def _write_when_released(self, data: bytes) -> None:
        await self._released.wait()
        self._writer.write(data)


async def test_late_response_does_not_replace_a_newer_list() -> None:
    """The response to the second call is overtaken by that to a later call."""
    server = FakeServer("s-0")
    server.port = 1
    discovery = OvertakenDiscovery()
    discovery.entries = [server.make_list_entry()]
    await discovery.listen()
    pacing = replace(
        PollPacing.for_fleet(4, uses_local_agent=False),
        long_poll_ms=20,
        grace_seconds=SHORT_GRACE_SECONDS,
    )
    states: list[str] = []

    def record_states(servers: list[ListedEndpoint], is_full_list: bool, from_cache: bool) -> None:  # noqa: ARG001 - the watch passes them
        states.extend(endpoint.state.value for endpoint, _ in servers)

    watch = DiscoveryWatch(
        DiscoveryWatchOptions(("127.0.0.1", discovery.port), NameNumbering([], []), 250.0, pacing),
        record_states,
        lambda _is_rejected: None,
        lambda: None,
    )
    watch.start()
    await wait_until(lambda: len(discovery.response_times) > 1, "the response that is held back")
    discovery.publish(server.make_list_entry("leaving"))
    await wait_until(lambda: "draining" in states, "the change")
    calls_before = len(discovery.calls)
    discovery.released.set()
    closed_before = discovery.closed_connections
    await wait_until(lambda: discovery.closed_connections > closed_before, "close of the late connection")
    calls_at_close = len(discovery.calls)
    await wait_until(lambda: len(discovery.calls) > calls_at_close + 1, "further calls")
    assert all("since=2" in call.target for call in discovery.calls[calls_before:])
    assert states[-1] == "draining"
    watch.close()
    discovery.listening_server.close()
