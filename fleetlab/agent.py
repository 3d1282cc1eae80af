"""Stand-in for the discovery agent and the platform's notice endpoint, over HTTP/1.1.

One agent stands in for the agents of all machines. Each relay can get its own address, so that the agent
can record what it sent to each relay and when. Each entry of the list is encoded once; the snapshot is
assembled on request and written in chunks.
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

HEARTBEAT_INTERVAL = 2.0  # seconds between lines of a watch while nothing changes
CHUNK_SIZE = 256 * 1024  # bytes per write
MAX_VERSIONS = 4096
LISTEN_BACKLOG = 4096

OnNotice = Callable[[str, str, int], None]  # message id, result, wait in milliseconds


@dataclass(slots=True)
class ListenerStats:
    """What the agent sent on one of its addresses; used for figures and for the drain rule."""

    label: str
    bytes: int = 0
    snapshots: int = 0  # whole lists sent
    watches: int = 0  # started so far
    open_watches: int = 0  # open at present
    notices: int = 0
    statuses: dict[str, tuple[str, float]] = field(default_factory=dict)
    """By endpoint: the first status sent after Ready, and the monotonic time of the write."""


@dataclass(frozen=True, slots=True)
class Version:
    """The changes of one version of the list."""

    index: int
    lines: tuple[tuple[str, str, bytes], ...]  # name, status, JSON


class Agent:
    """The endpoint list, its versions and its watches.

    ``call_time`` is the time in seconds that each call for the list takes, if discovery serves calls one at a
    time; 0 for an agent that already has the whole list. ``history`` is the number of versions that a watch
    may be behind and still get a delta instead of a snapshot.
    """

    def __init__(
        self,
        lines: Iterable[Mapping[str, Any]],
        index: int = 1,
        on_notice: OnNotice = lambda message_id, result, wait: None,
        call_time: float = 0.0,
        history: int = MAX_VERSIONS,
    ) -> None:
        self.index = index
        self.on_notice = on_notice
        self.call_time = call_time
        self.entries: dict[str, bytes] = {str(line["name"]): _json(line) for line in lines}
        self.versions: deque[Version] = deque(maxlen=history)
        self.published_at: dict[int, float] = {}  # by version, monotonic seconds
        self.stats: dict[str, ListenerStats] = {}
        self.unreadable_notices = 0  # requests answered with 400
        self._snapshot: bytes | None = None
        self._published = asyncio.Event()
        self._available = asyncio.Event()
        self._available.set()
        self._call_lock = asyncio.Lock()
        self._server = web.Server(self._handle, access_log=None, keepalive_timeout=3600)
        self._listeners: list[asyncio.Server] = []
        self._labels: dict[tuple[str, int], str] = {}
        self._watch_tasks: set[asyncio.Task[Any]] = set()

    async def listen(self, label: str, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen on one more address, with statistics under ``label``; return it as ``host:port``."""
        server = await asyncio.get_running_loop().create_server(
            self._server, host, port, backlog=LISTEN_BACKLOG
        )
        self._listeners.append(server)
        bound = server.sockets[0].getsockname()
        self._labels[bound[0], bound[1]] = label
        self.stats.setdefault(label, ListenerStats(label))
        return f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stop listening and end all watches."""
        for server in self._listeners:
            server.close()
        for task in self._watch_tasks:
            task.cancel()
        await asyncio.gather(*self._watch_tasks, return_exceptions=True)
        await self._server.shutdown(1.0)

    def publish(self, lines: Iterable[Mapping[str, Any]]) -> int:
        """Publish a new version with these changes and return its index. ``Gone`` removes an endpoint."""
        changed = tuple((str(line["name"]), str(line["status"]), _json(line)) for line in lines)
        self.index += 1
        for name, status, text in changed:
            if status == "Gone":
                self.entries.pop(name, None)
            else:
                self.entries[name] = text
        self.versions.append(Version(self.index, changed))
        self.published_at[self.index] = time.monotonic()
        self._snapshot = None
        self._published.set()
        self._published = asyncio.Event()
        return self.index

    def suspend(self) -> None:
        """Simulate a discovery outage: send nothing and start no watch. Notices are still accepted."""
        self._available.clear()

    def resume(self) -> None:
        """End the discovery outage and send the changes made meanwhile."""
        self._available.set()

    def snapshot(self) -> bytes:
        """Return the snapshot as one line of JSON without a line ending."""
        if self._snapshot is None:
            self._snapshot = b'{"index":%d,"snapshot":true,"endpoints":[%s]}' % (
                self.index,
                b",".join(self.entries.values()),
            )
        return self._snapshot

    def changes_since(self, index: int) -> bytes | None:
        """Return one line with the changes since that version, or None if a snapshot is needed."""
        if index == self.index:
            return b""
        if index > self.index or not self.versions or index < self.versions[0].index - 1:
            return None
        merged = {name: text for version in self._versions_after(index) for name, _, text in version.lines}
        return b'{"index":%d,"snapshot":false,"endpoints":[%s]}' % (self.index, b",".join(merged.values()))

    def _versions_after(self, index: int) -> Iterable[Version]:
        behind = min(max(0, self.index - index), len(self.versions))
        return [self.versions[n] for n in range(len(self.versions) - behind, len(self.versions))]

    # ---- HTTP

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        stats = self._stats_of(request)
        if request.path == "/v1/notices" and request.method == "POST":
            return await self._notices(request, stats)
        if request.path != "/api/targets" or request.method != "GET":
            return web.Response(status=404)
        await self._available.wait()
        if self.call_time:
            async with self._call_lock:
                await asyncio.sleep(self.call_time)
        if request.transport is None:
            return web.Response(status=503)  # the client has disconnected
        if request.query.get("follow") != "1":
            return await self._list(request, stats)
        since = request.query.get("since", "0")
        if not since.isascii() or not since.isdigit():
            return web.Response(status=400)
        task = asyncio.current_task()
        assert task is not None
        self._watch_tasks.add(task)
        stats.watches += 1
        stats.open_watches += 1
        try:
            return await self._watch(request, int(since), stats)
        finally:
            stats.open_watches -= 1
            self._watch_tasks.discard(task)

    def _stats_of(self, request: web.BaseRequest) -> ListenerStats:
        assert request.transport is not None
        host, port = request.transport.get_extra_info("sockname")[:2]
        return self.stats[self._labels[host, port]]

    async def _list(self, request: web.BaseRequest, stats: ListenerStats) -> web.StreamResponse:
        text = self.snapshot()
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.content_length = len(text)
        stats.snapshots += 1
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            await _write(response, text, stats)
        return response

    async def _watch(self, request: web.BaseRequest, since: int, stats: ListenerStats) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        try:
            await response.prepare(request)
            for name in (name for version in self._versions_after(since) for name, _, _ in version.lines):
                stats.statuses.pop(name, None)  # a restarted process has not received them yet
            while True:
                await self._available.wait()
                published, text, at = self._published, self.changes_since(since), self.index
                if text is None:
                    stats.snapshots += 1
                    text = self.snapshot()
                changed = self._versions_after(since)
                since = at
                await _write(response, text + b"\n", stats)
                self._record_statuses(stats, changed)
                try:
                    async with asyncio.timeout(HEARTBEAT_INTERVAL):
                        await published.wait()
                except TimeoutError:
                    pass
        except ConnectionError:
            return response  # the client has disconnected

    def _record_statuses(self, stats: ListenerStats, versions: Iterable[Version]) -> None:
        now = time.monotonic()
        for version in versions:
            for name, status, _ in version.lines:
                if status == "Ready":
                    stats.statuses.pop(name, None)
                elif name not in stats.statuses:
                    stats.statuses[name] = (status, now)

    async def _notices(self, request: web.BaseRequest, stats: ListenerStats) -> web.Response:
        try:
            parsed = [_notice(line) for line in (await request.read()).splitlines() if line.strip()]
        except (ValueError, KeyError, TypeError) as error:
            self.unreadable_notices += 1
            log.warning("unreadable notices: %s", error)
            return web.Response(status=400)
        for message_id, result, wait in parsed:
            stats.notices += 1
            self.on_notice(message_id, result, wait)
        return web.Response(status=204)


def _notice(line: bytes) -> tuple[str, str, int]:
    raw = json.loads(line)
    if raw["result"] not in ("dead", "bounced"):
        raise ValueError(f"unknown result {raw['result']!r}")
    return str(raw["ref"]), str(raw["result"]), int(raw.get("wait_ms", 0))


def _json(line: Mapping[str, Any]) -> bytes:
    return json.dumps(line, separators=(",", ":")).encode()


async def _write(response: web.StreamResponse, text: bytes, stats: ListenerStats) -> None:
    view = memoryview(text)
    for start in range(0, len(view), CHUNK_SIZE):
        await response.write(view[start : start + CHUNK_SIZE])
    stats.bytes += len(text)
