"""Loading of a relay's configuration: the JSON file that RELAY_CONFIG names, and environment variables.

The whole configuration is checked before the relay starts. An error is reported as a ConfigError with a
message of one line.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from starlingwick import interface as io
from starlingwick.settings import parse_settings


T = TypeVar("T")

# If the file sets neither ``list.keep`` nor ``list.disk_mb``, the stored list gets 1/32 of the disk limit, or
# what a list as long as the known one needs if that is more, up to a quarter.
LIST_DISK_DIVISOR = 32
LIST_MAX_DISK_DIVISOR = 4
STORED_ENTRY_BYTES = 96  # of one endpoint in one of the two files of the stored list, with room for changes


class ConfigError(ValueError):
    """The configuration is missing, unreadable or invalid."""


@dataclass(frozen=True, slots=True)
class Address:
    """A network address, written ``host:port``, or ``[host]:port`` for IPv6."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: Any) -> Address:
        """Parse ``host:port``. Raises ValueError if the text has another form or the port is above 65535."""
        host, colon, port = str(text).rpartition(":")
        if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
            raise ValueError(f"'{text}' is not host:port")
        return cls(host.removeprefix("[").removesuffix("]"), int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a relay process, fixed at its start."""

    name: str
    listen: Address
    discovery: Address
    management_address: Address | None  # of the management interface; None: it is off
    state: Path  # directory for data that outlives the process
    seed: int
    inherited_fd: int | None  # listening socket for clients, opened by the platform
    sockets: int  # limit shared by the connections of clients, endpoints and operators
    disk_bytes: int  # for all files in ``state`` except the stored endpoint list
    memory_bytes: int  # memory limit of the process
    class_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    load_reports: bool  # whether probes ask the endpoints for load reports
    path: str  # of the configuration file, which may contain the endpoint list under ``known``
    list_bytes: int  # disk space for the stored endpoint list; 0: the list is not stored
    settings: io.Settings


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration that the environment names.

    Values in the environment override those in the file. Raises ConfigError if a value is missing or invalid.
    """
    if "RELAY_STATE" not in environment:
        raise ConfigError("RELAY_STATE is not set")
    return _read_file(
        environment, lambda raw: _build_config(raw, environment, Path(environment["RELAY_STATE"]))
    )


def load_known(config: Config, handle_entry: Callable[[dict[str, Any]], None]) -> Any:
    """Read the endpoint list under ``known`` in the configuration file.

    Passes each entry to ``handle_entry`` and returns the rest of the list, with None in place of each entry.
    The entries are not kept, as those of a large fleet would take hundreds of megabytes. Returns None if the
    file has no list. Raises ValueError (not ConfigError) if the file can no longer be read.
    """
    try:
        return _parse_file(config.path, handle_entry).get("known")
    except OSError as error:
        raise ValueError(f"{config.path}: {error.strerror}") from None


def load_discovery(environment: Mapping[str, str]) -> Address:
    """Read the address of discovery again from the configuration file.

    Ignores RELAY_DISCOVERY: the file can be replaced while the relay runs, its environment cannot. Raises
    ConfigError if the address cannot be read.
    """
    return _read_file(environment, lambda raw: Address.parse(raw["discovery"]))


def _read_file(environment: Mapping[str, str], convert: Callable[[dict[str, Any]], T]) -> T:
    """Decode the configuration file and return the result of ``convert``.

    Every error, of the file or of its values, is raised as ConfigError with the file's path.
    """
    if "RELAY_CONFIG" not in environment:
        raise ConfigError("RELAY_CONFIG is not set")
    path = environment["RELAY_CONFIG"]
    try:
        raw = _parse_file(path, lambda entry: None)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: the top level of the file is a {type(raw).__name__}, not an object")
    try:
        return convert(raw)
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _parse_file(path: str, handle_entry: Callable[[dict[str, Any]], None]) -> Any:
    """Decode the file. Entries of the endpoint list go to ``handle_entry`` and are None in the result."""

    def convert_object(value: dict[str, Any]) -> Any:
        return handle_entry(value) if _is_list_entry(value) else value

    return json.loads(Path(path).read_text("utf-8"), object_hook=convert_object)


def _is_list_entry(value: dict[str, Any]) -> bool:
    """Return whether a JSON object is an entry of the endpoint list. No other object has both keys."""
    return "address" in value and "group" in value


def _default_list_bytes(disk_bytes: int, known: Any) -> int:
    """Return the disk space for the stored list if the file does not set it. ``known`` is the list in the
    file, whose entries may have been replaced."""
    entries = known.get("endpoints") if isinstance(known, dict) else None
    needed = 2 * STORED_ENTRY_BYTES * (len(entries) if isinstance(entries, list) else 0)
    return max(disk_bytes // LIST_DISK_DIVISOR, min(needed, disk_bytes // LIST_MAX_DISK_DIVISOR))


def _build_config(raw: dict[str, Any], environment: Mapping[str, str], state: Path) -> Config:
    limits, raw_settings = raw.get("limits", {}), raw["settings"]
    settings = parse_settings(raw_settings)
    # The HTTP protocol carries one message in a call, even if the settings allow larger batches.
    kinds = tuple(dataclasses.replace(kind, max_batch_size=1) for kind in settings.kinds)
    management = environment.get("RELAY_MGMT") or raw.get("mgmt")
    inherited_descriptor = environment.get("RELAY_INHERITED_FD")
    disk_bytes = int(float(limits.get("disk_mb", 64)) * 1_000_000)
    list_options = raw.get("list", {})
    list_bytes = 0
    if list_options.get("keep", True):
        if "disk_mb" in list_options:
            list_bytes = int(float(list_options["disk_mb"]) * 1_000_000)
        elif "keep" in list_options:
            list_bytes = disk_bytes // 2
        else:
            list_bytes = _default_list_bytes(disk_bytes, raw.get("known"))
        if not 0 < list_bytes < disk_bytes:
            raise ValueError(
                f"list.disk_mb: the list's share is {list_bytes} bytes; it must be above 0 and below"
                f" {disk_bytes} bytes (limits.disk_mb)"
            )
    return Config(
        name=str(environment.get("RELAY_NAME") or raw["name"]),
        listen=Address.parse(environment.get("RELAY_LISTEN") or raw["listen"]),
        discovery=Address.parse(environment.get("RELAY_DISCOVERY") or raw["discovery"]),
        management_address=Address.parse(management) if management else None,
        state=state,
        # The seed may be any text. A cryptographic hash maps it to the same number in every process, which
        # the built-in hash() does not.
        seed=int.from_bytes(hashlib.sha256(str(raw.get("seed", "")).encode()).digest()[:8]),
        inherited_fd=int(inherited_descriptor) if inherited_descriptor else None,
        sockets=int(limits.get("sockets", 1024)),
        disk_bytes=disk_bytes - list_bytes,
        memory_bytes=int(float(limits.get("memory_mb", 192)) * 1_000_000),
        class_names=tuple(str(message_class["name"]) for message_class in raw_settings["classes"]),
        zone_names=tuple(str(zone) for zone in raw_settings.get("azs", ())),
        kind_names=tuple(str(kind) for kind in raw_settings.get("kinds", ())),
        load_reports=raw_settings.get("loadReport", {}).get("via", "off") != "off",
        path=environment["RELAY_CONFIG"],
        list_bytes=list_bytes,
        settings=dataclasses.replace(settings, kinds=kinds),
    )
