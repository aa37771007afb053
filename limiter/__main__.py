"""The limiter program: loads the configuration and serves clients until SIGTERM or SIGINT."""

from __future__ import annotations

import logging
import os
import signal
import sys
from dataclasses import replace

import uvloop

from limiter.configuration.config import Config, ConfigError
from limiter.configuration.config_loader import load_config
from limiter.process.startup import raise_descriptor_limit, run_limiter


def main() -> int:
    """Run the program; return its exit code."""
    # By default, SIGHUP ends the process. It is ignored until the handler that reloads the configuration is
    # installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config = load_config(os.environ)
        max_descriptors = raise_descriptor_limit(config.max_descriptors)
        uvloop.run(_run(replace(config, max_descriptors=max_descriptors)))
    except ConfigError as error:
        print(f"limiter: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"limiter: listen: {error}", file=sys.stderr)
        return 1
    return 0


async def _run(config: Config) -> None:
    await run_limiter(config)
    # The event loop removes its handlers when it closes. From then on, SIGHUP would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


if __name__ == "__main__":
    sys.exit(main())
