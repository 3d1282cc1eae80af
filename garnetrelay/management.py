"""The management interface: an HTTP/1.1 server for operators, on its own address.

A connection carries one request. The server runs in its own thread with its own event loop, so that a long
planning pass of the relay does not delay its responses. It holds no state of the relay: it reads the shared
health flags and metrics, and forwards commands.
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

REQUEST_TIMEOUT_S = 2.0  # to receive a whole request; a working client needs one network trip
MAX_REQUEST_BYTES = 16 * 1024  # all bytes received on a connection, headers and body
# Upper bound on open connections, also limited to 1/16 of the descriptors: the connections to clients
# and endpoints leave less than 1/5 of the descriptors.
MAX_CONNECTIONS = 32
LISTEN_BACKLOG = 128
THREAD_STACK_BYTES = 512 * 1024  # below the default, because the relay's memory is limited
# Content types of the responses.
PLAIN_TEXT = "text/plain; charset=utf-8"
METRICS_TEXT = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """What counts of an operator's request. Its headers, which may be thousands, are not kept."""

    method: str
    target: bytes


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response to an operator's request."""

    status: int
    text: str
    content_type: str = PLAIN_TEXT
    allow: str = ""  # value of the Allow header; empty: no such header


Routes = Mapping[str, Mapping[str, Callable[[], AdminResponse]]]  # request handlers by path, then method


def build_routes(
    health: Health, metrics: Metrics, drain: Callable[[], object], undrain: Callable[[], object]
) -> Routes:
    """Return the handlers of all management requests.

    A request to start or end a drain sets the health flag and gets its response at once. The callbacks
    ``drain`` and ``undrain`` must only start the actual work and return without waiting for it.
    """

    def healthcheck() -> AdminResponse:
        return AdminResponse(200, "serving\n") if health.serving else AdminResponse(503, f"{health}\n")

    def stats() -> AdminResponse:
        return AdminResponse(200, metrics.render(), METRICS_TEXT)

    def start_drain() -> AdminResponse:
        health.drained = True
        drain()
        return AdminResponse(200, "draining\n")

    def end_drain() -> AdminResponse:
        health.drained = False
        undrain()
        return AdminResponse(200, "serving again\n")

    return {
        "/healthcheck": {"GET": healthcheck},
        "/stats": {"GET": stats},
        "/healthcheck/fail": {"PUT": start_drain},
        "/healthcheck/ok": {"PUT": end_drain},
    }


class AdminConnection(asyncio.Protocol):
    """Protocol of one operator's connection: reads one request, writes the response, then closes."""

    def __init__(self, admin_server: AdminServer) -> None:
        self.server = admin_server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES)
        self.request: AdminRequest | None = None
        self.received_bytes = 0
        self.responded = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.admit(self)
        self.timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._on_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def abort(self) -> None:
        """Close the connection at once, without a response."""
        self.server.connections.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    def _on_timeout(self) -> None:
        """Respond with 408 to a request that is incomplete; drop a connection that has sent nothing."""
        if self.received_bytes and not self.responded:
            self._send_response(AdminResponse(408, "no whole call in time\n"))
        else:
            self.abort()

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.responded:
            return  # one request per connection: later data is ignored
        if self.received_bytes > MAX_REQUEST_BYTES:
            self._send_response(AdminResponse(413, "too long a call\n"))
            return
        try:
            self.http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._send_response(AdminResponse(error.error_status_hint, "not an HTTP call\n"))

    def _read_events(self) -> None:
        while not self.responded:
            match self.http.next_event():
                case h11.Request() as request:
                    self.request = AdminRequest(request.method.decode("ascii"), request.target)
                    if self.http.they_are_waiting_for_100_continue:
                        continue_response = h11.InformationalResponse(status_code=100, headers=[])
                        self._write(self.http.send(continue_response) or b"")
                case h11.EndOfMessage() if self.request is not None:
                    self._send_response(self.server.handle_request(self.request))
                case h11.Data():
                    pass  # no request uses its body
                case _:
                    return  # the request is incomplete, or the client has disconnected

    def _send_response(self, response: AdminResponse) -> None:
        """Write the response and close the connection."""
        self.responded = True
        body = response.text.encode()
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if response.allow:
            headers.append(("Allow", response.allow))
        data = self.http.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if self.request is None or self.request.method != "HEAD":
            data += self.http.send(h11.Data(data=body)) or b""
        self._write(data)
        if self.transport is not None:
            self.transport.close()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


class AdminServer:
    """Serves the management interface in its own thread.

    ``sockets`` is the limit on sockets of the whole process; a small part of it is used here.
    """

    def __init__(self, routes: Routes, sockets: int) -> None:
        self.routes = routes
        self.max_connections = max(2, min(MAX_CONNECTIONS, sockets // 16))
        self.connections: dict[AdminConnection, None] = {}  # in order of arrival
        self.loop = asyncio.new_event_loop()
        self.closing = asyncio.Event()
        self.thread: threading.Thread | None = None

    def start(self, address: Address) -> tuple[str, int]:
        """Start the thread and return the host and port that the server listens on.

        Port 0 selects a free port. Raises OSError if the address is not available.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        listener = socket.create_server((address.host, address.port), family=family, backlog=LISTEN_BACKLOG)
        bound_address = listener.getsockname()
        previous_stack_size = threading.stack_size(THREAD_STACK_BYTES)
        self.thread = threading.Thread(target=self._run, args=(listener,), name="admin", daemon=True)
        self.thread.start()
        threading.stack_size(previous_stack_size)
        return str(bound_address[0]), int(bound_address[1])

    def _run(self, listener: socket.socket) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._serve(listener))
        self.loop.close()

    async def _serve(self, listener: socket.socket) -> None:
        server = await self.loop.create_server(
            lambda: AdminConnection(self), sock=listener, backlog=LISTEN_BACKLOG
        )
        await self.closing.wait()
        server.close()
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)  # lets the loop close the sockets of the aborted connections

    def close(self) -> None:
        """Stop the server and wait for its thread to end. Does nothing if it is not running."""
        if self.thread is not None:
            self.loop.call_soon_threadsafe(self.closing.set)
            self.thread.join()
            self.thread = None

    def admit(self, connection: AdminConnection) -> None:
        """Register a new connection. At the limit, abort the oldest one first.

        A working client is done within milliseconds, so the oldest connection is one that stays silent.
        """
        if len(self.connections) >= self.max_connections:
            next(iter(self.connections)).abort()
        self.connections[connection] = None

    def handle_request(self, request: AdminRequest) -> AdminResponse:
        """Return the response to a request: 404 for an unknown path, 405 for a method it does not allow."""
        path = request.target.partition(b"?")[0].decode("ascii", "replace")
        methods = self.routes.get(path)
        if methods is None:
            return AdminResponse(404, "no such path\n")
        if request.method not in methods:
            return AdminResponse(405, "no such method here\n", allow=", ".join(methods))
        try:
            return methods[request.method]()
        except Exception:  # the operator gets a response in any case; the log has the cause
            log.exception("management request %s %s failed", request.method, path)
            return AdminResponse(500, "failed\n")
