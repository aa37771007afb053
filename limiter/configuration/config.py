"""The types of a checked configuration, and the error that names what is wrong with an unchecked one."""

from __future__ import annotations

from dataclasses import dataclass

from limiter.configuration.addresses import Address
from limiter.model.settings import Settings

# File descriptors kept for the event loop, the listening socket, discovery, the counter and connections that
# are being closed.
RESERVED_DESCRIPTORS = 24


class ConfigError(Exception):
    """A configuration cannot be used; the message names the key and says what is wrong with its value."""

    def __init__(self, key: str, problem: str) -> None:
        """State the fault.

        Args:
            key: Path of a key in the file, or the name of an environment variable.
            problem: What is wrong with the value, in one line.
        """
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """Addresses of the gossip between limiters.

    Attributes:
        listen_address: Address at which this limiter receives gossip.
        limiter_addresses: Addresses of all limiters by their index, this one included.
        broadcast_address: An address that reaches all of them at once; None where each has to be sent to.
    """

    listen_address: Address
    limiter_addresses: tuple[Address, ...]
    broadcast_address: Address | None


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that a limiter process is started with.

    Attributes:
        name: Name of the limiter in its log.
        listen_address: Address at which clients connect.
        discovery_address: Address of the discovery agent.
        counter_address: Address of the shared counter; None where the settings have none.
        gossip: Addresses of the gossip; None where no gossip is sent.
        seed: Seed of the random draws of the decisions.
        max_descriptors: File descriptors that the limiter may use.
        configured_endpoints: The endpoint list as last seen, in the JSON form of discovery, not yet checked;
            None where the configuration has none.
        settings: Settings of the decisions.
        class_names: Names of the request classes by their index, as a request's headers state them.
        plan_names: Names of the plans by their index, as a request's headers state them.
        zone_names: Names of the zones by their number, as endpoint lists state them.
        machine_type_names: Names of the kinds of machines by their number, as endpoint lists state them.
        dial_timeout_ms: Milliseconds after which an attempt to connect has failed.
        keepalive_ms: Milliseconds for which an idle connection to a server is kept.
    """

    name: str
    listen_address: Address
    discovery_address: Address
    counter_address: Address | None
    gossip: GossipConfig | None
    seed: int
    max_descriptors: int
    configured_endpoints: object
    settings: Settings
    class_names: tuple[str, ...]
    plan_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    machine_type_names: tuple[str, ...]
    dial_timeout_ms: float
    keepalive_ms: float

    def compute_descriptor_budget(self, fraction: float) -> int:
        """Return how many descriptors a share, from 0 to 1, of the unreserved ones is; at least 1."""
        return max(1, int((self.max_descriptors - RESERVED_DESCRIPTORS) * fraction))
