"""The limiter's configuration: environment and JSON file, checked before anything starts."""

from __future__ import annotations

import ipaddress
import json
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from limiter.configuration.settings_json import flatten_settings
from limiter.configuration.settings_reader import SettingsReader, read_settings
from limiter.model.settings import Settings, SettingsError, validate_settings

DEFAULT_DESCRIPTORS = 1024  # where the configuration states no limit
MIN_DESCRIPTORS = 64
MAX_DESCRIPTORS = 2**31
# Kept for the loop, the listener, discovery, the counter and what is being closed.
RESERVED_DESCRIPTORS = 24
DEFAULT_DIAL_TIMEOUT_MS = 250.0
DEFAULT_KEEPALIVE_MS = 30_000.0
PORT_LIMIT = 65_536  # ports are numbers below it

Address = tuple[str, int]


class ConfigError(Exception):
    """A configuration that can't be worked with: its key, and what is wrong with the value."""

    def __init__(self, key: str, problem: str) -> None:
        """`key` is the path of a key in the file, or the name of a variable of the environment."""
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class AddressError(ValueError):
    """A text that is not `host:port`."""

    def __init__(self, text: object) -> None:
        """`text` is what was found."""
        super().__init__(f"{text!r} is not host:port")


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """Where messages between limiters go."""

    listen: Address
    members: tuple[Address, ...]  # by their numbers, this one included
    everyone: Address | None  # stands for all of them


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that a limiter process is started with."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    gossip: GossipConfig | None
    seed: int
    max_descriptors: int
    known_endpoints: Any  # in discovery's form, checked where discovery's answers are
    settings: Settings
    class_names: tuple[str, ...]
    plan_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    dial_timeout_ms: float
    keepalive_ms: float

    def descriptor_share(self, share: float) -> int:
        """How many descriptors `share` of those that are not reserved is; 1 at least."""
        return max(1, int((self.max_descriptors - RESERVED_DESCRIPTORS) * share))


def address(text: object) -> Address:
    """Parse `host:port`, with a literal IP address: there is no DNS where the limiter runs.

    Raise ValueError, of which AddressError is one.
    """
    if not isinstance(text, str):
        raise AddressError(text)
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not (port.isascii() and port.isdigit() and int(port) < PORT_LIMIT):
        raise AddressError(text)
    ipaddress.ip_address(host)
    return host, int(port)


def load(environ: Mapping[str, str]) -> Config:
    """Read the file that RELAY_CONFIG names; the other variables, where set, go before it."""
    document = _read_document(environ)
    _override(document, environ, ("name", "listen", "discovery"))
    return parse(document)


def reload(environ: Mapping[str, str]) -> Config:
    """Read the file again; its `discovery` goes before that of the environment, which can't change."""
    document = _read_document(environ)
    _override(document, environ, ("name", "listen"))
    discovery = environ.get("RELAY_DISCOVERY")
    if discovery:
        document.setdefault("discovery", discovery)
    return parse(document)


def _override(document: dict[str, Any], environ: Mapping[str, str], keys: Iterable[str]) -> None:
    for key in keys:
        value = environ.get(f"RELAY_{key.upper()}")
        if value:
            document[key] = value


