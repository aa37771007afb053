"""Validates the protocol headers of a client's request and makes an event of them for the policy."""

from __future__ import annotations

import re
from collections.abc import Mapping

from limiter.configuration.config import Config
from limiter.model.events import ClientRequest
from limiter.model.settings import Idempotency
from limiter.transport.clients.request_parser import REPEATED, ParsedRequest

MAX_DEADLINE_MS = 3_600_000  # the latest deadline that makes sense
# Before the client's own time-out: the response must reach it, over a network, on a busy core.
DEADLINE_MARGIN_MS = 10.0
MIN_DEADLINE_SHARE = 0.75  # of the client's time-out that is used however short it is
CUSTOMER_LIMIT = 2**33  # customers are numbers below it

REQUEST_ID = re.compile(rb"[!-~]{1,128}")
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
# Patterns, since int() and float() also take what no client should send: 1_0, +1, nan, blanks.
INTEGER = re.compile(rb"[0-9]{1,9}")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class BadRequestError(Exception):
    """A request that is not of the protocol's form; the message names its part and what is wrong."""

    def __init__(self, problem: str, part: str = "") -> None:
        """`part` is a header, or another part of the request; empty where it is none in particular."""
        super().__init__(f"{part}: {problem}" if part else problem)
        self.part = part
        self.problem = problem


class RequestValidator:
    """Checks requests against the classes, plans and bounds of the settings."""

    def __init__(self, config: Config) -> None:
        """Check by the settings of `config`."""
        self._settings = config.settings
        self._class_indexes = {name.encode(): index for index, name in enumerate(config.class_names)}
        self._plan_indexes = {name.encode(): index for index, name in enumerate(config.plan_names)}

    def validate(self, request: ParsedRequest, path: bytes, number: int, now_ms: float) -> ClientRequest:
        """Return the event for a request, under `number`; raise BadRequestError."""
        headers = request.headers
        if REPEATED in headers:
            raise BadRequestError(problem="a header given twice")
        if not REQUEST_ID.fullmatch(headers.get(b"x-request-id", b"")):
            raise BadRequestError(part="X-Request-Id", problem="missing or malformed")
        class_path, _, customer = path.removeprefix(b"/").rpartition(b"/")
        class_index = self._class_index(headers, class_path)
        plan_index = self._plan_indexes.get(headers.get(b"x-tariff", b""))
        if plan_index is None:
            raise BadRequestError(part="X-Tariff", problem="missing or unknown")
        self._check_method(request, class_index)
        units, set_size, set_start = self._parse_weight(headers.get(b"x-weight", b""), plan_index)
        return ClientRequest(
            id=number,
            customer=_parse_customer(customer),
            plan=plan_index,
            request_class=class_index,
            units=units,
            limiter_set_size=set_size,
            limiter_set_start=set_start,
            expires_at=now_ms + _parse_deadline_ms(headers.get(b"x-deadline-ms", b"")),
        )

    def _class_index(self, headers: Mapping[bytes, bytes], class_path: bytes) -> int:
        class_index = self._class_indexes.get(headers.get(b"x-class", b""))
        if class_index is None or class_path.partition(b"/")[0] != headers[b"x-class"]:
            raise BadRequestError(part="X-Class", problem="missing, unknown or not that of the path")
        return class_index

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

    def _parse_weight(self, text: bytes, plan_index: int) -> tuple[float, float, float]:
        """Units, and size and start of the customer's set of limiters, within the settings.

        A request in a customer's name changes what the policy keeps of that customer, for all its requests:
        what the settings rule out must not get that far.
        """
        pairs = [part.strip().split(b"=", 1) for part in text.split(b",")]
        fields = {pair[0]: pair[1] for pair in pairs if len(pair) == 2}
        units = fields.get(b"units", b"")
        set_size = fields.get(b"spread", b"")
        set_start = fields.get(b"first", b"")
        is_sound = DECIMAL.fullmatch(units) and INTEGER.fullmatch(set_size) and INTEGER.fullmatch(set_start)
        if not is_sound or len(fields) != len(pairs):  # one without a value, or given twice
            raise BadRequestError(part="X-Weight", problem="missing or malformed")
        plan = self._settings.plans[plan_index]
        limiter_count = self._settings.limiter_count
        max_units = self._settings.max_units
        if plan.rate > 0:
            max_units = min(max_units, plan.burst)
        has_set = 1 <= int(set_size) <= limiter_count and int(set_start) < limiter_count
        if not has_set or not 0 < float(units) <= max_units:
            raise BadRequestError(part="X-Weight", problem="out of range")
        return float(units), float(set_size), float(set_start)


def _parse_customer(text: bytes) -> int:
    customer = int(text, 16) if CUSTOMER.fullmatch(text) else CUSTOMER_LIMIT
    if customer >= CUSTOMER_LIMIT:
        raise BadRequestError(part="path", problem="its last part is no customer")
    return customer


def _parse_deadline_ms(text: bytes) -> float:
    """How long the request may take here, in milliseconds."""
    deadline_ms = int(text) if INTEGER.fullmatch(text) else 0
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise BadRequestError(part="X-Deadline-Ms", problem="missing or not a time to wait")
    return max(deadline_ms - DEADLINE_MARGIN_MS, deadline_ms * MIN_DEADLINE_SHARE)
