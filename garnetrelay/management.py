"""The operators' door: HTTP/1.1 at an address of its own, one call to a connection.

It runs in a thread with a loop of its own, so that no turn of decisions holds up its answers. It keeps no
state of the relay's: what it is asked, it looks up or hands on.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import h11

from garnetrelay.config import Address
from garnetrelay.health import Health
from garnetrelay.metrics import Metrics

log = logging.getLogger(__name__)

CALL_TIME = 2.0  # seconds for a whole call to come; a good caller needs a trip there
MOST_CALL = 16 * 1024  # bytes of one call, whatever is in it
MOST_CALLERS = 32  # and a sixteenth of the descriptors: what clients and hosts leave is less than a fifth
BACKLOG = 128
STACK = 512 * 1024  # bytes: the thread's own, as memory is short
PLAIN = "text/plain; charset=utf-8"
EXPOSITION = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a call is answered with."""

    status: int
    text: str
    kind: str = PLAIN
    allow: str = ""


Routes = Mapping[str, Mapping[str, Callable[[], Answer]]]  # by path, then method


def build_routes(
    health: Health, metrics: Metrics, drain: Callable[[], object], undrain: Callable[[], object]
) -> Routes:
    """All that operators can ask. The drain is said to be on, or over, at once; ``drain`` and ``undrain``
    make it so, and must not wait for it."""

    def healthcheck() -> Answer:
        return Answer(200, "serving\n") if health.serving else Answer(503, f"{health}\n")

    def stats() -> Answer:
        return Answer(200, metrics.render(), EXPOSITION)

    def fail() -> Answer:
        health.drained = True
        drain()
        return Answer(200, "draining\n")

    def ok() -> Answer:
        health.drained = False
        undrain()
        return Answer(200, "serving again\n")

    return {
        "/healthcheck": {"GET": healthcheck},
        "/stats": {"GET": stats},
        "/healthcheck/fail": {"PUT": fail},
        "/healthcheck/ok": {"PUT": ok},
    }


class AdminConnection(asyncio.Protocol):
    """One operator's connection: a call, its answer, a close."""

    def __init__(self, door: AdminServer) -> None:
        self.server = door
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_CALL)
        self.request: h11.Request | None = None
        self.received = 0
        self.answered = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.admit(self)
        self.timer = asyncio.get_running_loop().call_later(CALL_TIME, self._overdue)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.callers.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def abort(self) -> None:
        self.server.callers.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    def _overdue(self) -> None:
        if self.received and not self.answered:
            self._answer(Answer(408, "no whole call in time\n"))
        else:
            self.abort()

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        if self.answered:
            return  # one call to a connection: what follows it is not read
        if self.received > MOST_CALL:
            self._answer(Answer(413, "too long a call\n"))
            return
        try:
            self.http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._answer(Answer(error.error_status_hint, "not an HTTP call\n"))

    def _read_events(self) -> None:
        while not self.answered:
            match self.http.next_event():
                case h11.Request() as request:
                    self.request = request
                    if self.http.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self._write(self.http.send(go_on) or b"")
                case h11.EndOfMessage() if self.request is not None:
                    self._answer(self.server.answer(self.request))
                case h11.Data():
                    pass  # no call has a use for a body
                case _:
                    return  # more has to come, or the caller has gone

    def _answer(self, answer: Answer) -> None:
        """Write the answer, and close."""
        self.answered = True
        body = answer.text.encode()
        headers = [("Content-Type", answer.kind), ("Content-Length", str(len(body))), ("Connection", "close")]
        if answer.allow:
            headers.append(("Allow", answer.allow))
        data = self.http.send(h11.Response(status_code=answer.status, headers=headers)) or b""
        if self.request is None or self.request.method != b"HEAD":
            data += self.http.send(h11.Data(data=body)) or b""
        self._write(data)
        if self.transport is not None:
            self.transport.close()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


class AdminServer:
    """Listens for operators, in a thread of its own."""

    def __init__(self, routes: Routes, sockets: int) -> None:
        self.routes = routes
        self.most = max(2, min(MOST_CALLERS, sockets // 16))
        self.callers: dict[AdminConnection, None] = {}  # longest here first
        self.loop = asyncio.new_event_loop()
        self.closing = asyncio.Event()
        self.thread: threading.Thread | None = None

    def start(self, address: Address) -> tuple[str, int]:
        """Listen; the address that came of it. OSError where that can't be had."""
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        listener = socket.create_server((address.host, address.port), family=family, backlog=BACKLOG)
        name = listener.getsockname()
        before = threading.stack_size(STACK)
        self.thread = threading.Thread(target=self._run, args=(listener,), name="door", daemon=True)
        self.thread.start()
        threading.stack_size(before)
        return str(name[0]), int(name[1])

    def _run(self, listener: socket.socket) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._serve(listener))
        self.loop.close()

    async def _serve(self, listener: socket.socket) -> None:
        server = await self.loop.create_server(lambda: AdminConnection(self), sock=listener, backlog=BACKLOG)
        await self.closing.wait()
        server.close()
        for caller in list(self.callers):
            caller.abort()
        await asyncio.sleep(0)  # their sockets close in the loop's next turn

    def close(self) -> None:
        if self.thread is not None:
            self.loop.call_soon_threadsafe(self.closing.set)
            self.thread.join()
            self.thread = None

    def admit(self, caller: AdminConnection) -> None:
        """A caller who has just come gets a place: a good one is gone within milliseconds, so the one longest
        here is silent."""
        if len(self.callers) >= self.most:
            next(iter(self.callers)).abort()
        self.callers[caller] = None

    def answer(self, request: h11.Request) -> Answer:
        path = request.target.partition(b"?")[0].decode("ascii", "replace")
        methods = self.routes.get(path)
        if methods is None:
            return Answer(404, "no such path\n")
        method = request.method.decode("ascii")
        if method not in methods:
            return Answer(405, "no such method here\n", allow=", ".join(methods))
        try:
            return methods[method]()
        except Exception:  # an operator is owed an answer, and the log the reason
            log.exception("operators' call %s %s failed", method, path)
            return Answer(500, "failed\n")
