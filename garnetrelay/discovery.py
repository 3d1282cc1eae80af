"""The endpoint list from discovery: one watch at a time, opened when the Pacer requests it.

A line may hold the snapshot of a whole fleet, some tens of megabytes. An object too long to be buffered is
parsed incrementally, entry by entry, and each entry is staged at once in the packed form of the catalog.
"""

from __future__ import annotations

import asyncio
import codecs
import json
import logging
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import h11

from garnetrelay.catalog import Endpoint, Staged
from garnetrelay.config import Address, Config, load_known
from starlingwick import interface as io

log = logging.getLogger(__name__)

# seconds from connecting to the response; discovery regards a relay as informed of a change 6 s after its
# watch fell silent
RESPONSE_TIMEOUT = 2.0
# seconds, after repeated failures: discovery may handle its requests one at a time
MAX_RESPONSE_TIMEOUT = 5.0
# seconds without a line until a watch counts as dead; discovery sends a heartbeat line every 2 s
SILENCE_TIMEOUT = 3.0
MIN_RATE, MAX_RATE = 1e-6, 1e9  # calls a second; a listed rate outside this range counts as unknown
MAX_BUFFERED_BYTES = 64 * 1024  # of an object kept until it is complete; a longer one is parsed incrementally
LIST_FIELDS = ("index", "snapshot", "endpoints")  # of an object; others may be any number
MAX_ENTRY_CHARACTERS = 16 * 1024  # of one entry
WHITESPACE = re.compile(r"[ \t\r\n]*")
EMPTY_LINE = re.compile(r"\n[ \t\r]*\n")

NO_ADDRESS = Address("", 0)  # of a deleted endpoint

AVAILABILITY_BY_STATUS = {
    "Ready": io.Availability.RUNNING,
    "Terminating": io.Availability.STOPPING,
    "Gone": io.Availability.DELETED,
}


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """A snapshot of the endpoint list, or the delta since the previous version."""

    index: int
    whole: bool
    staged: Staged


