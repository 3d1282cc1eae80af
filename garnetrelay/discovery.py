"""The list of hosts, from discovery: one watch at a time, opened when the Pacer asks for it.

A line may hold the whole list of a fleet, some tens of megabytes: one too long to be kept is read entry by
entry as it comes, and each entry is staged at once in the form in which the catalog holds it.
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

# seconds to be taken up in; what a watch misses counts as told 6 s after it fell silent
RESPONSE_TIMEOUT = 2.0
MAX_RESPONSE_TIMEOUT = 5.0  # where that fails again and again: discovery may work through its calls in turn
SILENCE_TIMEOUT = 3.0  # seconds without a line, of which one comes every 2: the watch is dead
LEAST_RATE, MOST_RATE = 1e-6, 1e9  # calls a second that may be listed; whatever else is tells nothing
MOST_KEPT = 64 * 1024  # bytes of an object that are kept until it is whole; a longer one is read as it comes
MOST_ENTRY = 16 * 1024  # characters of one entry
SPACE = re.compile(r"[ \t\r\n]*")
EMPTY_LINE = re.compile(r"\n[ \t\r]*\n")

NO_ADDRESS = Address("", 0)  # of what is gone

STATES = {
    "Ready": io.Availability.RUNNING,
    "Terminating": io.Availability.STOPPING,
    "Gone": io.Availability.DELETED,
}


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One version of the list, or the changes since the one before."""

    index: int
    whole: bool
    staged: Staged


