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
from limiter.policy.context import PolicyContext, Timer
from limiter.policy.server_table import ServerTable
from limiter.policy.throttle import clamped

SLOT_MS = 1000.0  # four fit into the 6 s after which a change must be known, with time for poll and gossip
POLLS_PER_SLOT = 4.0  # of all limiters: half of what a discovery of fixed capacity was seen to answer
MAX_POLLS_ANNOUNCED = 16  # polls heard of in a slot that show overload beyond doubt: more need no message
RECOVERY_FACTOR = 10.0  # after two slots without a poll: the minimum is too little for part of a fleet
GOSSIP_SPREAD_MS = 500.0  # over which limiters with the same report draw their times
MAX_COPIES = 3  # reports of one server, from all limiters: each may be lost, at one in twenty
MAX_PEER_REPORTS = 1024  # servers remembered while the own list is up to date: the last release steps
MAX_SLOTS_UNSHARED = 3.5  # between two polls, at most, where limiters can't gossip of theirs


class DiscoveryBackoff:
    """When discovery is polled after a failed poll, and what limiters announce of their polls and answers."""

    def __init__(self, context: PolicyContext, servers: ServerTable, may_gossip: bool) -> None:
        """Start with a stale list; without gossip polls are spread by the size of the fleet alone."""
        self.context = context
        self.servers = servers
        self.limiters = context.settings.limiter_count
        self.may_gossip = may_gossip and context.settings.polls_discovery
        self.is_poll_scheduled = self.is_gossip_scheduled = False
        self.is_stale = True  # the last poll was not answered, or there was none
        self.was_rejected = False  # a poll was rejected since the last answer
        self.peer_reports: dict[EndpointId, int] = {}  # reports since the last answer
        self.unannounced: dict[EndpointId, None] = {}  # ordered set of endpoints that are draining or gone
        self.announce_poll = False
        self.polls_in_slot = 0  # of all limiters, as far as known here
        self.silent_slots = 0  # slots in a row without a poll
        self.min_poll_probability = min(1.0, POLLS_PER_SLOT / self.limiters)
        self.poll_probability = 0.0  # in a slot; 0 until the first slot after a rejection ends

    def start(self) -> None:
        """Ask for the first poll."""
        if self.context.settings.polls_discovery:
            self.context.actions.append(PollDiscovery())

    def handle_failure(self, _now: float, failure: DiscoveryPollFailed) -> None:
        """A poll failed: until one is answered, the own list is stale and peers' reports count."""
        if self.may_gossip:
            self.is_stale = True
            if failure.rejected and not self.was_rejected:  # from now on polls are made in slots
                self.was_rejected = True
                self.poll_probability = 0.0
                self.silent_slots = self.polls_in_slot = 0  # earlier polls say nothing of this overload
                self._count_poll()
            self.servers.avoid(self.peer_reports)
            self._schedule_gossip()
        if failure.rejected:
            self._schedule_poll()

    def handle_list(self, change: EndpointsChanged) -> None:
        """An answer of discovery, not yet in the table of servers: from now on the own list decides."""
        if not self.may_gossip or change.from_cache:
            return
        known = self.servers.by_id
        listed = {each.id for each in change.endpoints if each.state is EndpointState.READY}
        changed = known if change.is_full_list else [endpoint.id for endpoint in change.endpoints]
        removed = [key for key in changed if key in known and known[key].is_ready and key not in listed]
        self.unannounced.update(dict.fromkeys(filter(self._needs_report, removed)))
        self.is_stale = self.was_rejected = False
        self.peer_reports = {}
        self.servers.trust_own_list()
        self._schedule_gossip()

    def handle_poll_timer(self) -> None:
        """The end of a slot: poll discovery, or wait for the next slot."""
        self.is_poll_scheduled = False
        if self.may_gossip and not self.was_rejected:
            return
        if self.may_gossip and not self._should_poll():
            self._schedule_poll()
            return
        self.context.actions.append(PollDiscovery())
        self._schedule_gossip()

    def _should_poll(self) -> bool:
        polls, self.polls_in_slot = self.polls_in_slot, 0
        self.silent_slots = 0 if polls else self.silent_slots + 1
        if not self.poll_probability:  # the first slot: by the number of limiters that were rejected in it
            is_counted = polls <= MAX_POLLS_ANNOUNCED
            self.poll_probability = POLLS_PER_SLOT / polls if is_counted else self.min_poll_probability
        elif polls > POLLS_PER_SLOT:  # as the throttle adapts the admission probability to use
            self.poll_probability *= POLLS_PER_SLOT / polls
        elif self.silent_slots > 1:  # not after one: all limiters see the same slot and would all poll
            self.poll_probability *= RECOVERY_FACTOR
        self.poll_probability = clamped(self.poll_probability, self.min_poll_probability)
        is_polling = self.context.random.random() < self.poll_probability
        if is_polling:
            self._count_poll()
        return is_polling

    def _count_poll(self) -> None:
        """Announce a poll as it is made: an overloaded discovery rejects it only a second later."""
        self.announce_poll = True
        self.polls_in_slot += 1

    def _needs_report(self, server: EndpointId) -> bool:
        return self.peer_reports.get(server, 0) < MAX_COPIES

    def handle_gossip_timer(self) -> None:
        """Send the message that is due, unless peers have said it all."""
        self.is_gossip_scheduled = False
        if (body := self.encode()) is not None:
            self.context.actions.append(BroadcastGossip(body))
            self._schedule_gossip()

    def encode(self) -> bytes | None:
        """One message with what is still to be announced; None if there is nothing."""
        announces_poll = self.announce_poll and self.polls_in_slot <= MAX_POLLS_ANNOUNCED
        self.announce_poll = False
        if not announces_poll:  # else a message goes out anyway, and one more copy costs none
            self.unannounced = dict.fromkeys(filter(self._needs_report, self.unannounced))
            if not self.unannounced:
                return None
        body, done = encode_report(announces_poll, self.unannounced)
        for server in done:
            del self.unannounced[server]
        return body

    def receive(self, body: bytes) -> bool:
        """Take in a peer's report of polls and servers; False if this is another kind of message."""
        if not self.may_gossip or not is_report(body):
            return False
        report = decode_report(body)
        if report is None:
            return True  # malformed: ignored whole
        self.polls_in_slot += report.has_polled
        for server in report.endpoint_ids:
            self.peer_reports[server] = self.peer_reports.pop(server, 0) + 1
            if len(self.peer_reports) > MAX_PEER_REPORTS:
                del self.peer_reports[next(iter(self.peer_reports))]
        if self.is_stale:
            self.servers.avoid(report.endpoint_ids)
        return True

    def _schedule_poll(self) -> None:
        if not self.is_poll_scheduled:
            self.is_poll_scheduled = True
            fleet_slots = max(1.0, self.limiters / POLLS_PER_SLOT)
            slots = 1.0 if self.may_gossip else min(MAX_SLOTS_UNSHARED, fleet_slots)
            jitter = self.context.random.uniform(0.6, 1.4)
            self.context.set_timer(slots * SLOT_MS * jitter, Timer.DISCOVERY_POLL)

    def _schedule_gossip(self) -> None:
        """Draw the time of the next message: mostly late, so that the few early ones save the others."""
        if not self.is_gossip_scheduled and (self.announce_poll or self.unannounced):
            self.is_gossip_scheduled = True
            logarithm = math.log(1 - self.context.random.random()) / math.log(max(2, self.limiters))
            self.context.set_timer(GOSSIP_SPREAD_MS * max(0.0, 1 + logarithm), Timer.DISCOVERY_GOSSIP)
