"""The limiter's own life: configuration, start, limits, signals."""

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

from limiter.codecs.settings_text import SettingsText, parse_settings
from limiter.configuration.config import flatten, parse
from limiter.model.actions import Action
from limiter.model.events import Event, TimerFired
from limiter.model.settings import DedupScope, Idempotency
from limiter.transport.clock import Clock
from limiter.transport.driver.proxy import Proxy
from tests.support.client import http_request
from tests.support.fake_server import never_answer, respond_with
from tests.support.harness import ROOT, LimiterHarness, launch_limiter, run_scenario
from tests.support.in_process_limiter import configuration, respond_after
from tests.support.limiter_settings import settings, settings_with_quota
from tests.support.waiting import wait_until

# Configuration


def test_nested_settings_are_read_like_the_simulators_lines() -> None:
    """One parser reads both forms."""
    lines = list(flatten(settings()))
    assert "classes.count=3" in lines
    assert "classes.1.effect=by_key" in lines
    assert "extra.mayCount=false" in lines
    assert "localities=a,b" in lines
    assert "limits.dialTimeout=250" in lines
    parsed = parse_settings(SettingsText("\n".join(lines).encode()))
    assert parsed.request_classes[1].idempotency is Idempotency.IDEMPOTENCY_KEY
    assert parsed.request_classes[1].dedup_scope is DedupScope.ZONE
    assert parse(configuration()).settings == parsed


# What is wrong: the document, and the setting that the message names.
BAD_CONFIGURATIONS: dict[str, tuple[Any, str]] = {
    "not JSON": ("{", "RELAY_CONFIG"),
    "no object": ("[]", "RELAY_CONFIG"),
    "no settings": (configuration(settings=None), "settings"),
    "listen": (configuration(listen="here"), "listen"),
    "port": (configuration(listen="127.0.0.1:99999"), "listen"),
    "discovery": (configuration(discovery=7), "discovery"),
    "seed": (configuration(seed="xyz"), "seed"),
    "sockets": (configuration(limits={"sockets": "many"}), "limits.sockets"),
    "counter": (configuration(settings=settings_with_quota(1.0, 2.0), counter=None), "counter"),
    "known": (configuration(known={"generation": 1, "instances": [{}]}), "known"),
    "effect": (configuration(settings=settings(classes=[{"name": "a", "effect": "odd"}])), "classes.0"),
    "gateways": (configuration(settings=settings(peersTotal=0)), "limiter_count"),
    "no plan": (configuration(settings=settings(contracts=[])), "contracts.count"),
    "two names": (configuration(settings=settings(localities=3)), "settings.localities"),
    "not Unicode": (configuration(settings=settings(localities=["\ud800"])), "settings: "),
}


@pytest.mark.parametrize("what", BAD_CONFIGURATIONS)
def test_a_bad_configuration_is_reported_in_one_line_that_names_the_setting(
    what: str, tmp_path: Path
) -> None:
    """The program ends with exit code 1."""
    document, setting = BAD_CONFIGURATIONS[what]

    async def main() -> tuple[int, str]:
        process = await launch_limiter(tmp_path, document)
        _, output = await process.communicate()
        return process.returncode or 0, output.decode()

    exit_code, output = asyncio.run(main())
    assert exit_code == 1
    assert len(output.splitlines()) == 1
    assert setting in output


# Time


def test_the_clock_is_unix_time_and_does_not_step(monkeypatch: pytest.MonkeyPatch) -> None:
    """A step of the system's clock changes nothing."""
    clock = Clock()
    assert abs(clock() - time.time() * 1000) < 1000
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock() > 1.6e12


def test_the_policys_timers_never_fire_early() -> None:
    """The policy ignores a timer before its time, and its housekeeping would stop for good."""

    async def main() -> list[float]:
        clock = Clock()
        proxy = Proxy(parse(configuration()), clock)
        early_ms: list[float] = []
        due_ms = {token: clock() + 10.0 + token for token in range(5)}

        class RecordingEngine:
            def handle(self, now: float, event: Event) -> list[Action]:
                assert isinstance(event, TimerFired)
                early_ms.append(due_ms[event.token] - now)
                return []

        proxy.engine = RecordingEngine()  # type: ignore[assignment]
        for token, due in due_ms.items():
            proxy.fire_timer(due, token)
        await wait_until(lambda: len(early_ms) == 5)
        proxy.close()
        return early_ms

    assert max(asyncio.run(main())) <= 0