class EntryParser:
    """Turns discovery's form into the catalog's. ``stage`` makes the place for one version's entries."""

    def __init__(self, config: Config, stage: Callable[[], Staged]) -> None:
        self.zones = {name: number for number, name in enumerate(config.zone_names)}
        self.kinds = {name: number for number, name in enumerate(config.kind_names)}
        self.most_staged = config.memory_bytes // 2
        self.stage = stage

    def read(self, raw: Any) -> ListUpdate:
        """ValueError if it can't be read: then nothing of it is taken over."""
        staged = self.stage()
        try:
            for line in raw["endpoints"]:
                self.add(staged, line)
        except (KeyError, TypeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        return self.parse_update(raw, staged)

    def read_known(self, config: Config) -> ListUpdate:
        """The list that the configuration names. ValueError if it can't be read."""
        staged = self.stage()
        facts = load_known(config, lambda line: self.add(staged, line))
        if isinstance(facts, dict) and any(line is not None for line in facts.get("endpoints", ())):
            raise ValueError("an entry without a group or an address")
        return self.parse_update(facts, staged)

    def parse_update(self, facts: Any, staged: Staged) -> ListUpdate:
        """What an object says beside its entries. ValueError if it can't be read."""
        try:
            facts["endpoints"]  # an object without is no list
            return ListUpdate(int(facts["index"]), bool(facts["snapshot"]), staged)
        except (KeyError, TypeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None

    def add(self, staged: Staged, line: Any) -> None:
        """Stage one entry. ValueError if it can't be read."""
        try:
            if line["status"] not in STATES:
                raise ValueError(f"unknown status {line['status']!r}")
            availability = STATES[line["status"]]
            gone = availability is io.Availability.DELETED
            rate = float(line.get("weight", 1.0))
            staged.add(
                Endpoint(
                    name=str(line["name"]),
                    destination=int(line["group"]),
                    zone=self.zones[line["zone"]] if self.zones else 0,
                    kind=self.kinds[line["type"]] if self.kinds else 0,
                    availability=availability,
                    rate=rate if LEAST_RATE <= rate <= MOST_RATE else 0.0,
                    started=0 if gone else int(line.get("since_ms", 0)),
                    address=NO_ADDRESS if gone else Address.parse(line["address"]),
                )
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        if staged.size > self.most_staged:
            raise ValueError(f"a list of over {self.most_staged} bytes")


class Discovery:
    """Watches the list. ``on_update`` gets what comes, None when the watch ended or never came about."""

    def __init__(
        self, address: Address, reader: EntryParser, index: int, on_news: Callable[[ListUpdate | None], None]
    ) -> None:
        self.address = address
        self.reader = reader
        self.index = index
        self.on_update = on_news
        self.failures = 0  # in a row: watches that were not taken up
        self.whole: bool = False  # ask for the whole list next: some of what came could not be read
        self.kept: bool = False  # the version is one that the disk kept: discovery may not go on from there
        self.task: asyncio.Task[None] | None = None

    def subscribe(self) -> None:
        """Open a watch, unless one is open or on its way."""
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._watch())
            self.task.add_done_callback(self._ended)

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def change_address(self, address: Address) -> None:
        """Discovery is elsewhere from now on: go on from there with what we have."""
        self.address = address
        self.failures = 0
        self.close()
        self.task = None
        self.subscribe()  # also where none was open: what it has to tell is due 4 s from now

    def _ended(self, task: asyncio.Task[None]) -> None:
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
        due = loop.time() + min(RESPONSE_TIMEOUT * 2 ** min(self.failures, 8), MAX_RESPONSE_TIMEOUT)
        self.failures += 1
        async with asyncio.timeout_at(due):
            reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        try:
            await self._follow(reader, writer, due)
        finally:
            writer.transport.abort()

    async def _follow(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, due: float) -> None:
        """``due`` is when it must have been taken up."""
        http = h11.Connection(h11.CLIENT)
        target = f"/api/targets?follow=1&since={0 if self.whole else self.index}"
        writer.write(
            http.send(h11.Request(method="GET", target=target, headers=[("Host", str(self.address))])) or b""
        )
        writer.write(http.send(h11.EndOfMessage()) or b"")
        loop, lines = asyncio.get_running_loop(), LineReader(self.reader)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout_at(due):
                    http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ValueError(f"discovery answered {event.status_code}")
                self.failures = 0
                due = loop.time() + SILENCE_TIMEOUT
                log.info("watch taken up after version %d", self.index)
                # also where nothing has changed
                self.on_update(ListUpdate(self.index, False, self.reader.stage()))
            elif isinstance(event, h11.Data):
                due = loop.time() + SILENCE_TIMEOUT
                self._read(lines, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                raise ConnectionError("discovery closed it")

    def _read(self, lines: LineReader, data: bytes) -> None:
        """ValueError, and the watch's end, where it can't be read: to go on with what comes behind would lose
        its changes, so the whole list is asked for next."""
        try:
            for news in lines.feed(data):
                if self.kept and not news.whole and news.index < self.index:
                    raise ValueError(f"changes up to version {news.index}; {self.index} is on the disk")
                self.whole = self.kept = False
                self.index = news.index
                self.on_update(news)
        except ValueError:
            self.whole = True
            raise


class LineReader:
    """Puts together what may come indented and in pieces: an object goes from its first line to the one that
    closes it. One that grows too long to be kept until then is read as it comes."""

    def __init__(self, reader: EntryParser) -> None:
        self.reader = reader
        self.pending = b""  # of a line that has not come whole
        self.begun: list[bytes] = []
        self.size = 0
        self.long: LongObject | None = None

    def feed(self, data: bytes) -> Iterator[ListUpdate]:
        """What is whole now. ValueError where it can't be read."""
        while data:
            if self.long is not None:
                rest = self.long.feed(data)
                if rest is None:
                    return
                yield self.reader.parse_update(self.long.facts, self.long.staged)
                self.long, data = None, rest
                continue
            *whole, self.pending = (self.pending + data).split(b"\n")
            data = b""
            for line in whole:
                raw = self._line(line)
                if raw is not None:
                    yield self.reader.read(raw)
            if len(self.pending) + self.size > MOST_KEPT:
                data = b"\n".join([*self.begun, self.pending])
                self.long = LongObject(self.reader)
                self.pending, self.begun, self.size = b"", [], 0

    def _line(self, line: bytes) -> Any:
        """The object that ends with this line, None where none does."""
        line = line.rstrip()
        if line:
            self.begun.append(line)
            self.size += len(line)
        if not self.begun or line and not line.endswith(b"}"):
            return None  # no object ends here
        text = b"\n".join(self.begun).decode()
        try:
            raw = json.loads(text)
        except json.JSONDecodeError as error:
            if line and error.pos >= len(text):
                return None  # good so far; an empty line stands between objects, never within one
            raise
        self.begun, self.size = [], 0
        return raw


class LongObject:
    """One version of the list, read as it comes: no more than one entry of it is kept as text. The standard
    library's decoder reads each entry and value; only what stands between them is looked at here."""

    def __init__(self, reader: EntryParser) -> None:
        self.reader = reader
        self.staged = reader.stage()
        self.facts: dict[str, Any] = {}  # the object's values but its entries
        self._decode = json.JSONDecoder().raw_decode
        self._bytes = codecs.getincrementaldecoder("utf-8")()
        self._text = ""
        self._at = 0
        self._expects = "{"
        self._key = ""

    def feed(self, data: bytes) -> bytes | None:
        """What stands behind the object once it is whole, None before. ValueError where it can't be read."""
        self._text = self._text[self._at :] + self._bytes.decode(data)
        self._at = 0
        while self._expects:
            space = SPACE.match(self._text, self._at)
            assert space is not None  # it may be empty
            begins = space.end()
            if EMPTY_LINE.search(self._text, self._at, begins):
                raise ValueError("an empty line within an object")
            if begins - self._at > MOST_ENTRY:
                raise ValueError("nothing but space")
            if begins == len(self._text):
                self._at = max(self._at, self._text.rfind("\n", self._at))  # the next may make an empty line
                return None
            if not self._step(begins):
                if EMPTY_LINE.search(self._text, begins) or len(self._text) - begins > MOST_ENTRY:
                    raise ValueError(f"not JSON: {self._text[begins:begins + 40]!r}")
                self._at = begins
                return None
        return self._text[self._at :].encode()

    def _step(self, at: int) -> bool:
        """Take the next token or value. False where more has to come."""
        char = self._text[at]
        match self._expects, char:
            case ("{", "{"):
                self._expects = "first key"
            case ("first key" | ",", "}"):
                self._expects = ""
            case (",", ","):
                self._expects = "key"
            case ("first key" | "key", '"'):
                return self._value(at, lambda key: self._named(str(key)))
            case (":", ":"):
                self._expects = "[" if self._key == "endpoints" else "value"
            case ("value", _):
                return self._value(at, self._fact)
            case ("[", "["):
                self.facts[self._key], self._expects = None, "first entry"
            case ("first entry" | ",]", "]"):
                self._expects = ","
            case (",]", ","):
                self._expects = "entry"
            case ("first entry" | "entry", "{"):
                return self._value(at, self._entry)
            case _:
                raise ValueError(f"not a list: {self._text[at:at + 40]!r}")
        self._at = at + 1
        return True

    def _value(self, at: int, take: Callable[[Any], None]) -> bool:
        try:
            value, end = self._decode(self._text, at)
        except json.JSONDecodeError:
            return False
        if end == len(self._text) and self._text[end - 1] not in '"}]':
            return False  # a number may go on
        take(value)
        self._at = end
        return True

    def _named(self, key: str) -> None:
        self._key, self._expects = key, ":"

    def _fact(self, value: Any) -> None:
        self.facts[self._key], self._expects = value, ","

    def _entry(self, line: Any) -> None:
        self.reader.add(self.staged, line)
        self._expects = ",]"
