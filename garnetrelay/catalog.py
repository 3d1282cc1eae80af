"""The endpoint list as this relay holds it: all endpoints, packed, by destination.

A fleet's list names some hundred thousand endpoints, of which a relay calls a few at a time. Packed, an
endpoint takes some tens of bytes beside its name; the objects that calls need are created when a destination
is used. Updates from discovery are staged, and committed only once they have been read completely.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from garnetrelay.config import Address
from starlingwick import interface as io

# Zone, kind, availability, rate in calls a second, start in Unix milliseconds, port, length of name, of host.
ENTRY_HEADER = struct.Struct("<HHBdqHHH")
AVAILABILITIES = (io.Availability.RUNNING, io.Availability.STOPPING, io.Availability.DELETED)
AVAILABILITY_CODES = {availability: code for code, availability in enumerate(AVAILABILITIES)}
LARGE_LIST_ENTRIES = 20_000  # entries; reading a shorter list allocates little memory
STOPPING_CODE = AVAILABILITY_CODES[io.Availability.STOPPING]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list, with its address."""

    name: str
    destination: int
    zone: int
    kind: int
    availability: io.Availability
    rate: float  # calls a second, as listed
    started: int  # Unix milliseconds; 0: long ago
    address: Address

    def entry(self, availability: io.Availability | None = None) -> io.EndpointEntry:
        """Return the entry that the Pacer receives."""
        return io.EndpointEntry(
            self.name, self.zone, self.kind, self.destination, availability or self.availability, self.rate
        )


class Staged:
    """The entries of a snapshot or a delta that have been read so far. Packed destinations that equal the
    current ones of the catalog share their memory."""

    def __init__(self, current: Mapping[int, bytes]) -> None:
        self._current = current
        self.packed: dict[int, bytes] = {}
        self.destination_of: dict[str, int] = {}
        self.removed_count = 0
        self.draining = 0
        self.size = 0  # bytes that are not shared, approximately

    def add(self, endpoint: Endpoint) -> None:
        """Add one entry. Raises ValueError if a number or a name does not fit its field."""
        name, destination = endpoint.name, endpoint.destination
        if name in self.destination_of:  # listed twice: the last entry counts
            previous = self.packed[self.destination_of[name]]
            self.packed[self.destination_of[name]] = _remove(previous, name)
            self.draining += draining(self.packed[self.destination_of[name]]) - draining(previous)
        packed = self.packed.get(destination, b"") + _pack(endpoint)
        if packed == self._current.get(destination):
            packed = self._current[destination]
        else:
            self.size += len(packed)
        self.packed[destination] = packed
        self.destination_of[name] = destination
        self.removed_count += endpoint.availability is io.Availability.DELETED
        self.draining += endpoint.availability is io.Availability.STOPPING

    def __iter__(self) -> Iterator[Endpoint]:
        for destination, packed in self.packed.items():
            yield from unpack(destination, packed)


