"""Backoff of polls to an overloaded discovery, and gossip of what it answers.

Discovery answers the same number of polls a second for a fleet of any size: were all that it rejects to retry
at once, it could answer none. So limiters poll in slots, with a probability at which the whole fleet makes as
many polls as discovery can answer, and broadcast what they learn. A limiter with a stale endpoint list stops
sending to servers that peers report as draining or gone; it starts sending to none on a peer's report. The
probability follows the number of polls, not of limiters: two that are rejected in a fleet of thousands poll
as often as two of two. Types: limiter/model. Times are milliseconds.
"""

import math

from limiter.codecs.gossip_messages import decode_report, encode_report, is_report
from limiter.model.actions import BroadcastGossip, PollDiscovery
from limiter.model.events import DiscoveryPollFailed, EndpointId, EndpointsChanged, EndpointState
from limiter.policy.context import EngineContext, TimerToken
from limiter.policy.server_table import ServerTable
from limiter.policy.smoothing import clamp

# Length of a slot. A change must be known 6 s after it: four slots fit into that, with time for a poll
# and for gossip.
SLOT_MS = 1000.0

# The timer of a slot runs this many times its length, drawn evenly, so that limiters do not poll all at
# once.
MIN_SLOT_JITTER = 0.6
MAX_SLOT_JITTER = 1.4

# Polls of all limiters together in a slot. A discovery of fixed capacity was seen to answer twice as many.
POLLS_PER_SLOT = 4.0

# Polls of a slot of which gossip told that show an overload beyond doubt: further ones are not announced.
MAX_POLLS_ANNOUNCED = 16

# Factor of the poll probability after two slots without a poll. The minimum, which holds for a fleet in
# which all limiters poll, is too little if only some of them do.
RECOVERY_FACTOR = 10.0

# Limiters with the same report draw the times of their messages over this long.
GOSSIP_SPREAD_MS = 500.0

# Reports of one server that are sent by all limiters together. One message in twenty may be lost.
MAX_REPORT_COPIES = 3

# Reported servers that are remembered while the own list is up to date: enough for the last steps of a
# release.
MAX_PEER_REPORTS = 1024

# Slots between two polls, at most, where limiters can't gossip of their polls.
MAX_SLOTS_UNSHARED = 3.5


