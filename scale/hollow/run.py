"""Plays a hollow-limiter experiment and gives its figures: one line for the whole, one for each fault."""

from __future__ import annotations

import gc
from typing import Any

from ..experiment import Progress, Record
from .news import STEP
from .plan import HollowExperiment
from .rig import Rig
from .tally import quantiles, rounded, spread

STEPS = 10  # lines of progress
QUANTILES = (0.5, 0.9, 0.99)


def run(experiment: HollowExperiment, record: Record, progress: Progress) -> None:
    """Play it to the last answer. Raises AssertionError if a request got none or more than one."""
    e = experiment
    gc.disable()  # modules live to the end; looking through them again and again would take most of the time
    try:
        rig = Rig(e)
        size = f"{e.limiters} limiters, {len(rig.servers)} servers, {len(rig.customers)} customers"
        progress(f"{e.name}: {size}")
        for step in range(1, STEPS + 1):
            rig.run(e.duration * step / STEPS)
            progress(f"{e.name}: {rig.clock.now / 1000:.1f} s of {e.duration / 1000:.1f} s")
        traffic = Traffic(rig)
        rig.run(e.duration + e.clients.retry_wait[1] + 2 * max(k.deadline for k in e.classes))
        check(rig)
        record(summary(rig, traffic))
        for fault in e.faults:
            line: dict[str, Any] = {"fault": type(fault).__struct_config__.tag, "at_ms": fault.at}
            line["ends_ms"] = fault.at + fault.lasts()
            record({"experiment": e.name, "seed": e.seed, **line, **rig.tally.recovery(fault.at)})
    finally:
        gc.enable()


def check(rig: Rig) -> None:
    """Every request has exactly one final answer, and nothing is left out."""
    t = rig.tally
    if t.open:
        raise AssertionError(f"{t.open} requests were never answered")
    if t.all_answers != rig.asked:
        raise AssertionError(f"{rig.asked} tries and {t.all_answers} answers")
    if out := sum(customer.quota.out for customer in rig.customers):
        raise AssertionError(f"{out} attempts are still out")


class Traffic:
    """Messages at the end of the time in which requests arrive, by limiter."""

    def __init__(self, rig: Rig) -> None:
        seconds = rig.e.duration / 1000
        self.figures: dict[str, Any] = {
            "tells": rig.tally.tells,
            "messages_sent_per_s": spread([m.told for m in rig.limiters], seconds),
            "messages_heard_per_s": spread([m.heard for m in rig.limiters], seconds),
            "bytes_sent_per_s": spread([m.bytes_told for m in rig.limiters], seconds),
            "bytes_heard_per_s": spread([m.bytes_heard for m in rig.limiters], seconds),
            "messages_dropped": sum(intake.dropped for intake in rig.peers.intakes),
        }


def share(part: float, whole: float) -> float | None:
    return rounded(part / whole) if whole else None


def summary(rig: Rig, traffic: Traffic) -> dict[str, Any]:
    e, t, news = rig.e, rig.tally, rig.news
    ages = quantiles(news.ages, 10_000_000, STEP, QUANTILES)
    latencies = quantiles(t.latencies, 60_000_000, 0.001, QUANTILES)
    interval = 1000 * (e.limiters - 1) / (0.8 * e.network.peer_intake)
    return {
        "experiment": e.name,
        "seed": e.seed,
        "limiters": e.limiters,
        "servers": len(rig.servers),
        "customers": len(rig.customers),
        "duration_ms": e.duration,
        "tries": t.tries,
        "retries": t.retries,
        **t.answers,
        "by_driver": t.by_driver,
        "served_share": share(t.answers["served"], t.tries),
        "refused_share": share(t.answers["refused"], t.tries),
        "refused_with_room_share": share(t.with_room, t.tries),
        "units_sent_on": t.units,
        "units_beyond": t.beyond,
        "beyond_share": share(t.beyond, t.units),
        "attempts": t.attempts,
        "outcomes": {outcome.value: n for outcome, n in t.outcomes.items() if n},
        "latency_ms": dict(zip(("p50", "p90", "p99"), latencies, strict=True)),
        "counter_calls": rig.counter.calls,
        "counter_full": rig.counter.full,
        "counter_unanswered": rig.counter.unanswered,
        "counter_calls_a_request": share(rig.counter.calls, rig.asked),
        **traffic.figures,
        "telling_interval_ms": rounded(interval),
        "news_pairs": news.pairs,
        "news_age_ms": dict(zip(("p50", "p90", "p99"), ages, strict=True)),
        "news_never_learnt": share(news.pairs - news.learnt, news.pairs),
        "list_changes": rig.discovery.changes,
        "servers_fallen": sum(server.falls for server in rig.servers.values()),
    }
