"""Tests that the sample configuration in the README is valid and that the limiter starts with it."""

from __future__ import annotations

import http.client
import os
import re
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from limiter.configuration.config_loader import load_config
from tests.support.paths import REPOSITORY_ROOT
from tests.support.waiting import WAIT_TIMEOUT_SECONDS

SAMPLE_PATH = "deploy/sample/config.json"  # The path in the README, relative to the repository root.
LISTENING_LOG_PATTERN = re.compile(r"listening name=sample address=127\.0\.0\.1:(\d+)")


@contextmanager
def run_sample_limiter(**overrides: str) -> Iterator[subprocess.Popen[str]]:
    """Run a limiter with the sample configuration; kill it if the test takes too long.

    Args:
        overrides: environment variables that override keys of the configuration.
    """
    environment = {**os.environ, "RELAY_CONFIG": SAMPLE_PATH, **overrides}
    command = [sys.executable, "-m", "limiter"]
    with subprocess.Popen(
        command, cwd=REPOSITORY_ROOT, env=environment, stderr=subprocess.PIPE, text=True
    ) as process:
        kill_timer = threading.Timer(WAIT_TIMEOUT_SECONDS, process.kill)
        kill_timer.start()
        try:
            yield process
        finally:
            kill_timer.cancel()
            process.kill()


def read_port(process: subprocess.Popen[str]) -> int:
    """Read the log until the limiter listens, and return the port."""
    assert process.stderr is not None
    lines = []
    for line in process.stderr:
        if found := LISTENING_LOG_PATTERN.search(line):
            return int(found[1])
        lines.append(line)
    message = f"the limiter exited without listening: {''.join(lines)}"
    raise AssertionError(message)


def test_sample_configuration_is_valid_and_uses_only_loopback_addresses() -> None:
    config = load_config({"RELAY_CONFIG": str(REPOSITORY_ROOT / SAMPLE_PATH)})
    assert config.name == "sample"
    assert config.listen_address[0] == "127.0.0.1"
    assert config.discovery_address[0] == "127.0.0.1"
    assert config.counter_address is None
    assert config.gossip is None
    assert config.plan_names == ("unlimited", "standard")


def test_readme_command_starts_the_limiter_with_the_sample_configuration() -> None:
    readme = (REPOSITORY_ROOT / "README.md").read_text(encoding="utf-8")
    assert f"RELAY_CONFIG={SAMPLE_PATH} .venv/bin/python -m limiter\n" in readme


def test_limiter_with_the_sample_configuration_listens_and_is_not_ready_without_servers() -> None:
    # Other programs may use the sample's ports. With port 0, the kernel chooses a free port, and no process
    # listens on port 1.
    with run_sample_limiter(RELAY_LISTEN="127.0.0.1:0", RELAY_DISCOVERY="127.0.0.1:1") as process:
        connection = http.client.HTTPConnection("127.0.0.1", read_port(process), timeout=WAIT_TIMEOUT_SECONDS)
        connection.request("GET", "/_health")
        response = connection.getresponse()
        assert (response.status, response.read()) == (503, b"not ready\n")
        connection.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_TIMEOUT_SECONDS) == 0