class DiscoveryBackoff:
    """When discovery is polled after a failed poll, and what limiters announce of their polls and answers."""

    def __init__(self, context: EngineContext, servers: ServerTable, may_gossip: bool) -> None:
        """Start with a stale list, as if a poll had failed.

        Args:
            context: What the parts of the policy engine share.
            servers: The servers that the endpoint list names.
            may_gossip: Whether limiters can tell each other of polls and servers. Without gossip polls are
                spread by the size of the fleet alone.
        """
        self.context = context
        self.servers = servers
        self.limiter_count = context.settings.limiter_count
        self.may_gossip = may_gossip and context.settings.polls_discovery
        self.is_poll_scheduled = False
        self.is_gossip_scheduled = False
        # Whether the last poll was not answered, or there was none.
        self.is_stale = True
        # Whether a poll was rejected since the last answer.
        self.was_rejected = False
        # Number of reports of each server since the last answer, the longest unreported first.
        self.peer_report_counts: dict[EndpointId, int] = {}
        # Ordered set of endpoints that are draining or gone and still to be reported.
        self.unannounced: dict[EndpointId, None] = {}
        # Whether the next message has to tell of a poll.
        self.announces_poll = False
        # Polls of all limiters in the running slot, as far as known here.
        self.polls_in_slot = 0
        # Slots in a row in which no limiter was known to poll.
        self.slots_without_poll = 0
        self.min_poll_probability = min(1.0, POLLS_PER_SLOT / self.limiter_count)
        # Probability of a poll in a slot; None until the first slot after a rejection ends.
        self.poll_probability: float | None = None

    def start(self) -> None:
        """Ask for the first poll."""
        if self.context.settings.polls_discovery:
            self.context.actions.append(PollDiscovery())

    def handle_poll_failure(self, _now: float, failure: DiscoveryPollFailed) -> None:
        """Take in that a poll failed: until one is answered, peers' reports count."""
        if self.may_gossip:
            self.is_stale = True
            if failure.rejected and not self.was_rejected:
                self._start_slots()
            self.servers.avoid(self.peer_report_counts)
            self._schedule_gossip()
        if failure.rejected:
            self._schedule_poll()

    def _start_slots(self) -> None:
        """Poll in slots from now on. Polls before the rejection say nothing of this overload."""
        self.was_rejected = True
        self.poll_probability = None
        self.slots_without_poll = 0
        self.polls_in_slot = 0
        self._count_poll()

    def handle_endpoint_list(self, change: EndpointsChanged) -> None:
        """Take in an answer of discovery, before the server table does: now the own list decides."""
        if not self.may_gossip or change.from_cache:
            return
        known = self.servers.by_id
        listed = {each.id for each in change.endpoints if each.state is EndpointState.READY}
        changed = known if change.is_full_list else [endpoint.id for endpoint in change.endpoints]
        removed = [key for key in changed if key in known and known[key].is_ready and key not in listed]
        self.unannounced.update(dict.fromkeys(filter(self._needs_report, removed)))
        self.is_stale = False
        self.was_rejected = False
        self.peer_report_counts = {}
        self.servers.trust_own_list()
        self._schedule_gossip()

    def handle_poll_timer(self) -> None:
        """Poll discovery at the end of a slot, or wait for the next slot."""
        self.is_poll_scheduled = False
        if self.may_gossip and not self.was_rejected:
            return
        if self.may_gossip and not self._should_poll():
            self._schedule_poll()
            return
        self.context.actions.append(PollDiscovery())
        self._schedule_gossip()

    def _should_poll(self) -> bool:
        """End the slot, and draw whether this limiter polls."""
        polls = self.polls_in_slot
        self.polls_in_slot = 0
        self.slots_without_poll = 0 if polls else self.slots_without_poll + 1
        probability = self._updated_poll_probability(polls)
        self.poll_probability = probability
        is_polling = self.context.random.random() < probability
        if is_polling:
            self._count_poll()
        return is_polling

    def _updated_poll_probability(self, polls: int) -> float:
        """Return the poll probability after a slot in which all limiters together made this many polls.

        It adapts to the polls as the throttle adapts the admission probability to use.
        """
        probability = self.poll_probability
        if probability is None:
            # As many limiters as were rejected in the first slot share the polls from now on.
            is_counted = polls <= MAX_POLLS_ANNOUNCED
            probability = POLLS_PER_SLOT / polls if is_counted else self.min_poll_probability
        elif polls > POLLS_PER_SLOT:
            probability *= POLLS_PER_SLOT / polls
        elif self.slots_without_poll > 1:
            # After one such slot the probability stays: all limiters see the same slot, and would all poll.
            probability *= RECOVERY_FACTOR
        return clamp(probability, self.min_poll_probability, 1.0)

    def _count_poll(self) -> None:
        """Announce a poll as it is made: an overloaded discovery rejects it only a second later."""
        self.announces_poll = True
        self.polls_in_slot += 1

    def _needs_report(self, server: EndpointId) -> bool:
        return self.peer_report_counts.get(server, 0) < MAX_REPORT_COPIES

    def handle_gossip_timer(self) -> None:
        """Send the message that is due, unless messages of peers have made it needless."""
        self.is_gossip_scheduled = False
        body = self.encode_next_message()
        if body is not None:
            self.context.actions.append(BroadcastGossip(body))
            self._schedule_gossip()

    def encode_next_message(self) -> bytes | None:
        """One message with what is still to be announced; None if there is nothing."""
        announces_poll = self.announces_poll and self.polls_in_slot <= MAX_POLLS_ANNOUNCED
        self.announces_poll = False
        if not announces_poll:
            # A message that announces a poll goes out anyway, and one more copy of a report costs none.
            self.unannounced = dict.fromkeys(filter(self._needs_report, self.unannounced))
            if not self.unannounced:
                return None
        body, announced = encode_report(announces_poll, self.unannounced)
        for server in announced:
            del self.unannounced[server]
        return body

    def handle_gossip_message(self, body: bytes) -> bool:
        """Take in a peer's report of polls and servers; False if this is another kind of message."""
        if not self.may_gossip or not is_report(body):
            return False
        report = decode_report(body)
        if report is None:
            return True  # A malformed message is ignored.
        self.polls_in_slot += report.has_polled
        for server in report.endpoint_ids:
            self.peer_report_counts[server] = self.peer_report_counts.pop(server, 0) + 1
            if len(self.peer_report_counts) > MAX_PEER_REPORTS:
                del self.peer_report_counts[next(iter(self.peer_report_counts))]
        if self.is_stale:
            self.servers.avoid(report.endpoint_ids)
        return True

    def _schedule_poll(self) -> None:
        if not self.is_poll_scheduled:
            self.is_poll_scheduled = True
            slots = 1.0
            if not self.may_gossip:
                slots = clamp(self.limiter_count / POLLS_PER_SLOT, 1.0, MAX_SLOTS_UNSHARED)
            jitter = self.context.random.uniform(MIN_SLOT_JITTER, MAX_SLOT_JITTER)
            self.context.set_timer(slots * SLOT_MS * jitter, TimerToken.DISCOVERY_POLL)

    def _schedule_gossip(self) -> None:
        """Draw the time of the next message: mostly late, so that the few early ones save the others."""
        if not self.is_gossip_scheduled and (self.announces_poll or self.unannounced):
            self.is_gossip_scheduled = True
            logarithm = math.log(1 - self.context.random.random()) / math.log(max(2, self.limiter_count))
            self.context.set_timer(GOSSIP_SPREAD_MS * max(0.0, 1 + logarithm), TimerToken.DISCOVERY_GOSSIP)
