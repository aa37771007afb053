"""Checks a configuration document, the JSON object of the file, and makes the configuration of it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace

from limiter.configuration.addresses import Address, parse_address
from limiter.configuration.config import Config, ConfigError, GossipConfig
from limiter.configuration.settings_json import flatten_settings
from limiter.configuration.settings_reader import SettingsReader, read_settings
from limiter.model.settings import Settings, SettingsError, validate_settings

# File descriptors that the limiter may use where the configuration doesn't say.
DEFAULT_DESCRIPTORS = 1024
# Fewest file descriptors that leave some for clients and servers after the reserved ones.
MIN_DESCRIPTORS = 64
# Limits on descriptors are below this number, as a descriptor is a C int.
MAX_DESCRIPTORS = 2**31
DEFAULT_DIAL_TIMEOUT_MS = 250.0
DEFAULT_KEEPALIVE_MS = 30_000.0
NOT_A_LIST = "not a list of objects"


def parse_config(document: Mapping[str, object]) -> Config:
    """Check a configuration document, which is the JSON object of the file with the environment's overrides.

    Raises:
        ConfigError: a key cannot be used; the error names the first such key.
    """
    raw = document.get("settings")
    if not isinstance(raw, dict):
        raise ConfigError(key="settings", problem="missing or not an object")
    _check_plan_list(raw)
    reader = _settings_reader(raw)
    settings = _parse_settings(reader)
    dial_timeout_ms = _parse_positive(reader, "limits.dialTimeout", DEFAULT_DIAL_TIMEOUT_MS)
    keepalive_ms = _parse_positive(reader, "limits.keepalive", DEFAULT_KEEPALIVE_MS)
    counter = _parse_counter(document, settings)
    gossip = _parse_gossip(document, settings)
    return Config(
        name=str(document.get("name", "limiter")),
        listen_address=_parse_address(document, "listen"),
        discovery_address=_parse_address(document, "discovery"),
        counter_address=counter,
        gossip=gossip,
        seed=_parse_seed(document.get("seed")),
        max_descriptors=_parse_descriptors(document.get("limits")),
        configured_endpoints=document.get("known"),
        settings=replace(settings, may_gossip=gossip is not None),
        class_names=_parse_unique_names(raw, "classes"),
        plan_names=_parse_unique_names(raw, "contracts"),
        zone_names=_parse_words(raw, "localities"),
        machine_type_names=_parse_words(raw, "models"),
        dial_timeout_ms=dial_timeout_ms,
        keepalive_ms=keepalive_ms,
    )


def _settings_reader(raw: Mapping[str, object]) -> SettingsReader:
    try:
        return SettingsReader(flatten_settings(raw))
    except (UnicodeError, RecursionError) as error:
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


def _parse_address(document: Mapping[str, object], key: str) -> Address:
    try:
        return parse_address(document.get(key))
    except ValueError as error:
        raise ConfigError(key, str(error)) from error


def _parse_counter(document: Mapping[str, object], settings: Settings) -> Address | None:
    """Return the counter's address; None where the settings have no counter."""
    counter = _parse_address(document, "counter") if document.get("counter") else None
    if not settings.has_counter:
        return None
    if counter is None:
        raise ConfigError(key="counter", problem="missing, though the settings have one")
    return counter


def _parse_gossip(document: Mapping[str, object], settings: Settings) -> GossipConfig | None:
    """Return the addresses of the gossip; None where the settings or the document have no gossip."""
    if not settings.may_gossip or not document.get("peer_listen"):
        return None
    peers = document.get("peers")
    if not isinstance(peers, list) or len(peers) != settings.limiter_count:
        problem = f"not a list of {settings.limiter_count} addresses, one for each limiter"
        raise ConfigError(key="peers", problem=problem)
    try:
        members = tuple(parse_address(text) for text in peers)
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


def _check_plan_list(raw: Mapping[str, object]) -> None:
    """Refuse an object with a count in place of the list of plans.

    No field of a plan is required, so that any count, however large, would be read to its end.
    """
    plans = raw.get("contracts")
    if isinstance(plans, dict) and "count" in plans:
        raise ConfigError(key="settings.contracts", problem=NOT_A_LIST)


def _parse_unique_names(raw: Mapping[str, object], key: str) -> tuple[str, ...]:
    """Return the names of a list of objects, as the headers of requests state them.

    They are read from the document, since the mapping of settings has some of their characters replaced.
    """
    items = raw.get(key)
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise ConfigError(key=f"settings.{key}", problem=NOT_A_LIST)
    names = tuple(item.get("name") for item in items)
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name or names.index(name) != index:
            raise ConfigError(
                key=f"settings.{key}.{index}.name", problem=f"{name!r} is missing or not the only one"
            )
    return names


def _parse_words(raw: Mapping[str, object], key: str) -> tuple[str, ...]:
    words = raw.get(key, [])
    if not isinstance(words, list) or not all(isinstance(word, str) for word in words):
        raise ConfigError(key=f"settings.{key}", problem="not a list of names")
    return tuple(words)
