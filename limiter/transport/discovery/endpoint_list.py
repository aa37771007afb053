"""Discovery's endpoint list: its form in JSON, and the endpoints that are read from it."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence
from typing import Any, NamedTuple

from limiter.configuration.addresses import Address, parse_address
from limiter.model.events import Endpoint, EndpointState

LIFECYCLE_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
# Length of the digest from which the number of an unknown name is made.
NUMBER_DIGEST_BYTES = 8
# Set in the numbers of unknown names, so that they lie above the indices of all known ones.
UNKNOWN_NAME_BIT = 1 << (8 * NUMBER_DIGEST_BYTES)


class MemberListError(ValueError):
    """A document is not an endpoint list; the message names the key that is wrong.

    The log prints this class by name, which is documented for engineers on call.
    """


class ListedEndpoint(NamedTuple):
    """One entry of an endpoint list: the server as the policy knows it, and where it listens."""

    endpoint: Endpoint
    address: Address


class EndpointList(NamedTuple):
    """All servers, or the changes to an earlier version of the list.

    Attributes:
        version: generation of the list; a later one is higher.
        is_full: whether servers that it does not name have left. Otherwise they are unchanged.
        entries: the servers that it names.
    """

    version: int
    is_full: bool
    entries: list[ListedEndpoint]


class NameNumbering:
    """Numbers of zones and machine kinds: the index in the settings, or a number derived from the name.

    Names that the settings do not have are not remembered, since new ones may come all day.
    """

    __slots__ = ("kinds", "zones")

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        """Number the zones and the machine kinds of the settings in their order."""
        self.zones = {name: index for index, name in enumerate(zones)}
        self.kinds = {name: index for index, name in enumerate(kinds)}

    def zone_number(self, name: str) -> int:
        """Return the number of a zone."""
        return _number(name, self.zones)

    def kind_number(self, name: str) -> int:
        """Return the number of a machine kind."""
        return _number(name, self.kinds)


def parse_endpoint_list(document: Any, names: NameNumbering) -> EndpointList:
    """Read an endpoint list.

    Args:
        document: parsed JSON.
        names: numbers of zones and machine kinds.

    Raises:
        MemberListError: the document is not an endpoint list.
    """
    try:
        return _parse_document(document, names)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        message = f"not a list of servers: {error!r}"
        raise MemberListError(message) from error
    except MemberListError:
        raise
    except ValueError as error:  # The address is malformed, or a text has characters that are not Unicode.
        raise MemberListError(str(error)) from error


def _parse_document(document: Any, names: NameNumbering) -> EndpointList:
    items = document["instances"]
    version = document["generation"]
    is_full = document["reset"]
    # Without this check an empty object would be read as "no server is left".
    if not isinstance(items, list):
        message = "not a list of servers: instances"
        raise MemberListError(message)
    entries = [_parse_entry(item, names) for item in items]
    if not isinstance(version, int) or not isinstance(is_full, bool):
        message = "not a list of servers: generation or reset"
        raise MemberListError(message)
    return EndpointList(version, is_full, entries)


def _parse_entry(item: Any, names: NameNumbering) -> ListedEndpoint:
    endpoint_id = item["instanceId"]
    zone = item.get("zone", "")
    kind = item.get("machineType", "")
    if not all(isinstance(text, str) for text in (endpoint_id, zone, kind)) or not endpoint_id:
        message = "not a server: instanceId, zone or machineType"
        raise MemberListError(message)
    cell = item.get("cell", 0)
    weight = item.get("weight", 1.0)
    started_at_ms = item.get("startedAtMs", 0)
    numbers = (cell, weight, started_at_ms)
    if not all(isinstance(number, int | float) and math.isfinite(number) for number in numbers):
        message = "not a server: cell, weight or startedAtMs"
        raise MemberListError(message)
    state = _parse_state(item["lifecycle"])
    endpoint = Endpoint(
        id=endpoint_id.encode(),
        state=state,
        zone=names.zone_number(zone),
        cell=int(cell),
        machine_type=names.kind_number(kind),
        weight=float(weight),
        started_at=float(started_at_ms),
    )
    return ListedEndpoint(endpoint, parse_address(item["hostPort"]))


def _parse_state(lifecycle: Any) -> EndpointState:
    state = LIFECYCLE_STATES.get(lifecycle)
    if state is None:
        message = f"not a server: lifecycle {lifecycle!r}"
        raise MemberListError(message)
    return state


def _number(name: str, known_numbers: dict[str, int]) -> int:
    number = known_numbers.get(name)
    if number is not None:
        return number
    # Unknown zones must not share a number: repeats of a request with a key are dropped within a zone only.
    digest = hashlib.blake2b(name.encode(), digest_size=NUMBER_DIGEST_BYTES).digest()
    return int.from_bytes(digest) | UNKNOWN_NAME_BIT
