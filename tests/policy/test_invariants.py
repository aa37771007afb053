"""Tests of the rules of the policy: properties over random event sequences, and examples."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from limiter.model.events import AttemptEnded, ClientDisconnected, EndpointsChanged, EndpointState, Outcome
from limiter.model.settings import DedupScope, Idempotency, QuotaPlan, RequestClass
from tests.support.policy_driver import PolicyDriver, make_driver, make_endpoint, make_endpoint_id
from tests.support.policy_scenarios import PLANS_WITHOUT_QUOTA

# Kind of an event, number from which the details of the event are derived, and ms since the previous event.
Step = tuple[int, int, float]

STEP = st.tuples(st.integers(0, 9), st.integers(0, 2**16), st.floats(0.0, 400.0))
HYPOTHESIS_SETTINGS = settings(
    max_examples=120, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
OUTCOMES = list(Outcome)
STATES = list(EndpointState)
CEILING_PLAN = QuotaPlan(ceiling_rate=20.0, ceiling_burst=40.0)

# Indexes of request classes in the settings of the driver.
IDEMPOTENCY_KEY_IN_ZONE = 1
NOT_IDEMPOTENT = 4


def play(driver: PolicyDriver, steps: list[Step]) -> None:
    """Deliver the event of each step, if it is possible, and then let all open requests time out."""
    totals_by_key: dict[int, float] = {}
    for index, (kind, selector, gap_ms) in enumerate(steps):
        driver.advance_to(driver.now + gap_ms)
        if kind <= 3:
            deliver_request(driver, 1000 + index, selector)
        elif kind <= 5 and driver.list_attempts_in_flight():
            in_flight = driver.list_attempts_in_flight()
            driver.end_attempt(in_flight[selector % len(in_flight)], OUTCOMES[selector % len(OUTCOMES)])
        elif kind == 6 and driver.pending_counter_calls:
            deliver_counter_reply(driver, totals_by_key, selector)
        elif kind == 7:
            started_at = driver.now if selector % 2 else 0.0
            change = make_endpoint(selector % 4, STATES[selector % 3], started_at)
            driver.deliver_event(EndpointsChanged((change,), is_full_list=selector % 7 == 0))
        elif kind == 8 and driver.requests:
            request_id = list(driver.requests)[selector % len(driver.requests)]
            if request_id not in driver.final_answers:
                driver.deliver_event(ClientDisconnected(request_id))
        elif kind == 9:
            outcome = OUTCOMES[selector % 8]
            driver.deliver_event(
                AttemptEnded(selector, 0, make_endpoint_id(selector % 9), outcome, 1.0, bool(selector % 2))
            )
    driver.advance_to(driver.now + 10000.0)


def deliver_request(driver: PolicyDriver, request_id: int, selector: int) -> None:
    """Deliver a request whose class, plan, customer, limiter set and client time-out depend on `selector`."""
    driver.send_request(
        request_id,
        request_class=selector % 5,
        plan=selector % 3,
        customer=selector % 4,
        limiters_in_set=float(selector % 6),
        first_limiter=float(selector % 3),
        client_timeout=float(1 + selector % 3000),
    )


def deliver_counter_reply(driver: PolicyDriver, totals_by_key: dict[int, float], selector: int) -> None:
    """Reply to the oldest counter call with a total that includes remote usage, or that was lost before."""
    call = driver.pending_counter_calls[0]
    totals_by_key[call.key] = totals_by_key.get(call.key, 0.0) + call.units_to_add + selector % 3
    if selector % 5 == 0:
        totals_by_key[call.key] = 0.0
    driver.reply_to_counter_call(OUTCOMES[selector % len(OUTCOMES)], totals_by_key[call.key])


# Hypothesis derives the examples of a test from the source text of its function without comments, because of
# `derandomize`: renaming or rewording in the next three functions gives other examples.
@HYPOTHESIS_SETTINGS
@given(st.lists(STEP, max_size=80), st.integers(0, 5))
def test_every_request_gets_one_answer_in_time_and_no_double_effect(steps: list[Step], seed: int) -> None:
    """The driver checks each action against the rules for retries and time limits."""
    driver = make_driver(seed=seed)
    play(driver, steps)
    assert set(driver.requests) == set(driver.final_answers)


@HYPOTHESIS_SETTINGS
@given(st.lists(STEP, max_size=60), st.integers(0, 5))
def test_same_events_and_seed_give_the_same_actions(steps: list[Step], seed: int) -> None:
    """The policy has no source of chance or time but its seed and its events."""
    first = make_driver(seed=seed)
    second = make_driver(seed=seed)
    play(first, steps)
    play(second, steps)
    assert first.actions == second.actions


@HYPOTHESIS_SETTINGS
@given(st.lists(st.floats(0.0, 60.0), min_size=50, max_size=200), st.floats(1.0, 3.0), st.integers(0, 2))
def test_admitted_units_stay_below_the_limiters_share_of_the_ceiling(
    gaps: list[float], set_size: float, set_start: int
) -> None:
    """Over any interval, from the first admission to the last."""
    driver = make_driver(plans=(CEILING_PLAN,))
    for request_id, gap in enumerate(gaps):
        driver.advance_to(driver.now + gap)
        driver.send_request(request_id, limiters_in_set=set_size, first_limiter=float(set_start))
        for sent in driver.list_attempts_in_flight():
            driver.end_attempt(sent, Outcome.OK)
    is_member = (0 - set_start) % 3 < set_size
    share = 1 / set_size
    # Check each interval that starts and ends with an admission.
    for index, (start, _, _) in enumerate(driver.admissions):
        for units, (at, _, _) in enumerate(driver.admissions[index:], 1):
            assert is_member, "a limiter outside the set has no share"
            assert units <= share * (40.0 + 20.0 * (at - start) / 1000) + 1e-6


def test_the_token_bucket_of_the_ceiling_is_empty_at_the_start() -> None:
    """Otherwise each restart of a limiter would admit a burst."""
    driver = make_driver(plans=(CEILING_PLAN,))
    driver.send_request(1)
    assert driver.final_answers[1] == "RejectRequest"
    driver.advance_to(6000.0)
    driver.send_request(2)
    assert driver.sent_attempts[2]


@dataclass
class FleetCounts:
    """Attempts that 300 limiters together sent for 3000 requests, and the requests that they rejected."""

    attempts_to_warming_servers: int = 0
    attempts_to_warm_servers: int = 0
    rejected_requests: int = 0


def simulate_fleet(warming_servers: int, warm_servers: int) -> FleetCounts:
    """Let each of 300 limiters handle ten requests while some of the servers have just started."""
    counts = FleetCounts()
    servers = tuple(
        make_endpoint(index, start_time=1000.0 if index < warming_servers else 0.0)
        for index in range(warming_servers + warm_servers)
    )
    warming_ids = {server.id for server in servers[:warming_servers]}
    for seed in range(300):
        driver = make_driver(server_count=0, seed=seed, limiter_count=300, plans=PLANS_WITHOUT_QUOTA)
        driver.now = 1000.0
        driver.deliver_event(EndpointsChanged(servers, is_full_list=True))
        for request_id in range(10):
            driver.send_request(request_id, customer=request_id)
            for sent in driver.list_attempts_in_flight():
                if sent.endpoint_id in warming_ids:
                    counts.attempts_to_warming_servers += 1
                else:
                    counts.attempts_to_warm_servers += 1
                driver.end_attempt(sent, Outcome.OK, 50.0)
        counts.rejected_requests += sum(answer == "RejectRequest" for answer in driver.final_answers.values())
    return counts


def test_hundreds_of_limiters_together_send_a_warming_server_its_share_of_attempts() -> None:
    """The limiters do not know each other's attempts, so only the mean of their sum can be right."""
    counts = simulate_fleet(warming_servers=4, warm_servers=12)
    attempts_ratio = (counts.attempts_to_warming_servers / 4) / (counts.attempts_to_warm_servers / 12)
    # The ratio should be a fifth from the first second on: the server is neither starved nor overloaded.
    assert 0.1 < attempts_ratio < 0.35
    assert counts.rejected_requests < 0.1 * 3000


