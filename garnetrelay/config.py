"""RELAY_CONFIG as typed settings. Whatever is wrong with it is said in one line, before anything starts."""

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

LIST_SHARE = 32  # of the disk, so much of it is for the list where the configuration does not say


class ConfigError(ValueError):
    """A configuration that the relay cannot start with."""


@dataclass(frozen=True, slots=True)
class Address:
    """Where something listens."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: Any) -> Address:
        host, colon, port = str(text).rpartition(":")
        if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
            raise ValueError(f"'{text}' is not host:port")
        return cls(host.removeprefix("[").removesuffix("]"), int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """All that a relay is told at its start."""

    name: str
    listen: Address
    discovery: Address
    management_address: Address | None  # the operators' door, where there is one
    state: Path
    seed: int
    inherited_fd: int | None  # the platform's listening socket for clients
    sockets: int
    disk_bytes: int
    memory_bytes: int
    class_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    load_reports: bool
    path: str  # of the file: the known list is read from there
    list_bytes: int  # of the disk, for a list kept there; 0: none is
    settings: io.Settings


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that the environment points to; ConfigError with one plain line if it is unusable."""
    if "RELAY_STATE" not in environment:
        raise ConfigError("RELAY_STATE is not set")
    return _read(environment, lambda raw: _config(raw, environment, Path(environment["RELAY_STATE"])))


def load_known(config: Config, take: Callable[[dict[str, Any]], None]) -> Any:
    """The list that the file has, its entries handed over one by one and left out: as objects, all of a
    fleet's take some hundreds of megabytes. None without a list; ValueError where it can't be read any
    more."""
    try:
        return _parsed(config.path, take).get("known")
    except OSError as error:
        raise ValueError(f"{config.path}: {error.strerror}") from None


def load_discovery(environment: Mapping[str, str]) -> Address:
    """Where discovery is by now: the file alone says, as it may be replaced while the environment stays."""
    return _read(environment, lambda raw: Address.parse(raw["discovery"]))


def _read(environment: Mapping[str, str], take: Callable[[dict[str, Any]], T]) -> T:
    if "RELAY_CONFIG" not in environment:
        raise ConfigError("RELAY_CONFIG is not set")
    path = environment["RELAY_CONFIG"]
    try:
        raw = _parsed(path, lambda entry: None)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return take(raw)
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _parsed(path: str, take: Callable[[dict[str, Any]], None]) -> Any:
    """The file's content. What becomes of the entries of the known list, ``take`` says; here None is left."""

    def seen(value: dict[str, Any]) -> Any:
        return take(value) if _is_entry(value) else value

    return json.loads(Path(path).read_text("utf-8"), object_hook=seen)


def _is_entry(value: dict[str, Any]) -> bool:
    return "address" in value and "group" in value


def _config(raw: dict[str, Any], environment: Mapping[str, str], state: Path) -> Config:
    limits, facts = raw.get("limits", {}), raw["settings"]
    settings = parse_settings(facts)
    # The protocol carries one message in a call, whatever the simulator's kinds allow.
    kinds = tuple(dataclasses.replace(kind, max_batch_size=1) for kind in settings.kinds)
    mgmt = environment.get("RELAY_MGMT") or raw.get("mgmt")
    inherited = environment.get("RELAY_INHERITED_FD")
    disk_bytes = int(float(limits.get("disk_mb", 64)) * 1_000_000)
    kept = raw.get("list", {})
    list_bytes = 0
    if kept.get("keep", True):
        share = disk_bytes // (2 if "keep" in kept else LIST_SHARE)
        list_bytes = int(float(kept["disk_mb"]) * 1_000_000) if "disk_mb" in kept else share
        if not 0 < list_bytes < disk_bytes:
            raise ValueError(f"list.disk_mb: {list_bytes} bytes, of {disk_bytes} by limits.disk_mb")
    return Config(
        name=str(environment.get("RELAY_NAME") or raw["name"]),
        listen=Address.parse(environment.get("RELAY_LISTEN") or raw["listen"]),
        discovery=Address.parse(environment.get("RELAY_DISCOVERY") or raw["discovery"]),
        management_address=Address.parse(mgmt) if mgmt else None,
        state=state,
        # Any text will do for a seed; a hash keeps it the same from run to run.
        seed=int.from_bytes(hashlib.sha256(str(raw.get("seed", "")).encode()).digest()[:8]),
        inherited_fd=int(inherited) if inherited else None,
        sockets=int(limits.get("sockets", 1024)),
        disk_bytes=disk_bytes - list_bytes,
        memory_bytes=int(float(limits.get("memory_mb", 192)) * 1_000_000),
        class_names=tuple(str(c["name"]) for c in facts["classes"]),
        zone_names=tuple(str(zone) for zone in facts.get("azs", ())),
        kind_names=tuple(str(kind) for kind in facts.get("kinds", ())),
        load_reports=facts.get("loadReport", {}).get("via", "off") != "off",
        path=environment["RELAY_CONFIG"],
        list_bytes=list_bytes,
        settings=dataclasses.replace(settings, kinds=kinds),
    )
