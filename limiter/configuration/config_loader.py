"""Loads the configuration from environment variables and from the file at the path in RELAY_CONFIG."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from limiter.configuration.config import Config, ConfigError
from limiter.configuration.config_parser import parse_config


def load_config(environ: Mapping[str, str]) -> Config:
    """Load the configuration when the process starts.

    The environment variables RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY, unless unset or empty, override
    the keys `name`, `listen` and `discovery` of the file.

    Raises:
        ConfigError: The file cannot be read, or one of its keys is missing or invalid.
    """
    document = _read_document(environ)
    _apply_environment_overrides(document, environ, ("name", "listen", "discovery"))
    return parse_config(document)


def reload_config(environ: Mapping[str, str]) -> Config:
    """Load the configuration again while the process runs.

    Unlike at start, `discovery` in the file overrides RELAY_DISCOVERY: the environment of a running process
    cannot be changed, so the file is the only way to change the address of discovery.

    Raises:
        ConfigError: The file cannot be read, or one of its keys is missing or invalid.
    """
    document = _read_document(environ)
    _apply_environment_overrides(document, environ, ("name", "listen"))
    discovery = environ.get("RELAY_DISCOVERY")
    if discovery:
        document.setdefault("discovery", discovery)
    return parse_config(document)


def _apply_environment_overrides(
    document: dict[str, object], environ: Mapping[str, str], keys: Iterable[str]
) -> None:
    for key in keys:
        value = environ.get(f"RELAY_{key.upper()}")
        if value:
            document[key] = value


def _read_document(environ: Mapping[str, str]) -> dict[str, object]:
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError(
            key="RELAY_CONFIG", problem="not set; it must be the path of the configuration file"
        )
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(key="RELAY_CONFIG", problem=str(error)) from error
    if not isinstance(document, dict):
        raise ConfigError(key="RELAY_CONFIG", problem="the configuration file must contain a JSON object")
    return document