def test_a_fleet_of_only_warming_servers_is_not_overloaded() -> None:
    """Seen in an earlier version: each limiter selected some warming server for every request."""
    counts = simulate_fleet(warming_servers=16, warm_servers=0)
    # Two candidates at a fifth of the capacity each: less than twice their capacity.
    assert counts.attempts_to_warming_servers < 0.5 * 3000
    assert counts.attempts_to_warming_servers + counts.rejected_requests == 3000


def test_draining_and_removed_servers_get_no_attempts() -> None:
    """A change of the list marks a server as draining; a full list that omits a server removes it."""
    driver = make_driver(server_count=2)
    driver.deliver_event(EndpointsChanged((make_endpoint(0, EndpointState.DRAINING),), is_full_list=False))
    for request_id in range(10):
        driver.send_request(request_id, customer=request_id)
    assert {sent.endpoint_id for sent in driver.list_attempts_in_flight()} == {make_endpoint_id(1)}
    driver.complete_attempts_in_flight()
    # Servers that a full list omits are removed.
    driver.deliver_event(EndpointsChanged((make_endpoint(0),), is_full_list=True))
    for request_id in range(10, 20):
        driver.send_request(request_id, customer=request_id)
    assert {sent.endpoint_id for sent in driver.list_attempts_in_flight() if sent.request_id >= 10} == {
        make_endpoint_id(0)
    }


