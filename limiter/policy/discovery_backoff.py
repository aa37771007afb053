"""Backoff of polls to an overloaded discovery, and gossip about its responses.

Discovery can answer a fixed number of polls per second, whatever the size of the fleet. If all rejected
limiters retried at once, it could answer none of them. Therefore time is divided into slots. In each slot, a
limiter polls with a probability at which all limiters together make as many polls as discovery can answer,
and it broadcasts what it learns. A limiter with a stale endpoint list stops sending attempts to servers that
peers report as draining or gone; a peer's report never makes it start sending to a server. The probability
depends on the number of polls and not on the number of limiters: two rejected limiters in a fleet of
thousands poll as often as they would in a fleet of two. Types are defined in limiter/model. Times are in
milliseconds.
"""

import math

from limiter.codecs.gossip_messages import decode_endpoint_report, encode_endpoint_report, is_endpoint_report
from limiter.model.actions import BroadcastGossip, PollDiscovery
from limiter.model.events import DiscoveryPollFailed, EndpointId, EndpointsChanged, EndpointState
from limiter.policy.context import EngineContext, TimerToken
from limiter.policy.server_table import ServerTable
from limiter.policy.smoothing import clamp

# Duration of a slot. All limiters must learn of a change to the endpoint list within 6 s. That leaves room
# for four slots, a poll and gossip.
SLOT_MS = 1000.0

# The duration of a slot's timer is multiplied by a factor drawn uniformly from this range, so that limiters
# do not all poll at the same time.
MIN_SLOT_JITTER = 0.6
MAX_SLOT_JITTER = 1.4

# Target number of polls in a slot by all limiters together. A discovery with fixed capacity can answer twice
# as many.
TARGET_POLLS_PER_SLOT = 4.0

# A poll is not announced if more than this number of polls is known in the slot, because that many already
# show an overload.
MAX_ANNOUNCED_POLLS_PER_SLOT = 16

# Factor by which the poll probability increases after two slots without a poll. The minimum probability
# assumes that all limiters of the fleet poll, and is too low if only some of them do.
POLL_RECOVERY_FACTOR = 10.0

# Limiters that have the same servers to report send their messages at random times within this interval.
GOSSIP_SPREAD_MS = 500.0

# Number of received reports of a server from which a limiter does not report the server any more. It is above
# 1 because one message in twenty may be lost.
MAX_REPORT_COPIES = 3

# Maximum number of servers for which the reports by peers are kept. They are used when this limiter's
# endpoint list is stale. The number is enough for the last steps of a release.
MAX_REPORTED_SERVERS = 1024

# Maximum number of slots between two polls if limiters cannot announce their polls by gossip.
MAX_SLOTS_BETWEEN_POLLS = 3.5


