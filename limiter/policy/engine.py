"""The policy engine: dispatches each event to the component that handles it, and returns the actions.

In normal operation, admission follows the loss-based overload control of Rogowski and Tarasiuk; see
docs/design.md. Types are defined in limiter/model. Times are in milliseconds.
"""

from __future__ import annotations

from typing import assert_never

from limiter.model import events
from limiter.model.actions import Action
from limiter.model.settings import Settings, validate_settings
from limiter.policy.admission import AdmissionController
from limiter.policy.admission_rules import AdmissionRules
from limiter.policy.attempt_dispatch import AttemptDispatcher
from limiter.policy.concurrency_limit import ConcurrencyLimit, unobserved_load_fraction
from limiter.policy.context import EngineContext, TimerToken
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
    """Makes all decisions of one limiter.

    It performs no I/O. The caller provides the time of each event and the random seed.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the components of the engine.

        Args:
            settings: Settings of the limiter.
            seed: Seed of the random number generator.

        Raises:
            SettingsError: The settings are invalid.
        """
        validate_settings(settings)
        context = self.context = EngineContext(settings, seed)
        self._is_started = False
        self.usage_gossip = UsageGossip(context)
        self.outlier_detector = OutlierDetector(context)
        self.slow_start = SlowStart(context, unobserved_load_fraction(settings))
        self.server_selector = ServerSelector(context, self.outlier_detector, self.slow_start)
        self.concurrency_limit = ConcurrencyLimit(context, self.server_selector, self.usage_gossip)
        self.customers = CustomerRegistry(context)
        self.attempt_dispatcher = AttemptDispatcher(
            context, self.customers, self.server_selector, self.concurrency_limit, self.usage_gossip
        )
        self.usage_sampler = UsageSampler(context, self.customers, self.usage_gossip)
        self.admission = self._create_admission_controller(context)
        self.discovery_backoff = DiscoveryBackoff(
            context, self.server_selector.table, self.usage_gossip.is_enabled
        )

    def _create_admission_controller(self, context: EngineContext) -> AdmissionController:
        housekeeping = CustomerHousekeeping(context)
        return AdmissionController(
            context=context,
            customers=self.customers,
            usage_sampler=self.usage_sampler,
            usage_gossip=self.usage_gossip,
            admission_rules=AdmissionRules(
                context, self.customers, self.usage_gossip, self.outlier_detector, self.concurrency_limit
            ),
            attempt_dispatcher=self.attempt_dispatcher,
            held_requests=HeldRequests(context, self.usage_sampler, self.attempt_dispatcher, housekeeping),
            usage_reporter=UsageReporter(self.usage_sampler, housekeeping),
            housekeeping=housekeeping,
        )

    def handle(self, now: float, event: events.Event) -> list[Action]:  # noqa: C901 - one case for each event
        """Handle an event.

        Args:
            now: Time of the event, from a monotonic clock.
            event: The event.

        Returns:
            The actions to carry out, in order.
        """
        if not self._is_started:
            self._start(now)
        self.concurrency_limit.advance(now)
        # The most frequent kinds of events come first.
        match event:
            case events.ClientRequest():
                self.admission.handle_request(now, event)
            case events.AttemptEnded():
                self.attempt_dispatcher.handle_attempt_ended(now, event)
            case events.TimerFired():
                self._handle_timer(now, event)
            case events.CounterReply():
                self.admission.handle_counter_reply(now, event)
            case events.GossipReceived():
                self._handle_gossip(now, event)
            case events.EndpointsChanged() | events.EndpointListExpired():
                self._handle_endpoints(now, event)
            case events.ClientDisconnected():
                self.attempt_dispatcher.handle_disconnect(now, event)
            case events.StreamStarted():
                self.attempt_dispatcher.handle_stream_start(now, event)
            case events.DiscoveryPollFailed():
                self.discovery_backoff.handle_poll_failure(now, event)
            case events.HealthCheckEnded():
                pass  # The engine sends no health checks.
            case _:
                assert_never(event)
        return self.context.take_actions()

    def _start(self, now: float) -> None:
        """Start the components that need the time of the first event, and discovery."""
        self._is_started = True
        self.context.record_start_time(now)
        self.concurrency_limit.start_measuring(now)
        self.discovery_backoff.start()

    def _handle_timer(self, now: float, fired: events.TimerFired) -> None:
        match fired.token:
            case TimerToken.HOUSEKEEPING:
                self.admission.handle_housekeeping(now)
            case TimerToken.DISCOVERY_POLL:
                self.discovery_backoff.handle_poll_timer()
            case TimerToken.USAGE_GOSSIP if self.usage_gossip.is_enabled:
                self.usage_gossip.send(
                    self.concurrency_limit.active_attempts, self.concurrency_limit.smoothed_latency
                )
                if self.concurrency_limit.in_flight or self.usage_gossip.has_unsent_units:
                    self.usage_gossip.schedule()
            case TimerToken.DISCOVERY_GOSSIP:
                self.discovery_backoff.handle_gossip_timer()

    def _handle_gossip(self, now: float, received: events.GossipReceived) -> None:
        if not self.discovery_backoff.handle_gossip_message(received.body):
            self.usage_gossip.receive(now, received.body)

    def _handle_endpoints(
        self, now: float, change: events.EndpointsChanged | events.EndpointListExpired
    ) -> None:
        if isinstance(change, events.EndpointListExpired):
            self.server_selector.table.expire()
            return
        self.discovery_backoff.handle_endpoint_list(change)
        has_change = change.is_full_list or bool(change.endpoints)
        if has_change:
            was_expired = self.server_selector.table.is_expired
            self.server_selector.update_endpoints(change)
            # The capacity of the fleet counted as 0 while the list was expired.
            if was_expired or not self.concurrency_limit.has_been_computed:
                self.concurrency_limit.update(now)
