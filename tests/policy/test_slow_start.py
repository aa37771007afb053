"""Tests of slow start: the load on a cold server is the sum of the attempts of many limiters."""

from __future__ import annotations

import pytest

from tests.support.simulated_fleet import LoadBurst, SimulatedFleet
from tests.support.simulated_server import SimulatedServer

# Minimum number of attempts at a warming server within 6 s; with fewer, slow start starves the server.
MIN_ARRIVALS = 12


def simulate_crash_and_cold_restart(limiters: int, seed: int) -> list[SimulatedServer]:
    """Crash three of twelve servers, and return them 6 s after their cold restart.

    Before the restart, the load doubles and exceeds the capacity of the fleet. One limiter learns of the
    restart 5 s late.
    """
    burst = LoadBurst(start=8500.0, end=18000.0, load_factor=2.0)
    fleet = SimulatedFleet(limiters=limiters, servers=12, load=0.9, seed=seed, burst=burst)
    crashed = range(3)
    fleet.run_until(6000.0)
    for number in crashed:
        fleet.crash_server(number)
    fleet.run_until(6500.0)
    fleet.announce_servers()
    fleet.run_until(9000.0)
    cold_servers = [fleet.add_server(number, fleet.now) for number in crashed]
    fleet.announcement_delays_ms = {seed: 5000.0}
    fleet.announce_servers()
    fleet.run_until(15000.0)
    return cold_servers


@pytest.mark.parametrize(("limiters", "seed"), [(20, 6), (30, 3), (30, 4), (30, 5)])
def test_restarted_servers_are_neither_starved_nor_overloaded_by_many_limiters(
    limiters: int, seed: int
) -> None:
    """Seen in an earlier version: cold servers, which had no attempt in flight, had the lowest cost."""
    cold_servers = simulate_crash_and_cold_restart(limiters, seed)
    assert all(len(server.arrivals) >= MIN_ARRIVALS for server in cold_servers), (
        "slow start sent fewer than 12 attempts to a server"
    )
    assert max(server.compute_peak_load_ratio() for server in cold_servers) < 1.0