# Signals


def test_sigterm_answers_open_requests_and_exits_with_0() -> None:
    """Connections are accepted for a while; each is closed with its next response."""

    async def scenario(harness: LimiterHarness) -> None:
        released = asyncio.Event()
        harness.servers[0].answer = respond_after(released, respond_with(200, b"complete"))
        waiting, idle = await harness.connect(), await harness.connect()
        waiting.send(http_request())
        await wait_until(lambda: harness.received)
        harness.process.send_signal(signal.SIGTERM)
        newcomer = await harness.connect()  # connections go on coming for a while
        newcomer.send(http_request(request_id="2"))
        await wait_until(
            lambda: len(harness.received) == 2 and any("stopping" in line for line in harness.log_lines)
        )
        released.set()
        for client in (waiting, newcomer):
            response = await client.response()
            assert (response.status, response.body) == (200, b"complete")
            assert response.headers["connection"] == "close"
            assert await client.read_until_closed() == b""
        assert await idle.read_until_closed() == b""
        assert await harness.process.wait() == 0

    run_scenario(scenario)


def test_sigterm_ends_requests_that_no_server_answers() -> None:
    """A request that may have run gets a failure, never a rejection."""

    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = never_answer
        keyed, idempotent = await harness.connect(), await harness.connect()
        keyed.send(http_request("submit", deadline_ms=60000))
        idempotent.send(http_request(request_id="2", deadline_ms=60000))
        await wait_until(lambda: len(harness.received) == 2)
        harness.process.send_signal(signal.SIGTERM)
        assert (await keyed.response()).status in (502, 504)  # it may have run: no rejection
        assert (await idempotent.response()).status in (429, 502, 503, 504)
        assert await harness.process.wait() == 0

    run_scenario(scenario, servers=1)


# Limits


def test_running_out_of_descriptors_does_not_end_the_limiter() -> None:
    """It serves again once clients have closed."""

    async def scenario(harness: LimiterHarness) -> None:
        clients = []
        for _ in range(150):  # far beyond what a limit of 64 allows
            clients.append(await harness.connect())
        await wait_until(lambda: harness.descriptors() >= 20)
        for client in clients:
            client.close()
        for number in range(5):
            assert (await harness.send_request(http_request(request_id=str(number)))).body == b"from s-0"
        assert harness.process.returncode is None

    run_scenario(scenario, sockets=64)


def test_a_descriptor_limit_below_the_configurations_is_survived() -> None:
    """The limit is lowered while the process runs."""

    async def scenario(harness: LimiterHarness) -> None:
        limit = harness.descriptors() + 3
        resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        clients = [await harness.connect() for _ in range(40)]
        for number in range(3):  # idle ones are closed for it
            clients[-1].send(http_request(request_id=str(number)))
        await asyncio.sleep(0.3)
        for client in clients:
            client.close()
        await asyncio.sleep(0.3)
        assert (await harness.send_request(http_request(request_id="after"))).status in (200, 503)
        assert harness.process.returncode is None

    run_scenario(scenario)


def test_too_many_connections_with_requests_are_rejected_not_dropped() -> None:
    """Those beyond the overflow wait in the backlog."""

    async def scenario(harness: LimiterHarness) -> None:
        harness.servers[0].answer = never_answer
        clients = [await harness.connect() for _ in range(60)]
        for number, client in enumerate(clients):
            client.send(http_request(request_id=str(number), deadline_ms=1500))
        results = await asyncio.gather(*(client.response() for client in clients), return_exceptions=True)
        responses = [result for result in results if not isinstance(result, BaseException)]
        assert {response.status for response in responses} <= {429, 503, 504}
        assert len(responses) > 20

    run_scenario(scenario, sockets=64)


def test_the_deploy_file_names_existing_paths() -> None:
    """And runs this program without packages of the system."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert all((ROOT / path).exists() for path in deploy["policy"] + deploy["node"])
    assert deploy["run"].endswith("-m limiter")
    assert json.dumps(deploy["packages"]) == "[]"
