"""Discovery's list of servers: its form in JSON, and the endpoints that are read from it."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence
from typing import Any, NamedTuple

from limiter.configuration.config import Address, address
from limiter.model.events import Endpoint, EndpointState

LIFECYCLE_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
NUMBER_DIGEST_BYTES = 8
UNKNOWN_NAME_BIT = 1 << 64  # set in the numbers of unknown names, which are so above all indices


class MemberListError(ValueError):
    """A document is not a list of servers; the message names the key that is wrong."""


class ListedEndpoint(NamedTuple):
    """One server of a list: what the policy needs of it, and where it listens."""

    endpoint: Endpoint
    address: Address


class EndpointList(NamedTuple):
    """A list of servers, or the changes to one."""

    version: int
    is_full: (
        bool  # False: changes to the list of the version before, which leave servers not named as they are
    )
    entries: list[ListedEndpoint]


class NameNumbering:
    """Numbers of zones and machine kinds: their index in the settings, else a number derived from the name.

    Nothing is remembered of names that the settings do not have, since new ones may come all day.
    """

    __slots__ = ("kinds", "zones")

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        """Number the names that the settings have, in their order."""
        self.zones = {name: index for index, name in enumerate(zones)}
        self.kinds = {name: index for index, name in enumerate(kinds)}

    def zone_number(self, name: str) -> int:
        """Return the number of a zone."""
        return _number(name, self.zones)

    def kind_number(self, name: str) -> int:
        """Return the number of a machine kind."""
        return _number(name, self.kinds)


def parse_endpoint_list(document: Any, names: NameNumbering) -> EndpointList:
    """Read a list of servers from parsed JSON; raise MemberListError where it is none."""
    try:
        return _parse(document, names)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        message = f"not a list of servers: {error!r}"
        raise MemberListError(message) from error
    except MemberListError:
        raise
    except ValueError as error:  # of an address, or of text that is not Unicode
        raise MemberListError(str(error)) from error


def _parse(document: Any, names: NameNumbering) -> EndpointList:
    items = document["instances"]
    version = document["generation"]
    is_full = document["reset"]
    if not isinstance(items, list):  # an empty object would pass for "no server left"
        message = "not a list of servers: instances"
        raise MemberListError(message)
    entries = [_parse_entry(item, names) for item in items]
    if not isinstance(version, int) or not isinstance(is_full, bool):
        message = "not a list of servers: generation or reset"
        raise MemberListError(message)
    return EndpointList(version, is_full, entries)


def _parse_entry(item: Any, names: NameNumbering) -> ListedEndpoint:
    key = item["instanceId"]
    zone = item.get("zone", "")
    kind = item.get("machineType", "")
    if not all(isinstance(text, str) for text in (key, zone, kind)) or not key:
        message = "not a server: instanceId, zone or machineType"
        raise MemberListError(message)
    cell = item.get("cell", 0)
    weight = item.get("weight", 1.0)
    started_at = item.get("startedAtMs", 0)
    numbers = (cell, weight, started_at)
    if not all(isinstance(number, int | float) and math.isfinite(number) for number in numbers):
        message = "not a server: cell, weight or startedAtMs"
        raise MemberListError(message)
    state = LIFECYCLE_STATES.get(item["lifecycle"])
    if state is None:
        message = f"not a server: lifecycle {item['lifecycle']!r}"
        raise MemberListError(message)
    endpoint = Endpoint(
        id=key.encode(),
        state=state,
        zone=names.zone_number(zone),
        cell=int(cell),
        kind=names.kind_number(kind),
        weight=float(weight),
        started_at=float(started_at),
    )
    return ListedEndpoint(endpoint, address(item["hostPort"]))


def _number(name: str, known: dict[str, int]) -> int:
    number = known.get(name)
    if number is not None:
        return number
    # Two unknown zones must not share a number: a keyed request's repeats are dropped within a zone only.
    digest = hashlib.blake2b(name.encode(), digest_size=NUMBER_DIGEST_BYTES).digest()
    return int.from_bytes(digest) | UNKNOWN_NAME_BIT