class Catalog:
    """All listed endpoints by destination. ``version`` is the version of the endpoint list."""

    def __init__(self) -> None:
        self.version = 0
        self.draining = 0  # endpoints that drain
        self.packed: dict[int, bytes] = {}
        self._destination_by_endpoint: dict[str, int] = {}
        # destinations that were listed once: messages to them are not for an unknown destination
        self._former_destinations: set[int] = set()

    def __len__(self) -> int:
        return len(self._destination_by_endpoint)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names of the endpoints."""
        return iter(self._destination_by_endpoint)

    def knows(self, destination: int) -> bool:
        """Whether the destination is listed or ever was."""
        return destination in self.packed or destination in self._former_destinations

    def find(self, destination: int) -> list[Endpoint]:
        """Return the endpoints of a destination in the order of the list; empty if it has none."""
        return list(unpack(destination, self.packed.get(destination, b"")))

    def destination(self, name: str) -> int | None:
        """Return the destination that an endpoint belongs to, or None if the endpoint is not listed."""
        return self._destination_by_endpoint.get(name)

    def stage(self) -> Staged:
        """Return an empty staged update, to be filled and then committed."""
        return Staged(self.packed)

    def commit(self, staged: Staged, version: int, whole: bool) -> set[int]:
        """Apply a staged update as a whole: a snapshot if ``whole``, else a delta. Returns the destinations
        that may have changed: those whose packed form a snapshot does not share with the previous list, or
        those that a delta lists or removes."""
        self.version = version
        if not whole:
            return self._apply_delta(staged)
        if staged.removed_count:
            unfiltered, staged = staged, self.stage()
            for endpoint in unfiltered:
                if endpoint.availability is not io.Availability.DELETED:
                    staged.add(endpoint)
        previous, self.packed, self._destination_by_endpoint = (
            self.packed,
            staged.packed,
            staged.destination_of,
        )
        self.draining = staged.draining
        self._former_destinations.update(previous.keys() - self.packed.keys())
        changed = {
            destination
            for destination, packed in self.packed.items()
            if packed is not previous.get(destination)
        }
        return changed | (previous.keys() - self.packed.keys())

    def restore(self, packed: Mapping[int, bytes], version: int) -> None:
        """Restore the list that a previous process stored. Raises ValueError if it cannot be read; the
        catalog is unchanged then."""
        destination_by_endpoint = {}
        for destination, records in packed.items():
            for name in _endpoint_names(records):
                destination_by_endpoint[name] = destination
        self.packed, self._destination_by_endpoint, self.version = (
            dict(packed),
            destination_by_endpoint,
            version,
        )
        self.draining = sum(draining(records) for records in packed.values())

    def _apply_delta(self, staged: Staged) -> set[int]:
        changed = set()
        for endpoint in staged:
            name, destination = endpoint.name, endpoint.destination
            changed.add(destination)
            previous = self._destination_by_endpoint.get(name)
            if previous is not None and (
                previous != destination or endpoint.availability is io.Availability.DELETED
            ):
                changed.add(previous)
                self._set_packed(previous, _remove(self.packed[previous], name))
                del self._destination_by_endpoint[name]
            if endpoint.availability is not io.Availability.DELETED:
                self._set_packed(destination, _replace_or_append(self.packed.get(destination, b""), endpoint))
                self._destination_by_endpoint[name] = destination
        return changed

    def _set_packed(self, destination: int, packed: bytes) -> None:
        self.draining += draining(packed) - draining(self.packed.get(destination, b""))
        if packed:
            self.packed[destination] = packed
        elif self.packed.pop(destination, None) is not None:
            self._former_destinations.add(destination)


def release_free_memory() -> None:
    """Return memory that was freed after reading a long list to the system. The C library may retain some
    tens of megabytes of it, which count as memory of this process."""
    import ctypes  # imported here, as most relays never need it

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)  # exists in the GNU C library
    if trim is not None:
        trim(0)


def draining(packed: bytes) -> int:
    """Return the number of a destination's endpoints that drain."""
    return sum(
        ENTRY_HEADER.unpack_from(packed, start)[2] == STOPPING_CODE for start, _ in _record_spans(packed)
    )


def unpack(destination: int, packed: bytes) -> Iterator[Endpoint]:
    """Iterate over the endpoints of a destination. Raises ValueError if a record is truncated."""
    for start, end in _record_spans(packed):
        zone, kind, availability, rate, started, port, name_length, _ = ENTRY_HEADER.unpack_from(
            packed, start
        )
        host_start = start + ENTRY_HEADER.size + name_length
        yield Endpoint(
            packed[start + ENTRY_HEADER.size : host_start].decode(),
            destination,
            zone,
            kind,
            AVAILABILITIES[availability],
            rate,
            started,
            Address(packed[host_start:end].decode(), port),
        )


def _pack(endpoint: Endpoint) -> bytes:
    name, host = endpoint.name.encode(), endpoint.address.host.encode()
    try:
        header = ENTRY_HEADER.pack(
            endpoint.zone,
            endpoint.kind,
            AVAILABILITY_CODES[endpoint.availability],
            endpoint.rate,
            endpoint.started,
            endpoint.address.port,
            len(name),
            len(host),
        )
    except struct.error as error:
        raise ValueError(f"endpoint {endpoint.name[:40]}: {error}") from None
    return header + name + host


def _record_spans(packed: bytes) -> Iterator[tuple[int, int]]:
    """Yield the start and end of each endpoint's record. Raises ValueError if a record is truncated."""
    start = 0
    while start < len(packed):
        if start + ENTRY_HEADER.size > len(packed):
            raise ValueError("a record of the endpoint list is truncated")
        *_, name_length, host_length = ENTRY_HEADER.unpack_from(packed, start)
        end = start + ENTRY_HEADER.size + name_length + host_length
        if end > len(packed):
            raise ValueError("a record of the endpoint list is truncated")
        yield start, end
        start = end


def _endpoint_names(packed: bytes) -> Iterator[str]:
    for start, _ in _record_spans(packed):
        length = ENTRY_HEADER.unpack_from(packed, start)[6]
        yield packed[start + ENTRY_HEADER.size : start + ENTRY_HEADER.size + length].decode()


def _replace_or_append(packed: bytes, endpoint: Endpoint) -> bytes:
    """Replace the record with the endpoint's name in its place, or append a new one."""
    record, found, result = _pack(endpoint), False, b""
    for (start, end), name in zip(_record_spans(packed), _endpoint_names(packed), strict=True):
        matches = name == endpoint.name
        result += record if matches else packed[start:end]
        found = found or matches
    return result if found else result + record


def _remove(packed: bytes, name: str) -> bytes:
    return b"".join(
        packed[start:end]
        for (start, end), endpoint_name in zip(_record_spans(packed), _endpoint_names(packed), strict=True)
        if endpoint_name != name
    )
