"""Tests of the adapter as the simulator uses it: batches, their replies, and invalid input."""

from __future__ import annotations

import re
import struct

import pytest

from limiter.codecs.settings_text import decode_settings_text
from limiter.configuration.settings_reader import SettingsReader, read_load_report_metrics, read_settings
from limiter.model.events import LoadMetric
from limiter.simulator.errors import WireError
from tests.support.simulator_frames import (
    SERVER_ID,
    SETTINGS_TEXT,
    encode_batch,
    encode_batch_header,
    encode_client_request,
    encode_endpoint_page,
    encode_open_instance,
    encode_registry,
    run_adapter,
)

COUNTER_REPLY_WITH_UNKNOWN_OUTCOME = struct.pack(">BHQHfd", 26, 3, 1, 999, 0.0, 0.0)


def test_empty_batch_has_empty_reply() -> None:
    """The empty batch given in the description of the wire format gets a reply without actions."""
    assert run_adapter(bytes.fromhex("000000000000000840c06e2000000000")) == [b""]


def test_a_request_is_sent_to_the_listed_server() -> None:
    """Instance 3 replies to a request with a FORWARD to the server of its endpoint list."""
    _, reply = run_adapter(
        encode_batch(0.0, encode_endpoint_page(), encode_open_instance(), encode_registry()),
        encode_batch(1000.0, encode_client_request(request_id=9)),
    )
    forward_head = struct.pack(">BHI", 90, 3, 9)
    assert re.search(re.escape(forward_head) + b".{8}" + re.escape(SERVER_ID), reply, re.DOTALL)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x00\x00\x00", "ended inside a batch header"),
        (encode_batch_header(1, 30) + b"\x14", "ended inside a batch body"),
        (encode_batch_header(0, 4), "too small to include the time"),
        (encode_batch(0.0, b"\xff"), "unknown event code 255"),
        (encode_batch(0.0, encode_client_request(request_id=9)[:-1]), "is truncated"),
        (encode_batch_header(0, 9) + b"\x00", "follow the last record"),
        (
            encode_batch(0.0, encode_open_instance(), encode_registry()),
            "page 0, which no earlier record has declared",
        ),
        (encode_batch(0.0, encode_open_instance(), encode_registry(form=4)), "unknown registry form 4"),
        (encode_batch(0.0, encode_open_instance()[:-1]), "record extends to byte"),
        (encode_batch(0.0, encode_endpoint_page(state=7)), "unknown server state 7"),
        (encode_batch(0.0, COUNTER_REPLY_WITH_UNKNOWN_OUTCOME), "unknown outcome code 999"),
    ],
)
def test_malformed_input_raises_an_error_that_describes_it(data: bytes, message: str) -> None:
    """Input that violates the wire format raises a WireError with the reason."""
    with pytest.raises(WireError, match=message):
        run_adapter(data)


@pytest.mark.parametrize(
    ("text", "replacement", "name"),
    [
        (b"classes.0.aim=2000.0", b"", "classes.0.aim"),
        (b"effect=repeatable", b"effect=maybe", "classes.0.effect"),
        (b"peersTotal=3", b"peersTotal=three", "peersTotal"),
        (b"aim=2000.0", b"aim=-1", "latency_objective"),
        (b"quotaRate=1.0", b"quotaRate=nan", "rate"),
    ],
)
def test_an_invalid_setting_is_named_in_the_error(text: bytes, replacement: bytes, name: str) -> None:
    """The error names a missing or invalid setting of a new instance."""
    settings_text = SETTINGS_TEXT.replace(text, replacement)
    with pytest.raises(ValueError, match=name):
        run_adapter(encode_batch(0.0, encode_open_instance(settings_text=settings_text)))


def test_unknown_setting_keys_and_load_report_fields_are_skipped() -> None:
    """Setting keys and load metrics that the limiter does not know do not prevent reading the others."""
    reader = SettingsReader(decode_settings_text(SETTINGS_TEXT))
    assert read_load_report_metrics(reader) == (LoadMetric.SERVICE_TIME, None, LoadMetric.THROUGHPUT)
    assert read_settings(reader).limiter_count == 3
