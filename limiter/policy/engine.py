"""The policy engine: hands each event to the part that it concerns, and gathers the actions that follow.

Types: limiter/model. Times are milliseconds. The ordinary path is the loss-based control of Rogowski and
Tarasiuk, end to end: see docs/design.md.
"""

from collections.abc import Callable
from typing import Any

from limiter.model import events
from limiter.model.actions import Action
from limiter.model.settings import Settings, validate_settings
from limiter.policy.admission import AdmissionController
from limiter.policy.concurrency_limit import ConcurrencyLimit, unseen_load_share
from limiter.policy.context import PolicyContext, Timer
from limiter.policy.discovery_backoff import DiscoveryBackoff
from limiter.policy.outlier_detection import OutlierDetector
from limiter.policy.retries import AttemptManager
from limiter.policy.server_selection import ServerSelector
from limiter.policy.slow_start import SlowStart
from limiter.policy.token_bucket import TokenBuckets
from limiter.policy.usage_gossip import UsageGossip
from limiter.policy.usage_sampling import UsageSampler


class PolicyEngine:
    """Every decision of one limiter, without I/O: the clock and the seed are handed in."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Raise SettingsError where the settings cannot be used."""
        validate_settings(settings)
        context = self.context = PolicyContext(settings, seed)
        self.gossip = UsageGossip(context)
        self.outliers = OutlierDetector(context)
        self.slow_start = SlowStart(context, unseen_load_share(settings))
        self.selector = ServerSelector(context, self.outliers, self.slow_start)
        self.limit = ConcurrencyLimit(context, self.selector, self.gossip)
        self.buckets = TokenBuckets(context)
        self.sampler = UsageSampler(context, self.buckets, self.gossip)
        self.attempts = AttemptManager(context, self.buckets, self.selector, self.limit, self.gossip)
        self.admission = AdmissionController(
            context, self.buckets, self.sampler, self.limit, self.attempts, self.gossip
        )
        self.discovery = DiscoveryBackoff(context, self.selector.table, self.gossip.is_enabled)
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            events.ClientRequest: self.admission.handle_request,
            events.AttemptEnded: self.attempts.handle_end,
            events.CounterReply: self.admission.handle_counter_reply,
            events.TimerFired: self._handle_timer,
            events.GossipReceived: self._handle_gossip,
            events.EndpointsChanged: self._handle_endpoints,
            events.ClientDisconnected: self.attempts.handle_disconnect,
            events.StreamStarted: self.attempts.handle_stream_start,
            events.DiscoveryPollFailed: self.discovery.handle_failure,
        }

    def handle(self, now: float, event: events.Event) -> list[Action]:
        """Decide what an event leads to."""
        if self.context.started_at < 0:
            self.context.started_at = now
            self.limit.start(now)
            self.discovery.start()
        self.limit.advance(now)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        actions, self.context.actions = self.context.actions, []
        return actions

    def _handle_timer(self, now: float, fired: events.TimerFired) -> None:
        match fired.token:
            case Timer.HOUSEKEEPING:
                self.admission.handle_housekeeping(now)
            case Timer.DISCOVERY_POLL:
                self.discovery.handle_poll_timer()
            case Timer.USAGE_GOSSIP if self.gossip.is_enabled:
                self.gossip.send(self.limit.working, self.limit.latency)
                if self.limit.in_flight or self.gossip.unsent:
                    self.gossip.schedule()
            case Timer.DISCOVERY_GOSSIP:
                self.discovery.handle_gossip_timer()

    def _handle_gossip(self, now: float, received: events.GossipReceived) -> None:
        if not self.discovery.receive(received.body):
            self.gossip.receive(now, received.body)

    def _handle_endpoints(self, now: float, change: events.EndpointsChanged) -> None:
        self.discovery.handle_list(change)
        if change.endpoints or change.is_full_list:  # else nothing changed
            self.selector.update_endpoints(change)
            if not self.limit.limit:
                self.limit.update(now)
