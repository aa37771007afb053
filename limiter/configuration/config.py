"""Types of a validated configuration, and the error for a configuration that is invalid."""

from __future__ import annotations

from dataclasses import dataclass

from limiter.configuration.addresses import Address
from limiter.model.settings import Settings

# File descriptors reserved for the event loop, the listening socket, discovery, the counter and connections
# that are being closed.
RESERVED_DESCRIPTORS = 24


class ConfigError(Exception):
    """The configuration is invalid; the message names the key and says what is wrong with its value."""

    def __init__(self, key: str, problem: str) -> None:
        """Create the error for one key.

        Args:
            key: Path of a key in the file, or the name of an environment variable.
            problem: What is wrong with the value, and which values are accepted, in one line.
        """
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """Addresses that limiters use to send gossip to each other.

    Attributes:
        listen_address: Address on which this limiter receives gossip.
        limiter_addresses: Gossip addresses of all limiters, this one included, in the order of their indices.
        broadcast_address: Address that delivers a message to all limiters; None if each must be sent its own.
    """

    listen_address: Address
    limiter_addresses: tuple[Address, ...]
    broadcast_address: Address | None


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration of a limiter process.

    Attributes:
        name: Name of the limiter, which it writes to its log.
        listen_address: Address on which the limiter accepts clients' connections.
        discovery_address: Address of discovery or of its agent on this host.
        counter_address: Address of the shared counter; None if the settings do not enable the counter.
        gossip: Addresses for gossip between limiters; None if the limiter does not use gossip.
        seed: Seed of the random number generator of the decision policy.
        max_descriptors: Maximum number of file descriptors that the limiter may use.
        max_memory_bytes: Memory of the process beyond which the platform kills it.
        configured_endpoints: The endpoint list that was known when the configuration was written, in the JSON
            form of discovery and not yet validated; None if the configuration has none.
        settings: Settings of the decision policy.
        class_names: Names of the request classes, in the order of their indices; a request header names one.
        plan_names: Names of the plans, in the order of their indices; a request header names one.
        zone_names: Names of the zones, in the order of their numbers; endpoint lists contain the names.
        machine_type_names: Names of the machine types, in the order of their numbers; endpoint lists contain
            the names.
        dial_timeout_ms: Milliseconds after which opening a connection fails.
        keepalive_ms: Milliseconds for which servers keep an idle connection open.
    """

    name: str
    listen_address: Address
    discovery_address: Address
    counter_address: Address | None
    gossip: GossipConfig | None
    seed: int
    max_descriptors: int
    max_memory_bytes: int
    configured_endpoints: object
    settings: Settings
    class_names: tuple[str, ...]
    plan_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    machine_type_names: tuple[str, ...]
    dial_timeout_ms: float
    keepalive_ms: float

    def compute_descriptor_budget(self, fraction: float) -> int:
        """Return the given fraction, from 0 to 1, of the descriptors that are not reserved; at least 1."""
        return max(1, int((self.max_descriptors - RESERVED_DESCRIPTORS) * fraction))
