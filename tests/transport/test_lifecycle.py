"""Tests of the limiter process: configuration errors, clock and timers, signals, and descriptor limits."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest

from limiter.configuration.config_parser import parse_config
from limiter.model.actions import Action
from limiter.model.events import Event, TimerFired
from limiter.transport.clock import Clock
from limiter.transport.driver.proxy import Proxy
from tests.support.client import build_request
from tests.support.fake_server import FakeServer, never_respond, respond_after, respond_with
from tests.support.harness import LimiterHarness, launch_limiter, limiter_with
from tests.support.in_process_limiter import RawClient, in_process_limiter
from tests.support.limiter_settings import make_raw_config, make_raw_settings, make_raw_settings_with_quota
from tests.support.paths import REPOSITORY_ROOT
from tests.support.waiting import wait_until

# Configuration errors


# For each case: the configuration, and the setting that the error message must name.
INVALID_CONFIGURATIONS: dict[str, tuple[Any, str]] = {
    "not JSON": ("{", "RELAY_CONFIG"),
    "not an object": ("[]", "RELAY_CONFIG"),
    "missing settings": (make_raw_config(settings=None), "settings"),
    "invalid listen address": (make_raw_config(listen="here"), "listen"),
    "port out of range": (make_raw_config(listen="127.0.0.1:99999"), "listen"),
    "invalid discovery address": (make_raw_config(discovery=7), "discovery"),
    "invalid seed": (make_raw_config(seed="xyz"), "seed"),
    "invalid socket limit": (make_raw_config(limits={"sockets": "many"}), "limits.sockets"),
    "missing counter address": (
        make_raw_config(settings=make_raw_settings_with_quota(1.0, 2.0), counter=None),
        "counter",
    ),
    "invalid endpoint list": (make_raw_config(known={"generation": 1, "instances": [{}]}), "known"),
    "request class with an unknown effect": (
        make_raw_config(settings=make_raw_settings(classes=[{"name": "a", "effect": "odd"}])),
        "classes.0",
    ),
    "fleet without limiters": (make_raw_config(settings=make_raw_settings(peersTotal=0)), "limiter_count"),
    "empty list of plans": (make_raw_config(settings=make_raw_settings(contracts=[])), "contracts.count"),
    "number instead of a list of zones": (
        make_raw_config(settings=make_raw_settings(localities=3)),
        "settings.localities",
    ),
    "integer exceeding the range of a float": (
        make_raw_config(settings=make_raw_settings(me=10**400)),
        "limiter_index",
    ),
    "classes as an object instead of a list": (
        make_raw_config(
            settings=make_raw_settings(classes={"count": 1, "0": {"aim": 1, "deadline": 2, "effect": "once"}})
        ),
        "settings.classes",
    ),
    "excessive number of plans": (
        make_raw_config(settings=make_raw_settings(contracts={"count": 10**12})),
        "settings.contracts",
    ),
    "plan that is not an object": (
        make_raw_config(settings=make_raw_settings(contracts=[{"name": "a"}, "b"])),
        "settings.contracts",
    ),
    "invalid Unicode": (make_raw_config(settings=make_raw_settings(localities=["\ud800"])), "settings: "),
}


@pytest.mark.parametrize(
    ("document", "setting"), INVALID_CONFIGURATIONS.values(), ids=INVALID_CONFIGURATIONS.keys()
)
async def test_invalid_configuration_is_reported_in_one_line_that_names_the_setting(
    document: Any, setting: str, tmp_path: Path
) -> None:
    """The process exits with code 1."""
    process = await launch_limiter(tmp_path, document)
    _, stderr = await process.communicate()
    output = stderr.decode()
    assert process.returncode == 1
    assert len(output.splitlines()) == 1
    assert setting in output


# Clock and timers


def test_clock_returns_unix_time_and_ignores_steps_of_the_system_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A step of the system clock after the start does not affect the times of the limiter."""
    clock = Clock()
    assert abs(clock() - time.time() * 1000) < 1000
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock() > 1.6e12


