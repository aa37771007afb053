"""Tests of the key `limits` of the configuration."""

from __future__ import annotations

import math

import pytest

from limiter.configuration.config import ConfigError
from limiter.configuration.config_parser import parse_config
from tests.support.limiter_settings import make_raw_config


@pytest.mark.parametrize(
    ("limits", "megabytes"), [({"memory_mb": 64}, 64), ({"memory_mb": 0.5}, 0.5), ({}, 192)]
)
def test_memory_limit_is_read_in_mebibytes(limits: dict[str, object], megabytes: float) -> None:
    assert parse_config(make_raw_config(limits=limits)).max_memory_bytes == megabytes * 2**20


@pytest.mark.parametrize("memory_mb", [0, -1, "64", True, None, math.nan, math.inf])
def test_invalid_memory_limit_is_rejected_with_the_name_of_its_key(memory_mb: object) -> None:
    with pytest.raises(ConfigError, match=r"^limits\.memory_mb: .* is not a number of MiB above 0"):
        parse_config(make_raw_config(limits={"memory_mb": memory_mb}))
