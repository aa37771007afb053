"""Reloads the configuration on SIGHUP, to apply new addresses of discovery and the counter."""

from __future__ import annotations

import logging
import os

from limiter.configuration.addresses import Address
from limiter.configuration.config import ConfigError
from limiter.configuration.config_loader import reload_config
from limiter.transport.driver.proxy import Proxy

log = logging.getLogger("limiter")


def reload_configuration(proxy: Proxy) -> None:
    """Reload the configuration file and switch to the addresses of discovery and the counter in it.

    If the file is incomplete or invalid, the error is logged and the current configuration is kept, since an
    error in the file must not stop the service.
    """
    try:
        config = reload_config(os.environ)
    except ConfigError as error:
        _log_rejected(error)
        return
    proxy.discovery.change_address(config.discovery_address)
    if proxy.counter is not None and config.counter_address is not None:
        proxy.counter.change_address(config.counter_address)
    log.info(
        "configuration_reloaded discovery=%s counter=%s",
        _format_address(config.discovery_address),
        _format_address(config.counter_address),
    )


def _log_rejected(error: ConfigError) -> None:
    log.error("configuration_rejected key=%s problem=%s", error.key, error.problem)


def _format_address(address: Address | None) -> str:
    """Format an address as `host:port`, or `none`, for the log."""
    return "none" if address is None else "{}:{}".format(*address)
