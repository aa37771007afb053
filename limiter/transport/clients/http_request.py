"""Validates the protocol headers of a client's request and makes an event of them for the policy."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NamedTuple

from limiter.configuration.config import Config
from limiter.model.events import ClientRequest
from limiter.model.settings import Idempotency
from limiter.transport.clients.request_parser import REPEATED, ParsedRequest

# Longest time that a client may wait: an hour.
MAX_DEADLINE_MS = 3_600_000
# A request ends here so long before its client's own time-out: the response has to reach the client over a
# network, on a busy machine.
DEADLINE_MARGIN_MS = 10.0
# Share of the client's time-out that a request gets at least, however short the time-out is.
MIN_DEADLINE_SHARE = 0.75
# Customers are numbers below this.
CUSTOMER_LIMIT = 2**33

REQUEST_ID = re.compile(rb"[!-~]{1,128}")
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
# Numbers are matched by patterns, because int() and float() also accept 1_0, +1, nan and blanks.
INTEGER = re.compile(rb"[0-9]{1,9}")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class BadRequestError(Exception):
    """A request that is not of the protocol's form; its message is the body of the response."""

    def __init__(self, problem: str, part: str = "") -> None:
        """State what is wrong.

        Args:
            problem: What is wrong with the part.
            part: A header, or another part of the request; empty if it is none in particular.
        """
        super().__init__(f"{part}: {problem}" if part else problem)
        self.part = part
        self.problem = problem


class CustomerWeight(NamedTuple):
    """What the X-Weight header says: the request's units and the limiters of its customer."""

    units: float
    limiter_set_size: float
    limiter_set_start: float


class RequestValidator:
    """Checks requests against the classes, plans and bounds of the settings."""

    def __init__(self, config: Config) -> None:
        """Take classes, plans and bounds from `config`."""
        self._settings = config.settings
        self._class_indexes = {name.encode(): index for index, name in enumerate(config.class_names)}
        self._plan_indexes = {name.encode(): index for index, name in enumerate(config.plan_names)}

    def validate(self, request: ParsedRequest, path: bytes, number: int, now_ms: float) -> ClientRequest:
        """Return the event for a valid request.

        Args:
            request: The request as it was read.
            path: Its target without the query.
            number: Its number among this limiter's requests.
            now_ms: The time now, on the clock of the events.

        Raises:
            BadRequestError: The request is not of the protocol's form.
        """
        headers = request.headers
        _check_request_id(headers)
        class_path, _, customer = path.removeprefix(b"/").rpartition(b"/")
        class_index = self._class_index(headers, class_path)
        plan_index = self._plan_index(headers)
        self._check_method(request, class_index)
        weight = _parse_weight(headers.get(b"x-weight", b""))
        self._check_weight(weight, plan_index)
        return ClientRequest(
            id=number,
            customer=_parse_customer(customer),
            plan=plan_index,
            request_class=class_index,
            units=weight.units,
            limiter_set_size=weight.limiter_set_size,
            limiter_set_start=weight.limiter_set_start,
            expires_at=now_ms + _parse_deadline_ms(headers.get(b"x-deadline-ms", b"")),
        )

    def _class_index(self, headers: Mapping[bytes, bytes], class_path: bytes) -> int:
        class_index = self._class_indexes.get(headers.get(b"x-class", b""))
        if class_index is None or class_path.partition(b"/")[0] != headers[b"x-class"]:
            raise BadRequestError(part="X-Class", problem="missing, unknown or not that of the path")
        return class_index

    def _plan_index(self, headers: Mapping[bytes, bytes]) -> int:
        plan_index = self._plan_indexes.get(headers.get(b"x-tariff", b""))
        if plan_index is None:
            raise BadRequestError(part="X-Tariff", problem="missing or unknown")
        return plan_index

    def _check_method(self, request: ParsedRequest, class_index: int) -> None:
        idempotency = self._settings.request_classes[class_index].idempotency
        expected = b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"
        has_stray_body = request.method == b"GET" and request.body_bytes > 0
        if request.method != expected or has_stray_body:
            raise BadRequestError(
                part="method", problem="not that of the class, or a body where there is none"
            )
        if idempotency is Idempotency.IDEMPOTENCY_KEY and not request.headers.get(b"idempotency-key"):
            raise BadRequestError(part="Idempotency-Key", problem="missing")

    def _check_weight(self, weight: CustomerWeight, plan_index: int) -> None:
        """Check the weight against the settings.

        A request in a customer's name changes what the policy keeps of that customer, for all its requests:
        what the settings rule out must not get that far.
        """
        limiter_count = self._settings.limiter_count
        is_set_valid = (
            1 <= weight.limiter_set_size <= limiter_count and weight.limiter_set_start < limiter_count
        )
        plan = self._settings.plans[plan_index]
        max_units = self._settings.max_units_per_request
        if plan.rate > 0:
            max_units = min(max_units, plan.burst)
        if not is_set_valid or not 0 < weight.units <= max_units:
            raise BadRequestError(part="X-Weight", problem="out of range")


def _check_request_id(headers: Mapping[bytes, bytes]) -> None:
    if REPEATED in headers:
        raise BadRequestError(problem="a header given twice")
    if not REQUEST_ID.fullmatch(headers.get(b"x-request-id", b"")):
        raise BadRequestError(part="X-Request-Id", problem="missing or malformed")


def _parse_weight(text: bytes) -> CustomerWeight:
    pairs = [part.strip().split(b"=", 1) for part in text.split(b",")]
    fields = {pair[0]: pair[1] for pair in pairs if len(pair) == 2}
    has_only_distinct_fields = len(fields) == len(pairs)
    units = fields.get(b"units", b"")
    set_size = fields.get(b"spread", b"")
    set_start = fields.get(b"first", b"")
    are_numbers = DECIMAL.fullmatch(units) and INTEGER.fullmatch(set_size) and INTEGER.fullmatch(set_start)
    if not are_numbers or not has_only_distinct_fields:
        raise BadRequestError(part="X-Weight", problem="missing or malformed")
    return CustomerWeight(float(units), float(set_size), float(set_start))


def _parse_customer(text: bytes) -> int:
    customer = int(text, 16) if CUSTOMER.fullmatch(text) else CUSTOMER_LIMIT
    if customer >= CUSTOMER_LIMIT:
        raise BadRequestError(part="path", problem="its last part is no customer")
    return customer


def _parse_deadline_ms(text: bytes) -> float:
    """Return how long the request may take here, in milliseconds."""
    deadline_ms = int(text) if INTEGER.fullmatch(text) else 0
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise BadRequestError(part="X-Deadline-Ms", problem="missing or not a time to wait")
    return max(deadline_ms - DEADLINE_MARGIN_MS, deadline_ms * MIN_DEADLINE_SHARE)
