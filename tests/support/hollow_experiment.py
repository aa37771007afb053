"""A small hollow experiment for tests of `scale.hollow`."""

from __future__ import annotations

import msgspec

from scale.hollow.plan import HollowExperiment


def make_hollow_experiment(**changes: object) -> HollowExperiment:
    """Create an experiment with eight limiters that lasts eight seconds.

    Args:
        changes: values of top-level keys of the experiment file that replace the default ones.
    """
    request_class = {"share": 0.5, "work": 50.0, "aim": 600.0, "deadline": 1500.0}
    data: dict[str, object] = {
        "kind": "hollow",
        "name": "test",
        "limiters": 8,
        "duration": 8000.0,
        "news_tail": 2000.0,
        "classes": [request_class, {**request_class, "may_repeat": False}],
        "plans": [
            {"share": 0.7, "rate": 1.0, "burst": 4.0},
            {"share": 0.3, "rate": 4.0, "max_open": 3},
        ],
        "servers": {"per_limiter": 0.5},
        "clients": {"set_size": [6, 8], "requests_per_limiter": 2.0, "retries": 0.3},
    }
    return msgspec.convert({**data, **changes}, HollowExperiment)
