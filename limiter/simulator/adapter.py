"""Adapter between the wire protocol of the simulator and the policy engines of the simulated limiters.

Each simulated limiter has its own policy engine. The adapter only translates records; it makes no decisions.

Run as `python -m limiter.simulator.adapter`; reads batches from standard input and writes replies to standard
output.
"""

from __future__ import annotations

import sys
from dataclasses import replace
from typing import BinaryIO

from limiter.codecs.settings_text import decode_settings_text
from limiter.configuration.settings_reader import SettingsReader, read_load_report_metrics, read_settings
from limiter.model.events import Event, LoadMetric
from limiter.policy.engine import PolicyEngine
from limiter.simulator.action_encoder import encode_action
from limiter.simulator.errors import WireError
from limiter.simulator.event_decoder import EventDecoder
from limiter.simulator.frames import Batch, encode_reply, read_batch
from limiter.simulator.records import EventWithRawLoadReport, InstanceClosed, InstanceOpened


class SimulatedLimiter:
    """One simulated limiter: its policy engine, and the metrics in its load reports, in their order."""

    __slots__ = ("_load_report_metrics", "engine")

    def __init__(self, opened: InstanceOpened) -> None:
        """Create the engine with the settings and the seed in the record.

        Raises:
            SettingsError: A setting is missing or invalid.
        """
        reader = SettingsReader(decode_settings_text(opened.settings_text))
        self._load_report_metrics = read_load_report_metrics(reader)
        self.engine = PolicyEngine(read_settings(reader), opened.seed)

    def decode_load_report(self, event_with_raw_report: EventWithRawLoadReport) -> Event:
        """Return the event with its decoded load report; values of unknown metrics are omitted."""
        load_report: dict[LoadMetric, float] = {}
        for metric, value in zip(self._load_report_metrics, event_with_raw_report.values, strict=False):
            if metric is not None:
                load_report[metric] = value
        return replace(event_with_raw_report.event, load_report=load_report)


class AdapterHost:
    """Runs the instances of this process, which share only the event decoder."""

    def __init__(self) -> None:
        """Create a host that has no instances yet."""
        self._decoder = EventDecoder()
        self._limiters: dict[int, SimulatedLimiter] = {}

    def process_batch(self, batch: Batch) -> bytes:
        """Pass each record of the batch to its instance; return the encoded reply with their actions.

        Raises:
            WireError: The batch is malformed.
            SettingsError: The settings of a new instance are invalid.
        """
        actions = bytearray()
        for instance, record in self._decoder.decode(batch.body, batch.record_count):
            if isinstance(record, InstanceOpened):
                self._limiters[instance] = SimulatedLimiter(record)
                continue
            if isinstance(record, InstanceClosed):
                self._limiters.pop(instance, None)
                continue
            limiter = self._limiters.get(instance)
            if limiter is None:
                continue  # The instance is closed, so late events for it are ignored.
            event = (
                limiter.decode_load_report(record) if isinstance(record, EventWithRawLoadReport) else record
            )
            for action in limiter.engine.handle(batch.now, event):
                actions += encode_action(instance, action)
        return encode_reply(actions)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends.

    Raises:
        WireError: The input violates the wire protocol.
        SettingsError: The settings of a new instance are invalid.
    """
    host = AdapterHost()
    while (batch := read_batch(source)) is not None:
        sink.write(host.process_batch(batch))
        sink.flush()


def main() -> int:
    """Serve batches from standard input; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as error:
        print(f"limiter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
