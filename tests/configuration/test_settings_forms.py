"""Tests of the two forms of settings, nested JSON and `path=value` lines, which have a common reader."""

from __future__ import annotations

import math
from typing import Any

import pytest

from limiter.codecs.settings_text import decode_settings_text
from limiter.configuration.config import ConfigError
from limiter.configuration.config_parser import parse_config
from limiter.configuration.settings_json import flatten_settings
from limiter.configuration.settings_reader import SettingsReader, format_value, read_settings
from limiter.model.settings import DedupScope, Idempotency, SettingsError
from tests.support.limiter_settings import make_raw_config, make_raw_settings


def make_json_reader(**changes: Any) -> SettingsReader:
    """Return a reader of JSON settings in which these top-level keys are replaced."""
    return SettingsReader(flatten_settings(make_raw_settings(**changes)))


def test_both_forms_give_the_same_settings() -> None:
    """The nested JSON form and its conversion to lines are read to the same settings."""
    values = flatten_settings(make_raw_settings())
    lines = [f"{path}={format_value(value)}" for path, value in values.items()]
    assert "classes.count=3" in lines
    assert "classes.1.effect=by_key" in lines
    assert "extra.mayCount=false" in lines
    assert "localities=a,b" in lines
    assert "limits.dialTimeout=250" in lines
    parsed = read_settings(SettingsReader(decode_settings_text("\n".join(lines).encode())))
    assert parsed.request_classes[1].idempotency is Idempotency.IDEMPOTENCY_KEY
    assert parsed.request_classes[1].dedup_scope is DedupScope.ZONE
    assert parse_config(make_raw_config()).settings == parsed


@pytest.mark.parametrize(
    ("value", "integer"),
    [(3, 3), (3.0, 3), ("3", 3), ("1 000", 1000), ("1_000", 1000), ([3], 3), (1e22, 10**22), (None, 1)],
)
def test_an_integer_is_accepted_in_each_json_notation(value: object, integer: int) -> None:
    """An integer may be given as 3.0, as text or as the only entry of a list; null means a missing key."""
    assert read_settings(make_json_reader(limits={"maxAttempts": value})).max_attempts == integer


@pytest.mark.parametrize(
    ("value", "number"),
    [(2, 2.0), (2.5, 2.5), ("2.5", 2.5), ("1_0", 10.0), (10**400, math.inf), (-(10**400), -math.inf)],
    ids=["integer", "float", "text", "text_with_underscore", "huge", "huge_negative"],
)
def test_a_number_is_accepted_in_each_json_notation(value: object, number: float) -> None:
    """An integer beyond the range of floats counts as infinite, as it does in the text form."""
    assert read_settings(make_json_reader(extra={"maxUnits": value})).max_units == number


def test_negative_zero_reads_as_zero() -> None:
    """Otherwise messages would print the value as -0.0."""
    value = read_settings(make_json_reader(extra={"maxUnits": -0.0})).max_units
    assert math.copysign(1.0, value) == 1.0


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        (
            {"me": True},
            "me: 'true' is invalid: effect accepts repeatable, by_key or once; "
            "group accepts all, zone or cell; flags accept true or false; "
            "counts and indices accept integers; other keys accept numbers",
        ),
        (
            {"me": 0.5},
            "me: '0.5' is invalid: effect accepts repeatable, by_key or once; "
            "group accepts all, zone or cell; flags accept true or false; "
            "counts and indices accept integers; other keys accept numbers",
        ),
        (
            {"me": "a, b"},
            "me: 'a_b' is invalid: effect accepts repeatable, by_key or once; "
            "group accepts all, zone or cell; flags accept true or false; "
            "counts and indices accept integers; other keys accept numbers",
        ),
        (
            {"me": [1, 2.0]},
            "me: '1,2' is invalid: effect accepts repeatable, by_key or once; "
            "group accepts all, zone or cell; flags accept true or false; "
            "counts and indices accept integers; other keys accept numbers",
        ),
        (
            {"me": []},
            "me: '' is invalid: effect accepts repeatable, by_key or once; "
            "group accepts all, zone or cell; flags accept true or false; "
            "counts and indices accept integers; other keys accept numbers",
        ),
        (
            {"me": [[1]]},
            "me: '[1]' is invalid: effect accepts repeatable, by_key or once; "
            "group accepts all, zone or cell; flags accept true or false; "
            "counts and indices accept integers; other keys accept numbers",
        ),
        (
            {"me": None},
            "me: missing, but required (for a key NAME.count, the list NAME must not be empty)",
        ),
        (
            {"me": {}},
            "me: missing, but required (for a key NAME.count, the list NAME must not be empty)",
        ),
        (
            {"extra": {"mayCount": 1}},
            "extra.mayCount: '1' is invalid: effect accepts repeatable, by_key or once; "
            "group accepts all, zone or cell; flags accept true or false; "
            "counts and indices accept integers; other keys accept numbers",
        ),
        (
            {"extra": {"maxUnits": False}},
            "extra.maxUnits: 'false' is invalid: effect accepts repeatable, by_key or once; "
            "group accepts all, zone or cell; flags accept true or false; "
            "counts and indices accept integers; other keys accept numbers",
        ),
        (
            {"contracts": []},
            "contracts.count: missing, but required (for a key NAME.count, the list NAME must not be empty)",
        ),
        (
            {"classes": [{"aim": 1, "deadline": "late"}]},
            "classes.0.deadline: 'late' is invalid: effect accepts repeatable, by_key or once; "
            "group accepts all, zone or cell; flags accept true or false; "
            "counts and indices accept integers; other keys accept numbers",
        ),
    ],
)
def test_the_error_of_an_invalid_json_value_quotes_it_in_the_text_form(
    changes: dict[str, Any], message: str
) -> None:
    """The message quotes the value in the notation of the text form."""
    with pytest.raises(SettingsError) as error_info:
        read_settings(make_json_reader(**changes))
    assert str(error_info.value) == message


@pytest.mark.parametrize(
    "document",
    [
        {"limits.maxAttempts": 7},
        {" limits": {"maxAttempts ": 7}},
        {"limits.maxAttempts=7": 8},
        {"x\nlimits.maxAttempts": 7},
        {"limits": {"maxAttempts": 5}, "limits.maxAttempts": 7},
    ],
)
def test_a_json_key_that_contains_text_form_syntax_is_read_as_text_lines(document: dict[str, Any]) -> None:
    """A key with a dot, blank, equals sign or line break is read like the lines that it forms as text."""
    reader = SettingsReader(flatten_settings(document))
    assert reader.read_text("limits.maxAttempts")[0] == "7"


def test_settings_text_that_utf_8_cannot_encode_raises_a_config_error() -> None:
    """The message gives the position in the settings when written as lines."""
    with pytest.raises(ConfigError) as error_info:
        parse_config(make_raw_config(settings={"a": 1, "b": "\ud800"}))
    error_detail = "character '\\ud800' in position 6: surrogates not allowed"
    assert str(error_info.value) == f"settings: 'utf-8' codec can't encode {error_detail}"
