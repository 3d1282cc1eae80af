"""The list of endpoints as this relay holds it: all of them, packed, by destination.

A fleet's list names some hundred thousand endpoints, of which a relay calls a few at a time. Here each takes
some tens of bytes beside its name; the objects that calls need are made when a destination is used. What
comes from discovery is staged first, and taken over only once it has been read whole.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from garnetrelay.config import Address
from starlingwick import interface as io

# Zone, kind, availability, rate in calls a second, start in Unix milliseconds, port, length of name, of host.
HEAD = struct.Struct("<HHBdqHHH")
AVAILABILITIES = (io.Availability.RUNNING, io.Availability.STOPPING, io.Availability.DELETED)
NUMBERS = {availability: number for number, availability in enumerate(AVAILABILITIES)}
LARGE_LIST_ENTRIES = 20_000  # entries; reading fewer takes little
DRAINING = NUMBERS[io.Availability.STOPPING]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of the list."""

    name: str
    destination: int
    zone: int
    kind: int
    availability: io.Availability
    rate: float  # calls a second, as listed
    started: int  # Unix milliseconds; 0: long ago
    address: Address

    def entry(self, availability: io.Availability | None = None) -> io.EndpointEntry:
        """In the Pacer's terms."""
        return io.EndpointEntry(
            self.name, self.zone, self.kind, self.destination, availability or self.availability, self.rate
        )


class Staged:
    """What a whole list or a set of changes names, read so far. What the catalog holds just so is shared."""

    def __init__(self, held: Mapping[int, bytes]) -> None:
        self._held = held
        self.packed: dict[int, bytes] = {}
        self.destination_of: dict[str, int] = {}
        self.removed_count = 0
        self.draining = 0
        self.size = 0  # bytes of what is not shared, roughly

    def add(self, endpoint: Endpoint) -> None:
        """ValueError where a number or a name does not fit its place."""
        name, dest = endpoint.name, endpoint.destination
        if name in self.destination_of:  # named twice: the last one counts
            before = self.packed[self.destination_of[name]]
            self.packed[self.destination_of[name]] = _without(before, name)
            self.draining += draining(self.packed[self.destination_of[name]]) - draining(before)
        packed = self.packed.get(dest, b"") + _pack(endpoint)
        if packed == self._held.get(dest):
            packed = self._held[dest]
        else:
            self.size += len(packed)
        self.packed[dest] = packed
        self.destination_of[name] = dest
        self.removed_count += endpoint.availability is io.Availability.DELETED
        self.draining += endpoint.availability is io.Availability.STOPPING

    def __iter__(self) -> Iterator[Endpoint]:
        for dest, packed in self.packed.items():
            yield from unpack(dest, packed)


class Catalog:
    """All endpoints that the list names, by destination. ``version`` is the list's."""

    def __init__(self) -> None:
        self.version = 0
        self.draining = 0  # endpoints that drain
        self.packed: dict[int, bytes] = {}
        self._dest_of: dict[str, int] = {}
        self._past: set[int] = set()  # destinations that the list named once: they are not unknown

    def __len__(self) -> int:
        return len(self._dest_of)

    def __iter__(self) -> Iterator[str]:
        """The endpoints' names."""
        return iter(self._dest_of)

    def knows(self, dest: int) -> bool:
        """Whether the list names that destination, or ever did."""
        return dest in self.packed or dest in self._past

    def find(self, dest: int) -> list[Endpoint]:
        """A destination's endpoints, in the list's order; none where it has none."""
        return list(unpack(dest, self.packed.get(dest, b"")))

    def destination(self, name: str) -> int | None:
        """Which destination an endpoint belongs to."""
        return self._dest_of.get(name)

    def stage(self) -> Staged:
        return Staged(self.packed)

    def commit(self, staged: Staged, version: int, whole: bool) -> set[int]:
        """Take over what was staged, all of it at once. The destinations that it may have changed: those that
        a whole list does not share with the one before, those that changes name or leave."""
        self.version = version
        if not whole:
            return self._change(staged)
        if staged.removed_count:
            changes, staged = staged, self.stage()
            for endpoint in changes:
                if endpoint.availability is not io.Availability.DELETED:
                    staged.add(endpoint)
        before, self.packed, self._dest_of = self.packed, staged.packed, staged.destination_of
        self.draining = staged.draining
        self._past.update(before.keys() - self.packed.keys())
        touched = {dest for dest, packed in self.packed.items() if packed is not before.get(dest)}
        return touched | (before.keys() - self.packed.keys())

    def restore(self, packed: Mapping[int, bytes], version: int) -> None:
        """What an earlier life held. ValueError where it can't be read: then nothing of it is taken over."""
        dest_of = {}
        for dest, record in packed.items():
            for name in _names(record):
                dest_of[name] = dest
        self.packed, self._dest_of, self.version = dict(packed), dest_of, version
        self.draining = sum(draining(record) for record in packed.values())

    def _change(self, staged: Staged) -> set[int]:
        touched = set()
        for endpoint in staged:
            name, dest = endpoint.name, endpoint.destination
            touched.add(dest)
            before = self._dest_of.get(name)
            if before is not None and (before != dest or endpoint.availability is io.Availability.DELETED):
                touched.add(before)
                self._put(before, _without(self.packed[before], name))
                del self._dest_of[name]
            if endpoint.availability is not io.Availability.DELETED:
                self._put(dest, _with(self.packed.get(dest, b""), endpoint))
                self._dest_of[name] = dest
        return touched

    def _put(self, dest: int, packed: bytes) -> None:
        self.draining += draining(packed) - draining(self.packed.get(dest, b""))
        if packed:
            self.packed[dest] = packed
        elif self.packed.pop(dest, None) is not None:
            self._past.add(dest)