class EntryParser:
    """Converts list entries from discovery's form to the catalog's. ``stage`` creates the staged update that
    receives the entries of one version."""

    def __init__(self, config: Config, stage: Callable[[], Staged]) -> None:
        self.zones = {name: number for number, name in enumerate(config.zone_names)}
        self.kinds = {name: number for number, name in enumerate(config.kind_names)}
        self.max_staged_bytes = config.memory_bytes // 2
        self.stage = stage

    def read(self, raw: Any) -> ListUpdate:
        """Parse a whole object. Raises ValueError if it is invalid; none of it is applied then."""
        staged = self.stage()
        try:
            for entry in raw["endpoints"]:
                self.add(staged, entry)
        except (KeyError, TypeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        return self.parse_update(raw, staged)

    def read_known(self, config: Config) -> ListUpdate:
        """Parse the endpoint list in the configuration file. Raises ValueError if it is invalid."""
        staged = self.stage()
        fields = load_known(config, lambda entry: self.add(staged, entry))
        if isinstance(fields, dict) and any(entry is not None for entry in fields.get("endpoints", ())):
            raise ValueError("an entry without a group or an address")
        return self.parse_update(fields, staged)

    def parse_update(self, fields: Any, staged: Staged) -> ListUpdate:
        """Build an update from an object's fields and its staged entries. Raises ValueError if a field is
        invalid."""
        try:
            fields["endpoints"]  # an object without this field is not a list
            return ListUpdate(int(fields["index"]), bool(fields["snapshot"]), staged)
        except (KeyError, TypeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None

    def add(self, staged: Staged, entry: Any) -> None:
        """Stage one entry. Raises ValueError if it is invalid."""
        try:
            if entry["status"] not in AVAILABILITY_BY_STATUS:
                raise ValueError(f"unknown status {entry['status']!r}")
            availability = AVAILABILITY_BY_STATUS[entry["status"]]
            is_deleted = availability is io.Availability.DELETED
            rate = float(entry.get("weight", 1.0))
            staged.add(
                Endpoint(
                    name=str(entry["name"]),
                    destination=int(entry["group"]),
                    zone=self.zones[entry["zone"]] if self.zones else 0,
                    kind=self.kinds[entry["type"]] if self.kinds else 0,
                    availability=availability,
                    rate=rate if MIN_RATE <= rate <= MAX_RATE else 0.0,
                    started=0 if is_deleted else int(entry.get("since_ms", 0)),
                    address=NO_ADDRESS if is_deleted else Address.parse(entry["address"]),
                )
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        if staged.size > self.max_staged_bytes:
            raise ValueError(f"the endpoint list takes over {self.max_staged_bytes} bytes")


class Discovery:
    """Watches the endpoint list. Calls ``on_update`` with each update, and with None when a watch has ended
    or could not be opened."""

    def __init__(
        self,
        address: Address,
        parser: EntryParser,
        index: int,
        callback: Callable[[ListUpdate | None], None],
    ) -> None:
        self.address = address
        self.parser = parser
        self.index = index
        self.on_update = callback
        self.failures = 0  # watches in a row that got no response
        # request a snapshot next, as some of the received data could not be parsed
        self.needs_snapshot: bool = False
        # the version comes from the list on disk: discovery may be unable to continue from it
        self.kept: bool = False
        self.task: asyncio.Task[None] | None = None

    def subscribe(self) -> None:
        """Open a watch, unless one is open or being opened."""
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._watch())
            self.task.add_done_callback(self._on_watch_ended)

    def close(self) -> None:
        """Stop the watch."""
        if self.task is not None:
            self.task.cancel()

    def change_address(self, address: Address) -> None:
        """Reconnect to discovery at another address and continue from the current version."""
        self.address = address
        self.failures = 0
        self.close()
        self.task = None
        self.subscribe()  # even if no watch was open: the new address's changes are due 4 s from now

    def _on_watch_ended(self, task: asyncio.Task[None]) -> None:
        if self.task is task:
            self.task = None
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, OSError | TimeoutError | h11.RemoteProtocolError | ValueError):
            log.warning("watch ended: %s", str(error) or type(error).__name__)
        elif error is not None:
            log.error("watch failed", exc_info=error)
        self.on_update(None)

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(RESPONSE_TIMEOUT * 2 ** min(self.failures, 8), MAX_RESPONSE_TIMEOUT)
        self.failures += 1
        async with asyncio.timeout_at(deadline):
            reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        try:
            await self._follow(reader, writer, deadline)
        finally:
            writer.transport.abort()

    async def _follow(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, deadline: float
    ) -> None:
        """Request the watch and process its lines. The response must arrive by ``deadline``."""
        http = h11.Connection(h11.CLIENT)
        target = f"/api/targets?follow=1&since={0 if self.needs_snapshot else self.index}"
        writer.write(
            http.send(h11.Request(method="GET", target=target, headers=[("Host", str(self.address))])) or b""
        )
        writer.write(http.send(h11.EndOfMessage()) or b"")
        loop, line_reader = asyncio.get_running_loop(), LineReader(self.parser)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout_at(deadline):
                    http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ValueError(f"discovery responded with status {event.status_code}")
                self.failures = 0
                deadline = loop.time() + SILENCE_TIMEOUT
                log.info("watch taken up after version %d", self.index)
                # an empty delta: reports the open watch even if nothing has changed
                self.on_update(ListUpdate(self.index, False, self.parser.stage()))
            elif isinstance(event, h11.Data):
                deadline = loop.time() + SILENCE_TIMEOUT
                self._process_data(line_reader, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise ConnectionError("discovery closed the connection")

    def _process_data(self, line_reader: LineReader, data: bytes) -> None:
        """Parse received data and report its updates. Raises ValueError, which ends the watch, if the data is
        invalid. Continuing after it would lose its changes, so the next watch requests a snapshot."""
        try:
            for update in line_reader.feed(data):
                if self.kept and not update.whole and update.index < self.index:
                    raise ValueError(f"changes up to version {update.index}; {self.index} is on the disk")
                self.needs_snapshot = self.kept = False
                self.index = update.index
                self.on_update(update)
        except ValueError:
            self.needs_snapshot = True
            raise


class LineReader:
    """Assembles JSON objects that may be indented and may arrive in pieces. An object extends from its first
    line to the line that closes it. One that grows too long to be buffered is parsed incrementally."""

    def __init__(self, parser: EntryParser) -> None:
        self.parser = parser
        self.partial_line = b""  # the start of a line that is not complete yet
        self.object_lines: list[bytes] = []  # of an object that is not complete yet
        self.size = 0
        self.large_object: IncrementalParser | None = None

    def feed(self, data: bytes) -> Iterator[ListUpdate]:
        """Yield the updates that ``data`` completes. Raises ValueError if it is invalid."""
        while data:
            if self.large_object is not None:
                remainder = self.large_object.feed(data)
                if remainder is None:
                    return
                yield self.parser.parse_update(self.large_object.fields, self.large_object.staged)
                self.large_object, data = None, remainder
                continue
            *complete_lines, self.partial_line = (self.partial_line + data).split(b"\n")
            data = b""
            for line in complete_lines:
                raw = self._add_line(line)
                if raw is not None:
                    yield self.parser.read(raw)
            if len(self.partial_line) + self.size > MAX_BUFFERED_BYTES:
                data = b"\n".join([*self.object_lines, self.partial_line])
                self.large_object = IncrementalParser(self.parser)
                self.partial_line, self.object_lines, self.size = b"", [], 0

    def _add_line(self, line: bytes) -> Any:
        """Return the object that ends with this line, or None if no object does."""
        line = line.rstrip()
        if line:
            self.object_lines.append(line)
            self.size += len(line)
        if not self.object_lines or line and not line.endswith(b"}"):
            return None  # no object ends here
        text = b"\n".join(self.object_lines).decode()
        try:
            raw = json.loads(text)
        except json.JSONDecodeError as error:
            if line and error.pos >= len(text):
                return None  # valid so far; an empty line separates objects and never lies within one
            raise
        self.object_lines, self.size = [], 0
        return raw


class IncrementalParser:
    """Parses one version of the endpoint list as it arrives and buffers at most one entry as text. The
    standard library's decoder parses each entry and value; this class handles only the tokens between
    them."""

    def __init__(self, parser: EntryParser) -> None:
        self.parser = parser
        self.staged = parser.stage()
        self.fields: dict[str, Any] = {}  # those of LIST_FIELDS, without the entries
        self._decode = json.JSONDecoder().raw_decode
        self._utf8_decoder = codecs.getincrementaldecoder("utf-8")()
        self._text = ""
        self._position = 0
        self._expected = "{"
        self._key = ""

    def feed(self, data: bytes) -> bytes | None:
        """Return the data after the object once it is complete, else None. Raises ValueError if the object is
        invalid."""
        self._text = self._text[self._position :] + self._utf8_decoder.decode(data)
        self._position = 0
        while self._expected:
            whitespace = WHITESPACE.match(self._text, self._position)
            assert whitespace is not None  # the pattern also matches the empty string
            start = whitespace.end()
            if EMPTY_LINE.search(self._text, self._position, start):
                raise ValueError("an empty line within an object")
            if start - self._position > MAX_ENTRY_CHARACTERS:
                raise ValueError("too much whitespace between two tokens")
            if start == len(self._text):
                # keep the last line feed: another one may follow and make an empty line
                self._position = max(self._position, self._text.rfind("\n", self._position))
                return None
            if not self._consume(start):
                if EMPTY_LINE.search(self._text, start) or len(self._text) - start > MAX_ENTRY_CHARACTERS:
                    raise ValueError(f"not JSON: {self._text[start:start + 40]!r}")
                self._position = start
                return None
        return self._text[self._position :].encode()

    def _consume(self, start: int) -> bool:
        """Consume the next token or value. Returns False if it is incomplete."""
        character = self._text[start]
        match self._expected, character:
            case ("{", "{"):
                self._expected = "first key"
            case ("first key" | ",", "}"):
                self._expected = ""
            case (",", ","):
                self._expected = "key"
            case ("first key" | "key", '"'):
                return self._consume_value(start, lambda key: self._on_key(str(key)))
            case (":", ":"):
                self._expected = "[" if self._key == "endpoints" else "value"
            case ("value", _):
                return self._consume_value(start, self._on_value)
            case ("[", "["):
                self.fields[self._key], self._expected = None, "first entry"
            case ("first entry" | ",]", "]"):
                self._expected = ","
            case (",]", ","):
                self._expected = "entry"
            case ("first entry" | "entry", "{"):
                return self._consume_value(start, self._on_entry)
            case _:
                raise ValueError(f"not an endpoint list: {self._text[start:start + 40]!r}")
        self._position = start + 1
        return True

    def _consume_value(self, start: int, handle: Callable[[Any], None]) -> bool:
        try:
            value, end = self._decode(self._text, start)
        except json.JSONDecodeError:
            return False
        if end == len(self._text) and self._text[end - 1] not in '"}]':
            return False  # a number may continue in the next piece
        handle(value)
        self._position = end
        return True

    def _on_key(self, key: str) -> None:
        self._key, self._expected = key, ":"

    def _on_value(self, value: Any) -> None:
        if self._key in LIST_FIELDS:
            self.fields[self._key] = value
        self._expected = ","

    def _on_entry(self, entry: Any) -> None:
        self.parser.add(self.staged, entry)
        self._expected = ",]"
