"""Discovery's agent and the platform's door for notices, over HTTP/1.1 (PROTOCOL, "Discovery" and "Notices").

One agent stands in for those on all machines: each relay may be given an address of its own, so that what was
told to whom, and when, is known. The list is rendered line by line, each line once; the whole list is put
together when somebody asks for it, and written in pieces.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

log = logging.getLogger(__name__)

HEARTBEAT = 2.0  # seconds between the lines of a watch where nothing changes
PIECE = 256 * 1024  # bytes written at a time
MOST_VERSIONS = 4096
BACKLOG = 4096

OnNotice = Callable[[str, str, int], None]  # ref, result, wait in milliseconds


@dataclass(slots=True)
class Told:
    """What one address of the agent has written, for the figures and for the rule on drains."""

    label: str
    bytes: int = 0
    wholes: int = 0  # whole lists
    watches: int = 0  # taken up so far
    watching: int = 0  # open now
    notices: int = 0
    statuses: dict[str, tuple[str, float]] = field(default_factory=dict)
    """By endpoint: the last status told that wasn't Ready, and the monotonic time at which it was written."""


@dataclass(frozen=True, slots=True)
class Version:
    """One version of the list: what changed."""

    index: int
    lines: tuple[tuple[str, str, bytes], ...]  # name, status, JSON


