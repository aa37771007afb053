"""Tests of experiments of the kinds `process` and `module`: counts and derived figures, but no times."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from scale.errors import ExperimentError
from scale.experiment import ResultLine, load_experiment, run
from scale.process.fleet_load import LimiterFleet, compute_fleet_load
from scale.process.slopes import fit_slopes

EXPERIMENTS = Path(__file__).parents[2] / "scale" / "experiments"

Line = dict[str, Any]


def run_to_result_lines(file_name: str) -> list[Line]:
    """Run a shipped experiment and return its result lines after a round trip through JSON."""
    lines: list[ResultLine] = []
    run(load_experiment(EXPERIMENTS / file_name, None), lines.append, lambda _progress: None)
    return [json.loads(json.dumps(line)) for line in lines]


def select_lines(lines: list[Line], kind: str) -> list[Line]:
    """Return the lines of a kind, which is the value of their key `line`."""
    return [line for line in lines if line["line"] == kind]


def check_size_line(line: Line) -> None:
    """Check that a limiter process became ready with one call for the endpoint list and without a warning."""
    assert line["ready_s"] is not None, line
    assert line["lists_asked"] == 1, line
    assert not line["warnings"], line
    assert line["list_bytes"] < line["lists_bytes_in"] < line["list_bytes"] + 200
    assert 5 < line["resident_mb"] <= line["peak_mb"]


def check_phase_line(line: Line) -> None:
    """Check that the emulated peers generated the load of the phase and that each request got a response."""
    phase_name = line["phase"]
    assert line["datagrams_in"] == (0 if phase_name == "idle" else 10)
    assert line["changes"] == (6 if phase_name in ("changes", "load") else 0)
    # The last change of a phase may be acknowledged after the phase, and counts in the next one then.
    peers_late = f"emulated peers were {line['stand_ins_late_p99_ms']} ms late"
    assert line["changes"] - 1 <= line["changes_heard"] <= line["changes"] + 1, peers_late
    assert line["requests"] == (10 if phase_name == "load" else 0)
    assert line["lost"] == 0
    assert sum(line["answers"].values()) == line["requests"]
    assert set(line["answers"]) <= {"200", "429", "503"}


def check_load_line(line: Line) -> None:
    """Check that the requests of the phase `load` caused traffic with servers, counter and peers."""
    assert line["answers"]["200"]
    assert line["nodes_bytes_in"]
    assert line["added_p50_ms"] > 0
    assert line["datagrams_out"]
    assert line["counter_calls"]
    assert line["counter_busy"] == 0


def test_a_small_sweep_of_limiter_processes_gives_the_expected_counts() -> None:
    lines = run_to_result_lines("process-small.toml")
    sizes = select_lines(lines, "size")
    assert [line["servers"] for line in sizes] == [20, 40, 60]
    for line in sizes:
        check_size_line(line)
    phases = select_lines(lines, "phase")
    assert [line["phase"] for line in phases] == ["idle", "datagrams", "changes", "load"] * 3
    for line in phases:
        check_phase_line(line)
        if line["phase"] == "load":
            check_load_line(line)
    slopes = {(line["of"], line["phase"]): line for line in select_lines(lines, "slope")}
    assert 130 < slopes["list_bytes", ""]["each"] < 200
    assert ("core", "load") in slopes


def test_a_small_sweep_of_the_policy_engine_gives_the_expected_counts() -> None:
    lines = run_to_result_lines("module-small.toml")
    sizes = select_lines(lines, "size")
    assert [line["servers"] for line in sizes] == [20, 40, 60]
    for line in sizes:
        assert (line["list_n"], line["change_n"], line["round_idle_n"]) == (1, 12, 5)
        # One message about each customer at first, then 32 messages per second for 2 s.
        assert line["message_n"] == 100 + 64
        assert line["ended_n"] == 100 - line["refused"]
        # At most 8 further requests are sent until two attempts remain in flight.
        assert 102 <= line["request_n"] <= 108
        assert line["attempts_out"] == 2
        # Each of the other limiters sends in turn.
        assert line["senders_heard"] == 49
    slopes = {line["of"] for line in select_lines(lines, "slope")}
    assert slopes >= {"change_us", "round_us", "request_us"}


@pytest.mark.parametrize(
    "invalid_line",
    ["servers = [0]", "servers = []", "servers = [1]\npace = 1", 'servers = "1"', "servers = [1.5]"],
)
def test_an_invalid_key_is_named_in_the_error(invalid_line: str, tmp_path: Path) -> None:
    path = tmp_path / "wrong.toml"
    path.write_text(f'kind = "process"\nlimiters = [2]\n{invalid_line}\n')
    with pytest.raises(ExperimentError, match=r"^(servers|pace)"):
        load_experiment(path, None)


def test_the_computed_load_of_a_fleet_with_a_pushed_endpoint_list() -> None:
    load_figures = compute_fleet_load(
        LimiterFleet(
            limiter_count=200,
            discovery_is_pushed=True,
            changes_per_s=0.44,
            requests_per_s=1.5,
            counter_calls_per_request=0.5,
            gossip_intake_per_s=40,
        )
    )
    # While the list seldom changes, each limiter makes one call per second.
    assert load_figures.discovery_call_rate == pytest.approx(200.0)
    assert load_figures.discovery_entry_rate == pytest.approx(88.0)
    assert load_figures.counter_call_rate == pytest.approx(150.0)
    assert load_figures.gossip_interval_s == pytest.approx(199 / 32)
    assert load_figures.datagram_rate == pytest.approx(200 * 32)


@pytest.mark.parametrize(
    ("changes_per_s", "requests_per_s", "discovery_calls"),
    [
        pytest.param(0.44, 1.5, 7200 * 0.44, id="each change ends all watches"),
        pytest.param(0.0, 0.0, 360.0, id="a watch without changes lasts 20 s"),
    ],
)
def test_the_computed_load_of_a_large_fleet_that_polls_discovery(
    changes_per_s: float, requests_per_s: float, discovery_calls: float
) -> None:
    load_figures = compute_fleet_load(
        LimiterFleet(
            limiter_count=7200,
            discovery_is_pushed=False,
            changes_per_s=changes_per_s,
            requests_per_s=requests_per_s,
            counter_calls_per_request=0.5,
            gossip_intake_per_s=40,
        )
    )
    assert load_figures.discovery_call_rate == pytest.approx(discovery_calls)
    assert load_figures.gossip_interval_s == pytest.approx(7199 / 32)


def test_a_slope_needs_three_sizes() -> None:
    lines = [{"n": size, "y": 5.0 + 2 * size, "none": None} for size in (10, 20, 40)]
    (slope,) = fit_slopes("x", "n", lines, ("y", "none"))
    assert slope["each"] == pytest.approx(2.0)
    assert slope["at_none"] == pytest.approx(5.0)
    assert slope["r2"] == 1.0
    assert fit_slopes("x", "n", lines[:2], ("y",)) == []