class TimerRecorder:
    """A policy engine that records, for each timer, how long before its due time it fired.

    Attributes:
        early_ms: for each timer that fired, its due time minus the time at which it fired, in milliseconds; 0
            or less unless it fired early.
    """

    def __init__(self, due_ms: dict[int, float]) -> None:
        """Expect the timers in `due_ms`, which maps the token of each timer to its due time."""
        self.due_ms = due_ms
        self.early_ms: list[float] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Record the timer; any other event fails the test."""
        assert isinstance(event, TimerFired)
        self.early_ms.append(self.due_ms[event.token] - now)
        return []


async def test_policy_timers_never_fire_early() -> None:
    """The policy ignores a timer that fires early, so its periodic tasks would never run again."""
    clock = Clock()
    proxy = Proxy(parse_config(make_raw_config()), clock)
    due_ms = {token: clock() + 10.0 + token for token in range(5)}
    recorder = TimerRecorder(due_ms)
    proxy.engine = recorder  # type: ignore[assignment]
    for token, due in due_ms.items():
        proxy.deliver_timer_when_due(due, token)
    await wait_until(lambda: len(recorder.early_ms) == 5)
    proxy.close()
    assert max(recorder.early_ms) <= 0


# Signals


async def test_open_requests_get_their_responses_after_sigterm_and_the_exit_code_is_0(
    harness: LimiterHarness,
) -> None:
    """New connections are accepted for a limited time; each connection is closed after its next response."""
    released = asyncio.Event()
    harness.servers[0].responder = respond_after(released, respond_with(200, b"complete"))
    waiting_client = await harness.connect()
    idle_client = await harness.connect()
    waiting_client.send(build_request())
    await wait_until(lambda: harness.received_requests)
    harness.process.send_signal(signal.SIGTERM)
    new_client = await harness.connect()
    new_client.send(build_request(request_id="2"))
    await wait_until(
        lambda: len(harness.received_requests) == 2 and any("stopping" in line for line in harness.log_lines)
    )
    released.set()
    for client in (waiting_client, new_client):
        response = await client.read_response()
        assert (response.status, response.body) == (200, b"complete")
        assert response.headers["connection"] == "close"
        assert await client.read_until_closed() == b""
    assert await idle_client.read_until_closed() == b""
    assert await harness.process.wait() == 0


@limiter_with(servers=1)
async def test_sigterm_ends_requests_that_no_server_responds_to(harness: LimiterHarness) -> None:
    """A request that may have been executed gets an error, never a rejection."""
    harness.servers[0].responder = never_respond
    client_with_key = await harness.connect()
    idempotent_client = await harness.connect()
    client_with_key.send(build_request("submit", deadline_ms=60000))
    idempotent_client.send(build_request(request_id="2", deadline_ms=60000))
    await wait_until(lambda: len(harness.received_requests) == 2)
    harness.process.send_signal(signal.SIGTERM)
    assert (await client_with_key.read_response()).status in (502, 504)
    assert (await idempotent_client.read_response()).status in (429, 502, 503, 504)
    assert await harness.process.wait() == 0


# Descriptor limits


@limiter_with(sockets=64)
async def test_exhausted_descriptors_do_not_terminate_the_limiter(harness: LimiterHarness) -> None:
    """The limiter serves requests again once clients have closed their connections."""
    clients = []
    for _ in range(150):  # Far more than the limit of 64 descriptors allows.
        clients.append(await harness.connect())
    await wait_until(lambda: harness.count_open_descriptors() >= 20)
    for client in clients:
        client.close()
    for number in range(5):
        assert (await harness.send_request(build_request(request_id=str(number)))).body == b"from s-0"
    assert harness.process.returncode is None


async def test_connection_whose_client_has_just_closed_it_is_shed_for_a_new_one() -> None:
    """Otherwise the new one gets 503 until the event loop has read the ends of the others' streams."""
    async with in_process_limiter(FakeServer("s-0")) as (_, listener):
        client = RawClient(listener)
        await wait_until(lambda: listener.registry.new)
        client.send(b"GET /")
        assert not listener.registry.shed_connection()  # A request may be on its way.
        client.socket.close()
        assert listener.registry.shed_connection()
        assert not listener.registry.connections


async def test_descriptor_limit_below_the_configured_one_does_not_terminate_the_limiter(
    harness: LimiterHarness,
) -> None:
    """The limit is lowered while the process runs; idle connections are closed in favor of active ones."""
    limit = harness.count_open_descriptors() + 3
    resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
    clients = [await harness.connect() for _ in range(40)]
    for number in range(3):
        clients[-1].send(build_request(request_id=str(number)))
    await asyncio.sleep(0.3)
    for client in clients:
        client.close()
    await asyncio.sleep(0.3)
    assert (await harness.send_request(build_request(request_id="after"))).status in (200, 503)
    assert harness.process.returncode is None


@limiter_with(sockets=64)
async def test_requests_on_too_many_connections_are_rejected_instead_of_dropped(
    harness: LimiterHarness,
) -> None:
    """Connections beyond the number that can be rejected wait in the listen backlog."""
    harness.servers[0].responder = never_respond
    clients = [await harness.connect() for _ in range(60)]
    for number, client in enumerate(clients):
        client.send(build_request(request_id=str(number), deadline_ms=1500))
    results = await asyncio.gather(*(client.read_response() for client in clients), return_exceptions=True)
    responses = [result for result in results if not isinstance(result, BaseException)]
    assert {response.status for response in responses} <= {429, 503, 504}
    assert len(responses) > 20


def test_paths_in_the_deployment_file_exist() -> None:
    """The file must also start this program and require no system packages."""
    deploy = tomllib.loads((REPOSITORY_ROOT / "deploy" / "balancer.toml").read_text())
    assert all((REPOSITORY_ROOT / path).exists() for path in deploy["policy"] + deploy["node"])
    assert deploy["run"].endswith("-m limiter")
    assert json.dumps(deploy["packages"]) == "[]"