class Agent:
    """The list, its versions, and all who watch it.

    ``call_time`` is what each call for the list costs, in seconds, where discovery works through its calls in
    turn; 0 for an agent that has all of it already. ``history`` is how many versions a watch may be behind
    and still hear of the changes alone.
    """

    def __init__(
        self,
        lines: Iterable[Mapping[str, Any]],
        index: int = 1,
        on_notice: OnNotice = lambda ref, result, wait: None,
        call_time: float = 0.0,
        history: int = MOST_VERSIONS,
    ) -> None:
        self.index = index
        self.on_notice = on_notice
        self.call_time = call_time
        self.entries: dict[str, bytes] = {str(line["name"]): _json(line) for line in lines}
        self.versions: deque[Version] = deque(maxlen=history)
        self.published: dict[int, float] = {}  # when each version came up, monotonic seconds
        self.told: dict[str, Told] = {}
        self.unreadable = 0  # notices that were answered 400
        self._whole: bytes | None = None
        self._news = asyncio.Event()
        self._awake = asyncio.Event()
        self._awake.set()
        self._turn = asyncio.Lock()
        self._server = web.Server(self._handle, access_log=None, keepalive_timeout=3600)
        self._listeners: list[asyncio.Server] = []
        self._labels: dict[tuple[str, int], str] = {}
        self._watchers: set[asyncio.Task[Any]] = set()

    async def listen(self, label: str, host: str = "127.0.0.1", port: int = 0) -> str:
        """One more address, ``host:port``; what is told there is kept under ``label``."""
        server = await asyncio.get_running_loop().create_server(self._server, host, port, backlog=BACKLOG)
        self._listeners.append(server)
        bound = server.sockets[0].getsockname()
        self._labels[bound[0], bound[1]] = label
        self.told.setdefault(label, Told(label))
        return f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """End all watches and listen no more."""
        for server in self._listeners:
            server.close()
        for task in self._watchers:
            task.cancel()
        await asyncio.gather(*self._watchers, return_exceptions=True)
        await self._server.shutdown(1.0)

    def publish(self, lines: Iterable[Mapping[str, Any]]) -> int:
        """A new version, with these lines changed; its index. ``Gone`` takes an endpoint off the list."""
        changed = tuple((str(line["name"]), str(line["status"]), _json(line)) for line in lines)
        self.index += 1
        for name, status, text in changed:
            if status == "Gone":
                self.entries.pop(name, None)
            else:
                self.entries[name] = text
        self.versions.append(Version(self.index, changed))
        self.published[self.index] = time.monotonic()
        self._whole = None
        self._news.set()
        self._news = asyncio.Event()
        return self.index

    def fall_silent(self) -> None:
        """Discovery is down: nothing more is told, and no watch is taken up. Notices are still heard."""
        self._awake.clear()

    def speak(self) -> None:
        """Discovery is back, and tells what has changed meanwhile."""
        self._awake.set()

    def whole(self) -> bytes:
        """The whole list, one line of JSON with no end of line."""
        if self._whole is None:
            self._whole = b'{"index":%d,"snapshot":true,"endpoints":[%s]}' % (
                self.index,
                b",".join(self.entries.values()),
            )
        return self._whole

    def since(self, index: int) -> bytes | None:
        """One line with all that changed after that version; None where only the whole list will do."""
        if index == self.index:
            return b""
        if index > self.index or not self.versions or index < self.versions[0].index - 1:
            return None
        merged = {name: text for version in self._after(index) for name, _, text in version.lines}
        return b'{"index":%d,"snapshot":false,"endpoints":[%s]}' % (self.index, b",".join(merged.values()))

    def _after(self, index: int) -> Iterable[Version]:
        behind = min(max(0, self.index - index), len(self.versions))
        return [self.versions[n] for n in range(len(self.versions) - behind, len(self.versions))]

    # ---- HTTP

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        told = self._who(request)
        if request.path == "/v1/notices" and request.method == "POST":
            return await self._notices(request, told)
        if request.path != "/api/targets" or request.method != "GET":
            return web.Response(status=404)
        await self._awake.wait()
        if self.call_time:
            async with self._turn:
                await asyncio.sleep(self.call_time)
        if request.transport is None:
            return web.Response(status=503)  # who asked has gone meanwhile
        if request.query.get("follow") != "1":
            return await self._list(request, told)
        since = request.query.get("since", "0")
        if not since.isascii() or not since.isdigit():
            return web.Response(status=400)
        task = asyncio.current_task()
        assert task is not None
        self._watchers.add(task)
        told.watches += 1
        told.watching += 1
        try:
            return await self._watch(request, int(since), told)
        finally:
            told.watching -= 1
            self._watchers.discard(task)

    def _who(self, request: web.BaseRequest) -> Told:
        assert request.transport is not None
        host, port = request.transport.get_extra_info("sockname")[:2]
        return self.told[self._labels[host, port]]

    async def _list(self, request: web.BaseRequest, told: Told) -> web.StreamResponse:
        text = self.whole()
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.content_length = len(text)
        told.wholes += 1
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            await _write(response, text, told)
        return response

    async def _watch(self, request: web.BaseRequest, since: int, told: Told) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            for name in (name for version in self._after(since) for name, _, _ in version.lines):
                told.statuses.pop(name, None)  # a process that starts again has not heard of them yet
            while True:
                await self._awake.wait()
                news, text, at = self._news, self.since(since), self.index
                if text is None:
                    told.wholes += 1
                    text = self.whole()
                changed = self._after(since)
                since = at
                await _write(response, text + b"\n", told)
                self._note(told, changed)
                try:
                    async with asyncio.timeout(HEARTBEAT):
                        await news.wait()
                except TimeoutError:
                    pass
        except ConnectionError:
            return response  # whoever watched has gone

    def _note(self, told: Told, versions: Iterable[Version]) -> None:
        now = time.monotonic()
        for version in versions:
            for name, status, _ in version.lines:
                if status == "Ready":
                    told.statuses.pop(name, None)
                elif name not in told.statuses:
                    told.statuses[name] = (status, now)

    async def _notices(self, request: web.BaseRequest, told: Told) -> web.Response:
        try:
            read = [_notice(line) for line in (await request.read()).splitlines() if line.strip()]
        except (ValueError, KeyError, TypeError) as error:
            self.unreadable += 1
            log.warning("notices that can't be read: %s", error)
            return web.Response(status=400)
        for ref, result, wait in read:
            told.notices += 1
            self.on_notice(ref, result, wait)
        return web.Response(status=204)


def _notice(line: bytes) -> tuple[str, str, int]:
    raw = json.loads(line)
    if raw["result"] not in ("dead", "bounced"):
        raise ValueError(f"unknown result {raw['result']!r}")
    return str(raw["ref"]), str(raw["result"]), int(raw.get("wait_ms", 0))


def _json(line: Mapping[str, Any]) -> bytes:
    return json.dumps(line, separators=(",", ":")).encode()


async def _write(response: web.StreamResponse, text: bytes, told: Told) -> None:
    view = memoryview(text)
    for start in range(0, len(view), PIECE):
        await response.write(view[start : start + PIECE])
    told.bytes += len(text)