class DiscoveryBackoff:
    """Schedules polls to discovery after a failure and exchanges gossip about polls and removed servers."""

    def __init__(self, context: EngineContext, server_table: ServerTable, may_gossip: bool) -> None:
        """Start with a stale endpoint list, as if a poll had failed.

        Args:
            context: State shared by the components of the engine.
            server_table: The servers of the endpoint list.
            may_gossip: Whether limiters can tell each other about polls and servers. Without gossip, the time
                between polls depends only on the size of the fleet.
        """
        self.context = context
        self.server_table = server_table
        self.limiter_count = context.settings.limiter_count
        self.may_gossip = may_gossip and context.settings.polls_discovery
        self.is_poll_scheduled = False
        self.is_gossip_scheduled = False
        # Whether the last poll failed or no poll has ended yet.
        self.is_list_stale = True
        # Whether discovery has rejected a poll since its last answer.
        self.was_poll_rejected = False
        # Number of peers' reports of each server since discovery's last answer, least recently reported
        # first.
        self.peer_report_counts: dict[EndpointId, int] = {}
        # Ordered set of the ids of draining or removed servers that this limiter still has to report.
        self.unannounced_ids: dict[EndpointId, None] = {}
        # Whether the next message has to announce a poll.
        self.must_announce_poll = False
        # Number of polls by all limiters in the current slot, as far as this limiter knows.
        self.polls_in_slot = 0
        # Number of consecutive slots in which no poll of any limiter was known.
        self.slots_without_poll = 0
        self.min_poll_probability = min(1.0, TARGET_POLLS_PER_SLOT / self.limiter_count)
        # Probability of a poll by this limiter in a slot; None until the first slot after a rejection has
        # ended.
        self.poll_probability: float | None = None

    def start(self) -> None:
        """Request the first poll, if limiters poll discovery."""
        if self.context.settings.polls_discovery:
            self.context.actions.append(PollDiscovery())

    def handle_poll_failure(self, _now: float, failure: DiscoveryPollFailed) -> None:
        """Handle a failed poll. Until a poll is answered, servers reported by peers are excluded."""
        if self.may_gossip:
            self.is_list_stale = True
            if failure.rejected and not self.was_poll_rejected:
                self._start_slotted_polling()
            self.server_table.exclude_endpoints(self.peer_report_counts)
            self._schedule_gossip()
        if failure.rejected:
            self._schedule_poll()

    def _start_slotted_polling(self) -> None:
        """Start polling in slots. Polls known from before the rejection are not related to this overload."""
        self.was_poll_rejected = True
        self.poll_probability = None
        self.slots_without_poll = 0
        self.polls_in_slot = 0
        self._record_own_poll()

    def handle_endpoint_list(self, change: EndpointsChanged) -> None:
        """Handle an answer of discovery. Must be called before the server table is updated.

        Servers that are no longer ready are queued for reports to peers. The endpoint list is no longer
        stale, so peers' reports are discarded.
        """
        if not self.may_gossip or change.from_cache:
            return
        servers_by_id = self.server_table.by_id
        ready_ids = {each.id for each in change.endpoints if each.state is EndpointState.READY}
        changed_ids = servers_by_id if change.is_full_list else [endpoint.id for endpoint in change.endpoints]
        removed_ids = [
            key
            for key in changed_ids
            if key in servers_by_id and servers_by_id[key].is_ready and key not in ready_ids
        ]
        self.unannounced_ids.update(dict.fromkeys(filter(self._needs_report, removed_ids)))
        self.is_list_stale = False
        self.was_poll_rejected = False
        self.peer_report_counts = {}
        self.server_table.clear_exclusions()
        self._schedule_gossip()

    def handle_poll_timer(self) -> None:
        """Poll discovery at the end of a slot, or schedule the next slot."""
        self.is_poll_scheduled = False
        if self.may_gossip and not self.was_poll_rejected:
            return
        if self.may_gossip and not self._end_slot_and_draw_poll():
            self._schedule_poll()
            return
        self.context.actions.append(PollDiscovery())
        self._schedule_gossip()

    def _end_slot_and_draw_poll(self) -> bool:
        """End the slot, update the poll probability and draw at random whether this limiter polls."""
        polls = self.polls_in_slot
        self.polls_in_slot = 0
        self.slots_without_poll = 0 if polls else self.slots_without_poll + 1
        probability = self._compute_poll_probability(polls)
        self.poll_probability = probability
        is_polling = self.context.random.random() < probability
        if is_polling:
            self._record_own_poll()
        return is_polling

    def _compute_poll_probability(self, polls: int) -> float:
        """Return the poll probability after a slot in which all limiters together made this many polls.

        It is adapted to the number of polls as the throttle adapts the admission probability to utilization.
        """
        probability = self.poll_probability
        if probability is None:
            # The limiters whose polls were rejected in the first slot share the target number of polls from
            # now on.
            is_poll_count_complete = polls <= MAX_ANNOUNCED_POLLS_PER_SLOT
            probability = (
                TARGET_POLLS_PER_SLOT / polls if is_poll_count_complete else self.min_poll_probability
            )
        elif polls > TARGET_POLLS_PER_SLOT:
            probability *= TARGET_POLLS_PER_SLOT / polls
        elif self.slots_without_poll > 1:
            # After a single slot without a poll the probability is kept. All limiters see the same slot, so
            # all of them would poll.
            probability *= POLL_RECOVERY_FACTOR
        return clamp(probability, self.min_poll_probability, 1.0)

    def _record_own_poll(self) -> None:
        """Count a poll of this limiter and have it announced when it is made.

        An overloaded discovery rejects the poll only a second later, which is too late for the announcement.
        """
        self.must_announce_poll = True
        self.polls_in_slot += 1

    def _needs_report(self, endpoint_id: EndpointId) -> bool:
        return self.peer_report_counts.get(endpoint_id, 0) < MAX_REPORT_COPIES

    def handle_gossip_timer(self) -> None:
        """Send the message that is due, unless peers' messages have made it unnecessary."""
        self.is_gossip_scheduled = False
        body = self.encode_next_message()
        if body is not None:
            self.context.actions.append(BroadcastGossip(body))
            self._schedule_gossip()

    def encode_next_message(self) -> bytes | None:
        """Return one message with the poll and the servers to announce, or None if there is nothing."""
        is_poll_announced = self.must_announce_poll and self.polls_in_slot <= MAX_ANNOUNCED_POLLS_PER_SLOT
        self.must_announce_poll = False
        if not is_poll_announced:
            # Reports that peers have sent often enough are dropped. A message that announces a poll is sent
            # in any case, so one more copy of a report in it costs no extra message.
            self.unannounced_ids = dict.fromkeys(filter(self._needs_report, self.unannounced_ids))
            if not self.unannounced_ids:
                return None
        body, processed_ids = encode_endpoint_report(is_poll_announced, self.unannounced_ids)
        for endpoint_id in processed_ids:
            del self.unannounced_ids[endpoint_id]
        return body

    def handle_gossip_message(self, body: bytes) -> bool:
        """Handle a peer's report of polls and servers; return False if the message is of another type."""
        if not self.may_gossip or not is_endpoint_report(body):
            return False
        report = decode_endpoint_report(body)
        if report is None:
            return True  # A malformed message is ignored.
        self.polls_in_slot += report.has_polled
        for endpoint_id in report.endpoint_ids:
            self.peer_report_counts[endpoint_id] = self.peer_report_counts.pop(endpoint_id, 0) + 1
            if len(self.peer_report_counts) > MAX_REPORTED_SERVERS:
                del self.peer_report_counts[next(iter(self.peer_report_counts))]
        if self.is_list_stale:
            self.server_table.exclude_endpoints(report.endpoint_ids)
        return True

    def _schedule_poll(self) -> None:
        if not self.is_poll_scheduled:
            self.is_poll_scheduled = True
            slots = 1.0
            if not self.may_gossip:
                slots = clamp(self.limiter_count / TARGET_POLLS_PER_SLOT, 1.0, MAX_SLOTS_BETWEEN_POLLS)
            jitter = self.context.random.uniform(MIN_SLOT_JITTER, MAX_SLOT_JITTER)
            self.context.set_timer(slots * SLOT_MS * jitter, TimerToken.DISCOVERY_POLL)

    def _schedule_gossip(self) -> None:
        """Schedule the next message at a random time.

        The distribution favors late times, so that the few early messages make most of the others
        unnecessary.
        """
        if not self.is_gossip_scheduled and (self.must_announce_poll or self.unannounced_ids):
            self.is_gossip_scheduled = True
            logarithm = math.log(1 - self.context.random.random()) / math.log(max(2, self.limiter_count))
            self.context.set_timer(GOSSIP_SPREAD_MS * max(0.0, 1 + logarithm), TimerToken.DISCOVERY_GOSSIP)
