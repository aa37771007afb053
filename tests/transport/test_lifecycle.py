"""The limiter process: its configuration, clock and timers, signals, and limits."""

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
from tests.support.fake_server import never_respond, respond_after, respond_with
from tests.support.harness import REPOSITORY_ROOT, LimiterHarness, launch_limiter, limiter_with
from tests.support.limiter_settings import make_raw_config, make_raw_settings, make_raw_settings_with_quota
from tests.support.waiting import wait_until

# Configuration


CLASSES_AS_OBJECT = {"count": 1, "0": {"aim": 1, "deadline": 2, "effect": "once"}}

# Each entry: a document, and the setting that the error message names.
BAD_CONFIGURATIONS: dict[str, tuple[Any, str]] = {
    "not JSON": ("{", "RELAY_CONFIG"),
    "not an object": ("[]", "RELAY_CONFIG"),
    "no settings": (make_raw_config(settings=None), "settings"),
    "listen": (make_raw_config(listen="here"), "listen"),
    "port": (make_raw_config(listen="127.0.0.1:99999"), "listen"),
    "discovery": (make_raw_config(discovery=7), "discovery"),
    "seed": (make_raw_config(seed="xyz"), "seed"),
    "sockets": (make_raw_config(limits={"sockets": "many"}), "limits.sockets"),
    "counter": (make_raw_config(settings=make_raw_settings_with_quota(1.0, 2.0), counter=None), "counter"),
    "known": (make_raw_config(known={"generation": 1, "instances": [{}]}), "known"),
    "effect": (
        make_raw_config(settings=make_raw_settings(classes=[{"name": "a", "effect": "odd"}])),
        "classes.0",
    ),
    "gateways": (make_raw_config(settings=make_raw_settings(peersTotal=0)), "limiter_count"),
    "no plan": (make_raw_config(settings=make_raw_settings(contracts=[])), "contracts.count"),
    "number in place of names": (
        make_raw_config(settings=make_raw_settings(localities=3)),
        "settings.localities",
    ),
    "integer that no float holds": (make_raw_config(settings=make_raw_settings(me=10**400)), "limiter_index"),
    "classes as an object": (
        make_raw_config(
            settings=make_raw_settings(classes={"count": 1, "0": {"aim": 1, "deadline": 2, "effect": "once"}})
        ),
        "settings.classes",
    ),
    "endless plans": (
        make_raw_config(settings=make_raw_settings(contracts={"count": 10**12})),
        "settings.contracts",
    ),
    "plan without an object": (
        make_raw_config(settings=make_raw_settings(contracts=[{"name": "a"}, "b"])),
        "settings.contracts",
    ),
    "not Unicode": (make_raw_config(settings=make_raw_settings(localities=["\ud800"])), "settings: "),
}


@pytest.mark.parametrize(("document", "setting"), BAD_CONFIGURATIONS.values(), ids=BAD_CONFIGURATIONS.keys())
async def test_a_bad_configuration_is_reported_in_one_line_that_names_the_setting(
    document: Any, setting: str, tmp_path: Path
) -> None:
    """The program exits with code 1."""
    process = await launch_limiter(tmp_path, document)
    _, stderr = await process.communicate()
    output = stderr.decode()
    assert process.returncode == 1
    assert len(output.splitlines()) == 1
    assert setting in output


# Time


def test_the_clock_is_unix_time_and_does_not_step(monkeypatch: pytest.MonkeyPatch) -> None:
    """A step of the system's clock changes nothing."""
    clock = Clock()
    assert abs(clock() - time.time() * 1000) < 1000
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock() > 1.6e12


class TimerRecorder:
    """A policy engine that records, for each timer, how long before its time it fired.

    Attributes:
        early_ms: 0 or less for a timer that fired in time or late.
    """

    def __init__(self, due_ms: dict[int, float]) -> None:
        """Take the time at which each timer is due, by its token."""
        self.due_ms = due_ms
        self.early_ms: list[float] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Record the timer; no other event may come."""
        assert isinstance(event, TimerFired)
        self.early_ms.append(self.due_ms[event.token] - now)
        return []


async def test_the_policys_timers_never_fire_early() -> None:
    """The policy ignores a timer that fires before its time, and its housekeeping would stop for good."""
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
    """New connections are accepted for a while; each connection is closed with its next response."""
    released = asyncio.Event()
    harness.servers[0].responder = respond_after(released, respond_with(200, b"complete"))
    waiting = await harness.connect()
    idle = await harness.connect()
    waiting.send(build_request())
    await wait_until(lambda: harness.received_requests)
    harness.process.send_signal(signal.SIGTERM)
    newcomer = await harness.connect()
    newcomer.send(build_request(request_id="2"))
    await wait_until(
        lambda: len(harness.received_requests) == 2 and any("stopping" in line for line in harness.log_lines)
    )
    released.set()
    for client in (waiting, newcomer):
        response = await client.read_response()
        assert (response.status, response.body) == (200, b"complete")
        assert response.headers["connection"] == "close"
        assert await client.read_until_closed() == b""
    assert await idle.read_until_closed() == b""
    assert await harness.process.wait() == 0


@limiter_with(servers=1)
async def test_sigterm_ends_requests_that_no_server_responds_to(harness: LimiterHarness) -> None:
    """A request that may have run gets a failure, never a rejection."""
    harness.servers[0].responder = never_respond
    keyed = await harness.connect()
    idempotent = await harness.connect()
    keyed.send(build_request("submit", deadline_ms=60000))
    idempotent.send(build_request(request_id="2", deadline_ms=60000))
    await wait_until(lambda: len(harness.received_requests) == 2)
    harness.process.send_signal(signal.SIGTERM)
    assert (await keyed.read_response()).status in (502, 504)
    assert (await idempotent.read_response()).status in (429, 502, 503, 504)
    assert await harness.process.wait() == 0


# Limits


@limiter_with(sockets=64)
async def test_running_out_of_descriptors_does_not_end_the_limiter(harness: LimiterHarness) -> None:
    """It serves again once clients have closed their connections."""
    clients = []
    for _ in range(150):  # The limit of 64 descriptors allows far fewer.
        clients.append(await harness.connect())
    await wait_until(lambda: harness.count_open_descriptors() >= 20)
    for client in clients:
        client.close()
    for number in range(5):
        assert (await harness.send_request(build_request(request_id=str(number)))).body == b"from s-0"
    assert harness.process.returncode is None


async def test_a_descriptor_limit_below_the_configurations_is_survived(harness: LimiterHarness) -> None:
    """The limit is lowered while the process runs; idle connections are closed for those with requests."""
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
async def test_too_many_connections_with_requests_are_rejected_not_dropped(harness: LimiterHarness) -> None:
    """Connections beyond those that can be rejected wait in the listen backlog."""
    harness.servers[0].responder = never_respond
    clients = [await harness.connect() for _ in range(60)]
    for number, client in enumerate(clients):
        client.send(build_request(request_id=str(number), deadline_ms=1500))
    results = await asyncio.gather(*(client.read_response() for client in clients), return_exceptions=True)
    responses = [result for result in results if not isinstance(result, BaseException)]
    assert {response.status for response in responses} <= {429, 503, 504}
    assert len(responses) > 20


def test_the_deploy_file_names_existing_paths() -> None:
    """It runs this program, and needs no system packages."""
    deploy = tomllib.loads((REPOSITORY_ROOT / "deploy" / "balancer.toml").read_text())
    assert all((REPOSITORY_ROOT / path).exists() for path in deploy["policy"] + deploy["node"])
    assert deploy["run"].endswith("-m limiter")
    assert json.dumps(deploy["packages"]) == "[]"
