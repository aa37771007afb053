"""Validates the protocol headers of a client's request and converts them to an event for the policy."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NamedTuple

from limiter.configuration.config import Config
from limiter.model.events import ClientRequest
from limiter.model.settings import Idempotency
from limiter.transport.clients.request_parser import REPEATED_HEADER_KEY, ParsedRequest

# Maximum deadline that a client may request: one hour.
MAX_DEADLINE_MS = 3_600_000
# The limiter ends a request this long before the client's own timeout, since the response still has to reach
# the client over a network, on a busy machine.
DEADLINE_MARGIN_MS = 10.0
# Minimum fraction of the client's timeout that the limiter allows a request, however short the timeout is.
MIN_DEADLINE_FRACTION = 0.75
# Customers are identified by numbers below this.
CUSTOMER_LIMIT = 2**33

REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
# Numbers are matched by patterns first, because int() and float() also accept 1_0, +1, nan and blanks.
INTEGER_PATTERN = re.compile(rb"[0-9]{1,9}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class BadRequestError(Exception):
    """A request violates the protocol; the message is the body of the response."""

    def __init__(self, problem: str, part: str = "") -> None:
        """Describe the error.

        Args:
            problem: What is wrong with this part of the request.
            part: A header or another part of the request; empty if no particular part is wrong.
        """
        super().__init__(f"{part}: {problem}" if part else problem)
        self.part = part
        self.problem = problem


class WeightHeader(NamedTuple):
    """The values of the X-Weight header: the request's units, and the limiters that serve its customer."""

    units: float
    limiter_set_size: float
    limiter_set_start: float


class RequestValidator:
    """Checks requests against the request classes, plans and limits of the settings."""

    def __init__(self, config: Config) -> None:
        """Read the request classes, plans and limits from `config`."""
        self._settings = config.settings
        self._class_indices = {name.encode(): index for index, name in enumerate(config.class_names)}
        self._plan_indices = {name.encode(): index for index, name in enumerate(config.plan_names)}

    def validate(
        self, request: ParsedRequest, path: bytes, request_number: int, now_ms: float
    ) -> ClientRequest:
        """Return the event for a valid request.

        Args:
            request: The request as it was received.
            path: The request target without the query.
            request_number: The number of the request, unique in this limiter.
            now_ms: The current time in milliseconds of the events' clock.

        Raises:
            BadRequestError: The request violates the protocol.
        """
        headers = request.headers
        _check_repeated_headers_and_request_id(headers)
        class_path, _, customer = path.removeprefix(b"/").rpartition(b"/")
        class_index = self._find_class_index(headers, class_path)
        plan_index = self._find_plan_index(headers)
        self._check_method(request, class_index)
        weight = _parse_weight_header(headers.get(b"x-weight", b""))
        self._check_weight(weight, plan_index)
        return ClientRequest(
            id=request_number,
            customer=_parse_customer(customer),
            plan=plan_index,
            request_class=class_index,
            units=weight.units,
            limiter_set_size=weight.limiter_set_size,
            limiter_set_start=weight.limiter_set_start,
            expires_at=now_ms + _parse_deadline_ms(headers.get(b"x-deadline-ms", b"")),
        )

    def _find_class_index(self, headers: Mapping[bytes, bytes], class_path: bytes) -> int:
        class_index = self._class_indices.get(headers.get(b"x-class", b""))
        if class_index is None or class_path.partition(b"/")[0] != headers[b"x-class"]:
            raise BadRequestError(part="X-Class", problem="missing, unknown or not that of the path")
        return class_index

    def _find_plan_index(self, headers: Mapping[bytes, bytes]) -> int:
        plan_index = self._plan_indices.get(headers.get(b"x-tariff", b""))
        if plan_index is None:
            raise BadRequestError(part="X-Tariff", problem="missing or unknown")
        return plan_index

    def _check_method(self, request: ParsedRequest, class_index: int) -> None:
        idempotency = self._settings.request_classes[class_index].idempotency
        expected_method = b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"
        has_unexpected_body = request.method == b"GET" and bool(request.body)
        if request.method != expected_method or has_unexpected_body:
            raise BadRequestError(
                part="method", problem="does not match the request class, or a GET request has a body"
            )
        if idempotency is Idempotency.IDEMPOTENCY_KEY and not request.headers.get(b"idempotency-key"):
            raise BadRequestError(part="Idempotency-Key", problem="missing")

    def _check_weight(self, weight: WeightHeader, plan_index: int) -> None:
        """Check the values of the X-Weight header against the settings.

        A request changes the state that the policy keeps for its customer, and so affects all requests of
        that customer. Values that the settings do not allow must not reach the policy.
        """
        limiter_count = self._settings.limiter_count
        is_limiter_set_valid = (
            1 <= weight.limiter_set_size <= limiter_count and weight.limiter_set_start < limiter_count
        )
        plan = self._settings.plans[plan_index]
        max_units = self._settings.max_units
        if plan.rate > 0:
            max_units = min(max_units, plan.burst)
        if not is_limiter_set_valid or not 0 < weight.units <= max_units:
            raise BadRequestError(part="X-Weight", problem="out of range")


def _check_repeated_headers_and_request_id(headers: Mapping[bytes, bytes]) -> None:
    if REPEATED_HEADER_KEY in headers:
        raise BadRequestError(problem="a header given twice")
    if not REQUEST_ID_PATTERN.fullmatch(headers.get(b"x-request-id", b"")):
        raise BadRequestError(part="X-Request-Id", problem="missing or malformed")


def _parse_weight_header(text: bytes) -> WeightHeader:
    pairs = [part.strip().split(b"=", 1) for part in text.split(b",")]
    fields = {pair[0]: pair[1] for pair in pairs if len(pair) == 2}
    has_well_formed_fields = len(fields) == len(pairs)
    units = fields.get(b"units", b"")
    set_size = fields.get(b"spread", b"")
    set_start = fields.get(b"first", b"")
    are_numbers = (
        DECIMAL_PATTERN.fullmatch(units)
        and INTEGER_PATTERN.fullmatch(set_size)
        and INTEGER_PATTERN.fullmatch(set_start)
    )
    if not are_numbers or not has_well_formed_fields:
        raise BadRequestError(part="X-Weight", problem="missing or malformed")
    return WeightHeader(float(units), float(set_size), float(set_start))


def _parse_customer(text: bytes) -> int:
    customer = int(text, 16) if CUSTOMER_PATTERN.fullmatch(text) else CUSTOMER_LIMIT
    if customer >= CUSTOMER_LIMIT:
        raise BadRequestError(
            part="path",
            problem="its last segment is not a customer number of 16 hexadecimal digits below 0x200000000",
        )
    return customer


def _parse_deadline_ms(text: bytes) -> float:
    """Return how long the request may take in the limiter, in milliseconds."""
    deadline_ms = int(text) if INTEGER_PATTERN.fullmatch(text) else 0
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise BadRequestError(part="X-Deadline-Ms", problem="missing or not an integer from 1 to 3600000")
    return max(deadline_ms - DEADLINE_MARGIN_MS, deadline_ms * MIN_DEADLINE_FRACTION)
