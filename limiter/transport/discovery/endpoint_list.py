"""Discovery's endpoint list: its JSON format, and the endpoints parsed from it."""

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
# Length of the digest from which the number of an unknown name is derived.
NUMBER_DIGEST_BYTES = 8
# Set in the numbers of unknown names, which makes them greater than the indices of all known names.
UNKNOWN_NAME_BIT = 1 << (8 * NUMBER_DIGEST_BYTES)


class MemberListError(ValueError):
    """A document is not a valid endpoint list; the message names the invalid key.

    The class name appears in the log and is documented for on-call engineers.
    """


class ListedEndpoint(NamedTuple):
    """An entry of an endpoint list: the server in the policy's data model, and its address."""

    endpoint: Endpoint
    address: Address


class EndpointList(NamedTuple):
    """A full list of the servers, or the changes since an earlier version.

    Attributes:
        version: Generation of the list, which increases with each change.
        is_full: Whether servers without an entry have left. Otherwise they are unchanged.
        entries: The listed servers.
    """

    version: int
    is_full: bool
    entries: list[ListedEndpoint]


class NameNumbering:
    """Maps names of zones and machine types to numbers.

    The number is the index of the name in the settings or, for an unknown name, a hash of it. Unknown names
    are not stored, because new ones may appear at any time and the mapping would grow without limit.
    """

    __slots__ = ("machine_types", "zones")

    def __init__(self, zones: Sequence[str], machine_types: Sequence[str]) -> None:
        """Number the zones and machine types in the order of the settings."""
        self.zones = {name: index for index, name in enumerate(zones)}
        self.machine_types = {name: index for index, name in enumerate(machine_types)}

    def zone_number(self, name: str) -> int:
        """Return the number of a zone."""
        return _find_or_derive_number(name, self.zones)

    def machine_type_number(self, name: str) -> int:
        """Return the number of a machine type."""
        return _find_or_derive_number(name, self.machine_types)


def parse_endpoint_list(document: Any, names: NameNumbering) -> EndpointList:
    """Parse an endpoint list.

    Args:
        document: The decoded JSON document.
        names: Numbers of the zones and machine types.

    Raises:
        MemberListError: The document is not a valid endpoint list.
    """
    try:
        return _parse_document(document, names)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        message = f"invalid endpoint list: {error!r}"
        raise MemberListError(message) from error
    except MemberListError:
        raise
    except ValueError as error:  # The address is malformed, or a string cannot be encoded as UTF-8.
        raise MemberListError(str(error)) from error


def _parse_document(document: Any, names: NameNumbering) -> EndpointList:
    items = document["instances"]
    version = document["generation"]
    is_full = document["reset"]
    # Without this check an empty object would be read as an empty list, and all servers would be removed.
    if not isinstance(items, list):
        message = "invalid endpoint list: instances is not an array"
        raise MemberListError(message)
    entries = [_parse_entry(item, names) for item in items]
    if not isinstance(version, int) or not isinstance(is_full, bool):
        message = "invalid endpoint list: generation is not an integer or reset is not a boolean"
        raise MemberListError(message)
    return EndpointList(version, is_full, entries)


def _parse_entry(item: Any, names: NameNumbering) -> ListedEndpoint:
    endpoint_id = item["instanceId"]
    zone = item.get("zone", "")
    machine_type = item.get("machineType", "")
    if not all(isinstance(text, str) for text in (endpoint_id, zone, machine_type)) or not endpoint_id:
        message = "invalid endpoint: instanceId, zone or machineType is not a string, or instanceId is empty"
        raise MemberListError(message)
    cell = item.get("cell", 0)
    weight = item.get("weight", 1.0)
    started_at_ms = item.get("startedAtMs", 0)
    numbers = (cell, weight, started_at_ms)
    if not all(isinstance(number, int | float) and math.isfinite(number) for number in numbers):
        message = "invalid endpoint: cell, weight or startedAtMs is not a finite number"
        raise MemberListError(message)
    state = _parse_state(item["lifecycle"])
    endpoint = Endpoint(
        id=endpoint_id.encode(),
        state=state,
        zone=names.zone_number(zone),
        cell=int(cell),
        machine_type=names.machine_type_number(machine_type),
        weight=float(weight),
        started_at=float(started_at_ms),
    )
    return ListedEndpoint(endpoint, parse_address(item["hostPort"]))


def _parse_state(lifecycle: Any) -> EndpointState:
    state = LIFECYCLE_STATES.get(lifecycle)
    if state is None:
        message = f"invalid endpoint: lifecycle must be active, leaving or left, not {lifecycle!r}"
        raise MemberListError(message)
    return state


def _find_or_derive_number(name: str, numbers_by_name: dict[str, int]) -> int:
    number = numbers_by_name.get(name)
    if number is not None:
        return number
    # Unknown zones must not share a number, because requests with the same idempotency key are deduplicated
    # only within a zone.
    digest = hashlib.blake2b(name.encode(), digest_size=NUMBER_DIGEST_BYTES).digest()
    return int.from_bytes(digest) | UNKNOWN_NAME_BIT
