"""Adapter that connects the simulator's wire to one policy engine for each simulated limiter.

It translates and decides nothing.

Run as `python -m limiter.simulator.adapter`; reads batches on standard input and writes replies on
standard output.
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
    """One simulated limiter: its policy engine, and the order of the values in its load reports."""

    __slots__ = ("_load_fields", "engine")

    def __init__(self, opened: InstanceOpened) -> None:
        """Start the engine with the settings and the seed of the record.

        Raises:
            SettingsError: a setting is missing or cannot be used.
        """
        reader = SettingsReader(decode_settings_text(opened.settings_text))
        self._load_fields = read_load_report_metrics(reader)
        self.engine = PolicyEngine(read_settings(reader), opened.seed)

    def decode_load_report(self, undecoded: EventWithRawLoadReport) -> Event:
        """Return the event with its load report; values of unknown metrics are left out."""
        load_report: dict[LoadMetric, float] = {}
        for metric, value in zip(self._load_fields, undecoded.values, strict=False):
            if metric is not None:
                load_report[metric] = value
        return replace(undecoded.event, load_report=load_report)


class AdapterHost:
    """Holds the instances of this process; they share the decoder and nothing else."""

    def __init__(self) -> None:
        """Create a host that has no instances yet."""
        self._decoder = EventDecoder()
        self._limiters: dict[int, SimulatedLimiter] = {}

    def process_batch(self, batch: Batch) -> bytes:
        """Give each record of the batch to its instance; return the framed reply with their actions.

        Raises:
            WireError: the batch is malformed.
            SettingsError: the settings of a new instance cannot be used.
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
                continue  # The instance is closed, so its late events have no receiver.
            event = (
                limiter.decode_load_report(record) if isinstance(record, EventWithRawLoadReport) else record
            )
            for action in limiter.engine.handle(batch.now, event):
                actions += encode_action(instance, action)
        return encode_reply(actions)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: the input does not follow the wire's form.
        SettingsError: the settings of a new instance cannot be used.
    """
    host = AdapterHost()
    while (batch := read_batch(source)) is not None:
        sink.write(host.process_batch(batch))
        sink.flush()


def main() -> int:
    """Serve standard input and output; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as error:
        print(f"limiter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
