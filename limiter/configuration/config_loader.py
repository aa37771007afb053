"""Loads the configuration from the file that RELAY_CONFIG names and from environment variables."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from limiter.configuration.config import Config, ConfigError
from limiter.configuration.config_parser import parse_config


def load_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration at start; environment variables, where set, override keys of the file.

    Raises:
        ConfigError: the file cannot be read, or a key of it cannot be used.
    """
    document = _read_document(environ)
    _override(document, environ, ("name", "listen", "discovery"))
    return parse_config(document)


def reload_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration again while the process runs.

    Here `discovery` of the file overrides that of the environment, other than at start: the environment of a
    running process can't be changed, so the file is the only way to move the limiter to another discovery.

    Raises:
        ConfigError: the file cannot be read, or a key of it cannot be used.
    """
    document = _read_document(environ)
    _override(document, environ, ("name", "listen"))
    discovery = environ.get("RELAY_DISCOVERY")
    if discovery:
        document.setdefault("discovery", discovery)
    return parse_config(document)


def _override(document: dict[str, object], environ: Mapping[str, str], keys: Iterable[str]) -> None:
    for key in keys:
        value = environ.get(f"RELAY_{key.upper()}")
        if value:
            document[key] = value


def _read_document(environ: Mapping[str, str]) -> dict[str, object]:
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
