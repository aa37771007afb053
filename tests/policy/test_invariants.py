"""Rules of the policy as properties over random event sequences, and as examples."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from limiter.model.events import AttemptEnded, ClientDisconnected, EndpointsChanged, EndpointState, Outcome
from limiter.model.settings import DedupScope, Idempotency, QuotaPlan, RequestClass
from tests.support.policy_driver import PolicyDriver, make_driver, make_endpoint, make_endpoint_id
from tests.support.policy_scenarios import PLANS_WITHOUT_QUOTA

Step = tuple[int, int, float]  # kind of event, number that its details derive from, ms since the one before

STEP = st.tuples(st.integers(0, 9), st.integers(0, 2**16), st.floats(0.0, 400.0))
COMMON = settings(
    max_examples=120, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
OUTCOMES = list(Outcome)
STATES = list(EndpointState)
CEILING_PLAN = QuotaPlan(ceiling_rate=20.0, ceiling_burst=40.0)

IDEMPOTENCY_KEY_IN_ZONE = 1  # indexes of request classes in the driver's settings
NOT_IDEMPOTENT = 4


def play(driver: PolicyDriver, steps: list[Step]) -> None:
    """Feed the events that the steps stand for, those that are possible; then let all time out."""
    totals: dict[int, float] = {}
    for index, (kind, pick, gap) in enumerate(steps):
        driver.advance_to(driver.now + gap)
        if kind <= 3:
            feed_request(driver, 1000 + index, pick)
        elif kind <= 5 and driver.list_attempts_in_flight():
            in_flight = driver.list_attempts_in_flight()
            driver.end_attempt(in_flight[pick % len(in_flight)], OUTCOMES[pick % len(OUTCOMES)])
        elif kind == 6 and driver.pending_counter_calls:
            feed_counter_reply(driver, totals, pick)
        elif kind == 7:
            started = driver.now if pick % 2 else 0.0
            change = make_endpoint(pick % 4, STATES[pick % 3], started)
            driver.deliver_event(EndpointsChanged((change,), is_full_list=pick % 7 == 0))
        elif kind == 8 and driver.requests:
            request_id = list(driver.requests)[pick % len(driver.requests)]
            if request_id not in driver.final_answers:
                driver.deliver_event(ClientDisconnected(request_id))
        elif kind == 9:
            outcome = OUTCOMES[pick % 8]
            driver.deliver_event(
                AttemptEnded(pick, 0, make_endpoint_id(pick % 9), outcome, 1.0, bool(pick % 2))
            )
    driver.advance_to(driver.now + 10000.0)


def feed_request(driver: PolicyDriver, request_id: int, pick: int) -> None:
    """Feed a request whose class, plan, customer, limiter set and patience derive from `pick`."""
    driver.send_request(
        request_id,
        request_class=pick % 5,
        plan=pick % 3,
        customer=pick % 4,
        limiters_in_set=float(pick % 6),
        first_limiter=float(pick % 3),
        client_timeout=float(1 + pick % 3000),
    )


def feed_counter_reply(driver: PolicyDriver, totals: dict[int, float], pick: int) -> None:
    """Answer the oldest counter call by a total that remote usage or a lost count may have changed."""
    call = driver.pending_counter_calls[0]
    totals[call.key] = totals.get(call.key, 0.0) + call.units_to_add + pick % 3
    if pick % 5 == 0:
        totals[call.key] = 0.0
    driver.reply_to_counter_call(OUTCOMES[pick % len(OUTCOMES)], totals[call.key])


@COMMON
@given(st.lists(STEP, max_size=80), st.integers(0, 5))
def test_every_request_gets_one_answer_in_time_and_no_double_effect(steps: list[Step], seed: int) -> None:
    """The driver checks each action against the rules for retries and time limits."""
    driver = make_driver(seed=seed)
    play(driver, steps)  # the driver checks each action
    assert set(driver.requests) == set(driver.final_answers)


@COMMON
@given(st.lists(STEP, max_size=60), st.integers(0, 5))
def test_same_events_and_seed_give_the_same_actions(steps: list[Step], seed: int) -> None:
    """The policy has no source of chance or time but its seed and its events."""
    first = make_driver(seed=seed)
    second = make_driver(seed=seed)
    play(first, steps)
    play(second, steps)
    assert first.actions == second.actions


@COMMON
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
    for index, (start, _, _) in enumerate(driver.admissions):
        for units, (at, _, _) in enumerate(driver.admissions[index:], 1):
            assert is_member, "a limiter outside the set has no share"
            assert units <= share * (40.0 + 20.0 * (at - start) / 1000) + 1e-6


def test_the_ceilings_bucket_is_empty_at_the_start() -> None:
    """Else each restart of a limiter would let a burst through."""
    driver = make_driver(plans=(CEILING_PLAN,))
    driver.send_request(1)
    assert driver.final_answers[1] == "RejectRequest"
    driver.advance_to(6000.0)
    driver.send_request(2)
    assert driver.sent_attempts[2]


@dataclass
class FleetTotals:
    """What 300 limiters together sent to warming and to warm servers, and rejected, of 3000 requests."""

    to_warming: int = 0
    to_warm: int = 0
    rejected: int = 0


def run_fleet(warming_servers: int, warm_servers: int) -> FleetTotals:
    """Let each of 300 limiters handle ten requests, with servers of which some have just started."""
    totals = FleetTotals()
    servers = tuple(
        make_endpoint(index, start_time=1000.0 if index < warming_servers else 0.0)
        for index in range(warming_servers + warm_servers)
    )
    warming = {server.id for server in servers[:warming_servers]}
    for seed in range(300):
        driver = make_driver(server_count=0, seed=seed, limiter_count=300, plans=PLANS_WITHOUT_QUOTA)
        driver.now = 1000.0
        driver.deliver_event(EndpointsChanged(servers, is_full_list=True))
        for request_id in range(10):
            driver.send_request(request_id, customer=request_id)
            for sent in driver.list_attempts_in_flight():
                if sent.endpoint_id in warming:
                    totals.to_warming += 1
                else:
                    totals.to_warm += 1
                driver.end_attempt(sent, Outcome.OK, 50.0)
        totals.rejected += sum(answer == "RejectRequest" for answer in driver.final_answers.values())
    return totals


def test_a_warming_server_gets_its_capacitys_share_from_hundreds_of_limiters() -> None:
    """The limiters do not see each other's attempts, so the sum has to come out by chance."""
    totals = run_fleet(warming_servers=4, warm_servers=12)
    share = (totals.to_warming / 4) / (totals.to_warm / 12)
    assert 0.1 < share < 0.35  # a fifth, from the first second on: neither starved nor filled
    assert totals.rejected < 0.1 * 3000