def _read_document(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError(key="RELAY_CONFIG", problem="not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(key="RELAY_CONFIG", problem=str(error)) from error
    if not isinstance(document, dict):
        raise ConfigError(key="RELAY_CONFIG", problem="not a JSON object")
    return document


def parse(document: dict[str, Any]) -> Config:
    """Check a whole configuration; raise ConfigError, naming the first key that can't be used."""
    raw = document.get("settings")
    if not isinstance(raw, dict):
        raise ConfigError(key="settings", problem="missing or not an object")
    reader = _settings_reader(raw)
    settings = _parse_settings(reader)
    dial_timeout_ms = _parse_positive(reader, "limits.dialTimeout", DEFAULT_DIAL_TIMEOUT_MS)
    keepalive_ms = _parse_positive(reader, "limits.keepalive", DEFAULT_KEEPALIVE_MS)
    counter = _parse_counter(document, settings)
    gossip = _parse_gossip(document, settings)
    return Config(
        name=str(document.get("name", "limiter")),
        listen=_parse_address(document, "listen"),
        discovery=_parse_address(document, "discovery"),
        counter=counter,
        gossip=gossip,
        seed=_parse_seed(document.get("seed")),
        max_descriptors=_parse_descriptors(document.get("limits")),
        known_endpoints=document.get("known"),
        settings=replace(settings, may_gossip=gossip is not None),
        class_names=_parse_unique_names(raw, "classes"),
        plan_names=_parse_unique_names(raw, "contracts"),
        zone_names=_parse_words(raw, "localities"),
        kind_names=_parse_words(raw, "models"),
        dial_timeout_ms=dial_timeout_ms,
        keepalive_ms=keepalive_ms,
    )


def _settings_reader(raw: dict[str, Any]) -> SettingsReader:
    try:
        return SettingsReader(flatten_settings(raw))
    except (UnicodeError, RecursionError) as error:  # JSON may hold half a character, or nest without end
        raise ConfigError(key="settings", problem=str(error)) from error


def _parse_settings(reader: SettingsReader) -> Settings:
    try:
        settings = read_settings(reader)
        validate_settings(settings)
    except SettingsError as error:
        raise _config_error(error) from error
    return settings


def _parse_positive(reader: SettingsReader, path: str, default: float) -> float:
    try:
        value = reader.read_number(path, default)
    except SettingsError as error:
        raise _config_error(error) from error
    if not (math.isfinite(value) and value > 0):
        raise ConfigError(key=f"settings.{path}", problem=f"{value!r} is not above 0")
    return value


def _config_error(error: SettingsError) -> ConfigError:
    """Return the same error with the setting's place in the file."""
    return ConfigError(key=f"settings.{error.name}", problem=error.problem)


def _parse_address(document: dict[str, Any], key: str) -> Address:
    try:
        return address(document.get(key))
    except ValueError as error:
        raise ConfigError(key, str(error)) from error


def _parse_counter(document: dict[str, Any], settings: Settings) -> Address | None:
    """The counter's address; None where the settings have no counter."""
    counter = _parse_address(document, "counter") if document.get("counter") else None
    if not settings.has_counter:
        return None
    if counter is None:
        raise ConfigError(key="counter", problem="missing, though the settings have one")
    return counter


def _parse_gossip(document: dict[str, Any], settings: Settings) -> GossipConfig | None:
    """None where the settings or the configuration have no messages: then none are sent."""
    if not settings.may_gossip or not document.get("peer_listen"):
        return None
    peers = document.get("peers")
    if not isinstance(peers, list) or len(peers) != settings.limiter_count:
        problem = f"not a list of {settings.limiter_count} addresses, one for each limiter"
        raise ConfigError(key="peers", problem=problem)
    try:
        members = tuple(address(text) for text in peers)
    except ValueError as error:
        raise ConfigError(key="peers", problem=str(error)) from error
    everyone = _parse_address(document, "peers_all") if document.get("peers_all") else None
    return GossipConfig(_parse_address(document, "peer_listen"), members, everyone)


def _parse_seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError as error:
        raise ConfigError(key="seed", problem=f"{value!r} is not a hexadecimal number") from error


def _parse_descriptors(limits: object) -> int:
    value = limits.get("sockets", DEFAULT_DESCRIPTORS) if isinstance(limits, dict) else DEFAULT_DESCRIPTORS
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not MIN_DESCRIPTORS <= value < MAX_DESCRIPTORS:
        problem = f"{value!r} is not a number of at least {MIN_DESCRIPTORS}"
        raise ConfigError(key="limits.sockets", problem=problem)
    return int(value)


def _parse_unique_names(raw: dict[str, Any], key: str) -> tuple[str, ...]:
    """Names of a list of objects as the headers carry them: flattening would change some characters."""
    names = tuple(item.get("name") for item in raw[key])
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name or names.index(name) != index:
            raise ConfigError(
                key=f"settings.{key}.{index}.name", problem=f"{name!r} is missing or not the only one"
            )
    return names


def _parse_words(raw: dict[str, Any], key: str) -> tuple[str, ...]:
    words = raw.get(key, [])
    if not isinstance(words, list) or not all(isinstance(word, str) for word in words):
        raise ConfigError(key=f"settings.{key}", problem="not a list of names")
    return tuple(words)
