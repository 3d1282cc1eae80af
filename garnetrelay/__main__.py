"""Command line entry point of the relay: ``python -m garnetrelay``.

Loads the configuration, installs the signal handlers and runs one relay. SIGTERM and SIGINT start a graceful
shutdown, SIGHUP reads the address of discovery again.
"""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import signal
import sys

from garnetrelay.config import Config, ConfigError, load, load_discovery
from garnetrelay.management import AdminServer, build_routes
from garnetrelay.relay import Relay

log = logging.getLogger("garnetrelay")

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def serve(config: Config) -> None:
    """Run the relay and the management interface until a signal has shut the relay down."""
    relay = Relay(config)
    loop = asyncio.get_running_loop()
    admin = AdminServer(
        build_routes(
            relay.health,
            relay.metrics,
            drain=lambda: loop.call_soon_threadsafe(relay.drain),
            undrain=lambda: loop.call_soon_threadsafe(relay.resume),
        ),
        config.sockets,
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, relay.shutdown)
    loop.add_signal_handler(signal.SIGHUP, reload, relay)
    try:
        if config.management_address is not None:
            log.info("operators' door on %s port %d", *admin.start(config.management_address))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        await relay.start()
        await relay.finished.wait()
        await relay.finish_connections()
    finally:
        admin.close()
        relay.close()


def reload(relay: Relay) -> None:
    """Apply a changed address of discovery. A configuration that cannot be read changes nothing."""
    try:
        relay.change_discovery_address(load_discovery(os.environ))
    except ConfigError as error:
        log.error("reload failed, the configuration stays as it was: %s", error)


def main() -> int:
    """Run the relay and return the exit status.

    The status is 2 if the configuration is invalid, 1 if the relay cannot start, and 0 otherwise.
    """
    # Signals stay pending until serve() has installed their handlers.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    level = os.environ.get("RELAY_LOG_LEVEL", "INFO").upper()
    logging.basicConfig(
        level=level if level in logging.getLevelNamesMapping() else "INFO",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    try:
        config = load(os.environ)
        # A backstop: what peers send is bounded where it is read, so no allocation should come near this.
        address_space_bytes = config.memory_bytes + (512 << 20)
        resource.setrlimit(
            resource.RLIMIT_AS, (address_space_bytes, resource.getrlimit(resource.RLIMIT_AS)[1])
        )
        asyncio.run(serve(config))
    except ConfigError as error:
        print(f"garnetrelay: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"garnetrelay: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    # Skip the interpreter's cleanup: the kernel closes what is still open, and the exit must not wait for it.
    status = main()
    logging.shutdown()
    os._exit(status)