def test_a_fleet_of_warming_servers_is_not_filled() -> None:
    """Before, the choice fell on some warming server for every request that there was."""
    totals = run_fleet(warming_servers=16, warm_servers=0)
    assert totals.to_warming < 0.5 * 3000  # two candidates at a fifth each: under twice their capacity
    assert totals.to_warming + totals.rejected == 3000


def test_draining_and_removed_servers_get_no_attempts() -> None:
    """Neither from a change of the list nor from a full list that leaves them out."""
    driver = make_driver(server_count=2)
    driver.deliver_event(EndpointsChanged((make_endpoint(0, EndpointState.DRAINING),), is_full_list=False))
    for request_id in range(10):
        driver.send_request(request_id, customer=request_id)
    assert {sent.endpoint_id for sent in driver.list_attempts_in_flight()} == {make_endpoint_id(1)}
    driver.complete_attempts_in_flight()
    driver.deliver_event(
        EndpointsChanged((make_endpoint(0),), is_full_list=True)
    )  # what is not listed is gone
    for request_id in range(10, 20):
        driver.send_request(request_id, customer=request_id)
    assert {sent.endpoint_id for sent in driver.list_attempts_in_flight() if sent.request_id >= 10} == {
        make_endpoint_id(0)
    }


def test_a_request_that_is_not_idempotent_is_retried_only_if_it_did_not_run() -> None:
    """A failed connection proves that it did not run, a reset does not."""
    driver = make_driver()
    driver.send_request(1, request_class=NOT_IDEMPOTENT)
    driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.CONNECT_FAILED)
    assert len(driver.sent_attempts[1]) == 2
    driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.RESET)
    assert len(driver.sent_attempts[1]) == 2
    assert driver.final_answers[1] == "FailRequest"


def test_a_request_with_an_idempotency_key_is_retried_in_its_zone(driver: PolicyDriver) -> None:
    """Servers of the zone know the key, so a second run has no effect."""
    driver.send_request(1, request_class=IDEMPOTENCY_KEY_IN_ZONE)
    driver.advance_to(500.0)
    driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.ERROR)
    first, second = driver.sent_attempts[1]
    assert driver.endpoints[first.endpoint_id].zone == driver.endpoints[second.endpoint_id].zone


def test_a_request_with_an_idempotency_key_is_not_retried_past_its_window(driver: PolicyDriver) -> None:
    """Servers have forgotten the key by then."""
    driver.send_request(1, request_class=IDEMPOTENCY_KEY_IN_ZONE)
    driver.now = 2001.0
    driver.end_attempt(driver.list_attempts_in_flight()[0], Outcome.ERROR)
    assert len(driver.sent_attempts[1]) == 1
    assert driver.final_answers[1] == "FailRequest"


@pytest.mark.parametrize(("ended_at", "attempts"), [(1999.0, 2), (2001.0, 1)])
def test_the_dedup_window_bounds_retries_where_a_late_answer_still_counts(
    ended_at: float, attempts: int
) -> None:
    """Time and weight are left for a retry on both sides of the window's end, at 2000 ms."""
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
def test_an_attempt_ends_at_the_objective_where_a_late_answer_earns_nothing(
    late_weight: float, timeout: float
) -> None:
    """Limiters whose attempts lasted for the client's whole patience rejected the new requests."""
    request_class = RequestClass(1000.0, 4000.0, late_weight=late_weight)
    driver = make_driver(max_attempts=1, request_classes=(request_class,))
    driver.send_request(1)
    [sent] = driver.list_attempts_in_flight()
    assert sent.timeout == timeout
