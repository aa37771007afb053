"""Validates a configuration document, the JSON object of the file, and converts it to a `Config`."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from typing import TypeGuard

from limiter.configuration.addresses import Address, parse_address
from limiter.configuration.config import Config, ConfigError, GossipConfig
from limiter.configuration.settings_json import flatten_settings
from limiter.configuration.settings_reader import SettingsReader, read_settings
from limiter.model.settings import Settings, SettingsError, validate_settings

# Maximum number of file descriptors of the limiter if the configuration has no `limits.sockets`.
DEFAULT_MAX_DESCRIPTORS = 1024
# Smallest accepted value of `limits.sockets`. It leaves descriptors for clients and servers besides the
# reserved ones.
MIN_DESCRIPTORS = 64
# `limits.sockets` must be below this number, since a file descriptor is a C int.
DESCRIPTOR_LIMIT = 2**31
# Memory of the limiter, in MiB, if the configuration has no `limits.memory_mb`.
DEFAULT_MEMORY_MB = 192
# `limits.memory_mb` must be below this number.
MEMORY_LIMIT_MB = 2**31
BYTES_PER_MB = 2**20
DEFAULT_DIAL_TIMEOUT_MS = 250.0
DEFAULT_KEEPALIVE_MS = 30_000.0
NOT_A_LIST_OF_OBJECTS = "must be a list of JSON objects"


def parse_config(document: Mapping[str, object]) -> Config:
    """Validate a configuration document: the JSON object of the file with the overrides of the environment.

    Raises:
        ConfigError: A key is missing or invalid. If there are several such keys, the error names the first
            one that is checked.
    """
    raw_settings = document.get("settings")
    if not isinstance(raw_settings, dict):
        raise ConfigError(key="settings", problem="missing or not a JSON object")
    _check_plan_list(raw_settings)
    reader = _create_settings_reader(raw_settings)
    settings = _parse_settings(reader)
    dial_timeout_ms = _parse_positive_number(reader, "limits.dialTimeout", DEFAULT_DIAL_TIMEOUT_MS)
    keepalive_ms = _parse_positive_number(reader, "limits.keepalive", DEFAULT_KEEPALIVE_MS)
    counter_address = _parse_counter_address(document, settings)
    gossip = _parse_gossip_config(document, settings)
    return Config(
        name=str(document.get("name", "limiter")),
        listen_address=_parse_address(document, "listen"),
        discovery_address=_parse_address(document, "discovery"),
        counter_address=counter_address,
        gossip=gossip,
        seed=_parse_seed(document.get("seed")),
        max_descriptors=_parse_max_descriptors(document.get("limits")),
        max_memory_bytes=_parse_max_memory_bytes(document.get("limits")),
        configured_endpoints=document.get("known"),
        settings=replace(settings, may_gossip=gossip is not None),
        class_names=_parse_unique_names(raw_settings, "classes"),
        plan_names=_parse_unique_names(raw_settings, "contracts"),
        zone_names=_parse_name_list(raw_settings, "localities"),
        machine_type_names=_parse_name_list(raw_settings, "models"),
        dial_timeout_ms=dial_timeout_ms,
        keepalive_ms=keepalive_ms,
    )


def _create_settings_reader(raw_settings: Mapping[str, object]) -> SettingsReader:
    try:
        return SettingsReader(flatten_settings(raw_settings))
    except (UnicodeError, RecursionError) as error:
        raise ConfigError(key="settings", problem=str(error)) from error


def _parse_settings(reader: SettingsReader) -> Settings:
    try:
        settings = read_settings(reader)
        validate_settings(settings)
    except SettingsError as error:
        raise _to_config_error(error) from error
    return settings


def _parse_positive_number(reader: SettingsReader, path: str, default: float) -> float:
    try:
        value = reader.read_number(path, default)
    except SettingsError as error:
        raise _to_config_error(error) from error
    if not (math.isfinite(value) and value > 0):
        raise ConfigError(
            key=f"settings.{path}", problem=f"{value!r} is not a finite number of milliseconds above 0"
        )
    return value


def _to_config_error(error: SettingsError) -> ConfigError:
    """Return a ConfigError whose key is the path of the setting in the configuration file."""
    return ConfigError(key=f"settings.{error.name}", problem=error.problem)


def _parse_address(document: Mapping[str, object], key: str) -> Address:
    try:
        return parse_address(document.get(key))
    except ValueError as error:
        raise ConfigError(key, str(error)) from error


def _parse_counter_address(document: Mapping[str, object], settings: Settings) -> Address | None:
    """Return the address of the counter; None if the settings do not enable the counter."""
    counter_address = _parse_address(document, "counter") if document.get("counter") else None
    if not settings.has_counter:
        return None
    if counter_address is None:
        raise ConfigError(
            key="counter", problem="missing; host:port is required because settings.extra.mayCount is true"
        )
    return counter_address


def _parse_gossip_config(document: Mapping[str, object], settings: Settings) -> GossipConfig | None:
    """Return the gossip addresses; None if the settings disable gossip or there is no `peer_listen`."""
    if not settings.may_gossip or not document.get("peer_listen"):
        return None
    peers = document.get("peers")
    if not isinstance(peers, list) or len(peers) != settings.limiter_count:
        problem = f"must be a list of {settings.limiter_count} addresses host:port, one for each limiter"
        raise ConfigError(key="peers", problem=problem)
    try:
        limiter_addresses = tuple(parse_address(text) for text in peers)
    except ValueError as error:
        raise ConfigError(key="peers", problem=str(error)) from error
    broadcast_address = _parse_address(document, "peers_all") if document.get("peers_all") else None
    return GossipConfig(_parse_address(document, "peer_listen"), limiter_addresses, broadcast_address)


def _parse_seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError as error:
        raise ConfigError(key="seed", problem=f"{value!r} is not a hexadecimal number") from error


def _parse_max_descriptors(limits: object) -> int:
    value = _read_limit(limits, "sockets", DEFAULT_MAX_DESCRIPTORS)
    if not _is_number(value) or not MIN_DESCRIPTORS <= value < DESCRIPTOR_LIMIT:
        problem = f"{value!r} is not a number below 2**31 and at least {MIN_DESCRIPTORS}"
        raise ConfigError(key="limits.sockets", problem=problem)
    return int(value)


def _parse_max_memory_bytes(limits: object) -> int:
    value = _read_limit(limits, "memory_mb", DEFAULT_MEMORY_MB)
    if not _is_number(value) or not 0 < value < MEMORY_LIMIT_MB:
        problem = f"{value!r} is not a number of MiB above 0 and below 2**31"
        raise ConfigError(key="limits.memory_mb", problem=problem)
    return int(value * BYTES_PER_MB)


def _read_limit(limits: object, key: str, default: float) -> object:
    return limits.get(key, default) if isinstance(limits, dict) else default


def _is_number(value: object) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _check_plan_list(raw_settings: Mapping[str, object]) -> None:
    """Reject an object with the key `count` in place of the list of plans.

    No field of a plan is required, so a plan would be read for every index below the count, however large the
    count is.
    """
    plans = raw_settings.get("contracts")
    if isinstance(plans, dict) and "count" in plans:
        raise ConfigError(key="settings.contracts", problem=NOT_A_LIST_OF_OBJECTS)


def _parse_unique_names(raw_settings: Mapping[str, object], key: str) -> tuple[str, ...]:
    """Return the names of the objects in a list, in the form that request headers contain.

    The names come from the document, since flattening the settings replaces some characters of a text.
    """
    items = raw_settings.get(key)
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise ConfigError(key=f"settings.{key}", problem=NOT_A_LIST_OF_OBJECTS)
    names = tuple(item.get("name") for item in items)
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name or names.index(name) != index:
            raise ConfigError(
                key=f"settings.{key}.{index}.name",
                problem=f"{name!r} is not a non-empty string that is unique in its list",
            )
    return names


def _parse_name_list(raw_settings: Mapping[str, object], key: str) -> tuple[str, ...]:
    name_list = raw_settings.get(key, [])
    if not isinstance(name_list, list) or not all(isinstance(entry, str) for entry in name_list):
        raise ConfigError(key=f"settings.{key}", problem="must be a list of names, which are strings")
    return tuple(name_list)