def release_free_memory() -> None:
    """What reading a long list has taken and freed goes back to the machine: the C library may keep it, some
    tens of megabytes, and it counts as ours."""
    import ctypes  # here, as most relays never need it

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)  # the GNU C library's
    if trim is not None:
        trim(0)


def draining(packed: bytes) -> int:
    """How many of a destination's endpoints drain."""
    return sum(HEAD.unpack_from(packed, at)[2] == DRAINING for at, _ in _spans(packed))


def unpack(dest: int, packed: bytes) -> Iterator[Endpoint]:
    for at, end in _spans(packed):
        zone, kind, availability, rate, started, port, name, _ = HEAD.unpack_from(packed, at)
        host = at + HEAD.size + name
        yield Endpoint(
            packed[at + HEAD.size : host].decode(),
            dest,
            zone,
            kind,
            AVAILABILITIES[availability],
            rate,
            started,
            Address(packed[host:end].decode(), port),
        )


def _pack(endpoint: Endpoint) -> bytes:
    name, host = endpoint.name.encode(), endpoint.address.host.encode()
    try:
        head = HEAD.pack(
            endpoint.zone,
            endpoint.kind,
            NUMBERS[endpoint.availability],
            endpoint.rate,
            endpoint.started,
            endpoint.address.port,
            len(name),
            len(host),
        )
    except struct.error as error:
        raise ValueError(f"endpoint {endpoint.name[:40]}: {error}") from None
    return head + name + host


def _spans(packed: bytes) -> Iterator[tuple[int, int]]:
    """Where each endpoint's record begins and ends. ValueError where they do not fill what there is."""
    at = 0
    while at < len(packed):
        if at + HEAD.size > len(packed):
            raise ValueError("a record of the list is cut")
        *_, name, host = HEAD.unpack_from(packed, at)
        end = at + HEAD.size + name + host
        if end > len(packed):
            raise ValueError("a record of the list is cut")
        yield at, end
        at = end


def _names(packed: bytes) -> Iterator[str]:
    for at, _ in _spans(packed):
        length = HEAD.unpack_from(packed, at)[6]
        yield packed[at + HEAD.size : at + HEAD.size + length].decode()


def _with(packed: bytes, endpoint: Endpoint) -> bytes:
    """In the place of the one of that name, or behind all others."""
    new, found, out = _pack(endpoint), False, b""
    for (at, end), name in zip(_spans(packed), _names(packed), strict=True):
        same = name == endpoint.name
        out += new if same else packed[at:end]
        found = found or same
    return out if found else out + new


def _without(packed: bytes, name: str) -> bytes:
    return b"".join(
        packed[at:end] for (at, end), one in zip(_spans(packed), _names(packed), strict=True) if one != name
    )