def test_a_request_that_is_not_idempotent_is_retried_only_if_it_did_not_run() -> None:
    """A failed connection proves that the request did not run; a connection reset does not."""
    driver = make_driver()
    driver.send_request(1, request_class=NOT_IDEMPOTENT)
    driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.CONNECT_FAILED)
    assert len(driver.sent_attempts[1]) == 2
    driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.RESET)
    assert len(driver.sent_attempts[1]) == 2
    assert driver.final_answers[1] == "FailRequest"


def test_a_request_with_an_idempotency_key_is_retried_in_its_zone(driver: PolicyDriver) -> None:
    """The servers of the zone share the keys, so a second run has no effect."""
    driver.send_request(1, request_class=IDEMPOTENCY_KEY_IN_ZONE)
    driver.advance_to(500.0)
    driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.ERROR)
    first, second = driver.sent_attempts[1]
    assert driver.endpoints[first.endpoint_id].zone == driver.endpoints[second.endpoint_id].zone


def test_a_request_with_an_idempotency_key_is_not_retried_past_its_window(driver: PolicyDriver) -> None:
    """The servers no longer store the key after the window."""
    driver.send_request(1, request_class=IDEMPOTENCY_KEY_IN_ZONE)
    driver.now = 2001.0
    driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.ERROR)
    assert len(driver.sent_attempts[1]) == 1
    assert driver.final_answers[1] == "FailRequest"


@pytest.mark.parametrize(("ended_at", "attempts"), [(1849.0, 2), (1851.0, 1), (2001.0, 1)])
def test_the_dedup_window_limits_retries_if_late_answers_have_weight(ended_at: float, attempts: int) -> None:
    """The window ends at 2000 ms, and the process may be held up for 150 ms before it writes a retry.

    On both sides of the limit a retry has time left and a late answer has weight.
    """
    request_class = RequestClass(
        1000.0,
        6000.0,
        Idempotency.IDEMPOTENCY_KEY,
        DedupScope.ZONE,
        dedup_window=2000.0,
        late_weight=0.2,
    )
    driver = make_driver(request_classes=(request_class,))
    driver.send_request(1, client_timeout=6000.0)
    driver.now = ended_at
    driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.ERROR)
    assert len(driver.sent_attempts[1]) == attempts


@pytest.mark.parametrize(("late_weight", "timeout"), [(0.0, 1000.0), (0.2, 3000.0)])
def test_an_attempt_times_out_at_the_objective_if_late_answers_have_no_weight(
    late_weight: float, timeout: float
) -> None:
    """Otherwise attempts last until the client times out, and new requests are rejected meanwhile."""
    request_class = RequestClass(1000.0, 4000.0, late_weight=late_weight)
    driver = make_driver(max_attempts=1, request_classes=(request_class,))
    driver.send_request(1)
    [sent] = driver.list_attempts_in_flight()
    assert sent.timeout == timeout
