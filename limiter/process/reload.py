"""Reload of the configuration on SIGHUP: discovery and the counter may have new addresses."""

from __future__ import annotations

import logging
import os

from limiter.configuration.addresses import Address
from limiter.configuration.config import ConfigError
from limiter.configuration.config_loader import reload_config
from limiter.transport.driver.proxy import Proxy

log = logging.getLogger("limiter")


def reload_configuration(proxy: Proxy) -> None:
    """Read the configuration file again and go to the discovery and the counter that it names now.

    A file that is half written or has an error is logged, and the present configuration is kept: it must not
    stop the service.
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
