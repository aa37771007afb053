"""The policy engine: hands each event to the part that it concerns, and gathers the actions that follow.

Types: limiter/model. Times are milliseconds. The ordinary path is the loss-based control of Rogowski and
Tarasiuk, end to end: see docs/design.md.
"""

from __future__ import annotations

from typing import assert_never

from limiter.model import events
from limiter.model.actions import Action
from limiter.model.settings import Settings, validate_settings
from limiter.policy.admission import AdmissionController
from limiter.policy.admission_rules import AdmissionRules
from limiter.policy.attempt_dispatch import AttemptDispatcher
from limiter.policy.concurrency_limit import ConcurrencyLimit, unseen_load_share
from limiter.policy.context import EngineContext, Timer
from limiter.policy.customer_housekeeping import CustomerHousekeeping
from limiter.policy.customer_registry import CustomerRegistry
from limiter.policy.discovery_backoff import DiscoveryBackoff
from limiter.policy.held_requests import HeldRequests
from limiter.policy.outlier_detection import OutlierDetector
from limiter.policy.server_selection import ServerSelector
from limiter.policy.slow_start import SlowStart
from limiter.policy.usage_gossip import UsageGossip
from limiter.policy.usage_reporting import UsageReporter
from limiter.policy.usage_sampling import UsageSampler


class PolicyEngine:
    """Every decision of one limiter, without I/O: the clock and the seed are handed in."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Build the parts of the engine.

        Args:
            settings: What the limiter decides by.
            seed: Decides every random draw.

        Raises:
            SettingsError: The settings cannot be used.
        """
        validate_settings(settings)
        context = self.context = EngineContext(settings, seed)
        self._is_started = False
        self.gossip = UsageGossip(context)
        self.outliers = OutlierDetector(context)
        self.slow_start = SlowStart(context, unseen_load_share(settings))
        self.selector = ServerSelector(context, self.outliers, self.slow_start)
        self.limit = ConcurrencyLimit(context, self.selector, self.gossip)
        self.customers = CustomerRegistry(context)
        self.attempts = AttemptDispatcher(context, self.customers, self.selector, self.limit, self.gossip)
        self.sampler = UsageSampler(context, self.customers, self.gossip)
        self.admission = self._make_admission(context)
        self.discovery = DiscoveryBackoff(context, self.selector.table, self.gossip.is_enabled)

    def _make_admission(self, context: EngineContext) -> AdmissionController:
        housekeeping = CustomerHousekeeping(context)
        return AdmissionController(
            context=context,
            customers=self.customers,
            sampler=self.sampler,
            gossip=self.gossip,
            rules=AdmissionRules(context, self.customers, self.gossip, self.outliers, self.limit),
            attempts=self.attempts,
            held=HeldRequests(context, self.sampler, self.attempts, housekeeping),
            reporter=UsageReporter(self.customers, self.sampler, housekeeping),
            housekeeping=housekeeping,
        )

    def handle(self, now: float, event: events.Event) -> list[Action]:
        """Decide what an event leads to.

        Args:
            now: Time of the event, by a clock that never goes back.
            event: What happened.

        Returns:
            The actions to carry out, in this order.
        """
        if not self._is_started:
            self._start(now)
        self.limit.advance(now)
        self._dispatch(now, event)
        return self.context.take_actions()

    def _start(self, now: float) -> None:
        """Begin with the first event."""
        self._is_started = True
        self.context.start(now)
        self.limit.start(now)
        self.discovery.start()

    def _dispatch(self, now: float, event: events.Event) -> None:  # noqa: C901 - one case for each event
        """Hand an event to the part that it concerns, the most frequent kinds first."""
        match event:
            case events.ClientRequest():
                self.admission.handle_request(now, event)
            case events.AttemptEnded():
                self.attempts.handle_attempt_ended(now, event)
            case events.TimerFired():
                self._handle_timer(now, event)
            case events.CounterReply():
                self.admission.handle_counter_reply(now, event)
            case events.GossipReceived():
                self._handle_gossip(now, event)
            case events.EndpointsChanged():
                self._handle_endpoints(now, event)
            case events.ClientDisconnected():
                self.attempts.handle_disconnect(now, event)
            case events.StreamStarted():
                self.attempts.handle_stream_start(now, event)
            case events.DiscoveryPollFailed():
                self.discovery.handle_failure(now, event)
            case events.HealthCheckEnded():
                pass  # no health check is ever sent
            case _:
                assert_never(event)

    def _handle_timer(self, now: float, fired: events.TimerFired) -> None:
        match fired.token:
            case Timer.HOUSEKEEPING:
                self.admission.handle_housekeeping(now)
            case Timer.DISCOVERY_POLL:
                self.discovery.handle_poll_timer()
            case Timer.USAGE_GOSSIP if self.gossip.is_enabled:
                self.gossip.send(self.limit.working, self.limit.latency)
                if self.limit.in_flight or self.gossip.has_unsent_units:
                    self.gossip.schedule()
            case Timer.DISCOVERY_GOSSIP:
                self.discovery.handle_gossip_timer()

    def _handle_gossip(self, now: float, received: events.GossipReceived) -> None:
        if not self.discovery.receive(received.body):
            self.gossip.receive(now, received.body)

    def _handle_endpoints(self, now: float, change: events.EndpointsChanged) -> None:
        self.discovery.handle_list(change)
        has_change = change.is_full_list or bool(change.endpoints)
        if has_change:
            self.selector.update_endpoints(change)
            if not self.limit.is_known:
                self.limit.update(now)
