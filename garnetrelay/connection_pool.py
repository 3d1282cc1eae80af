"""HTTP/1.1 client for calls and probes to endpoints, with keep-alive connections.

A connection carries one exchange at a time and is reused only while it is known to be usable, and not right
after a response: a second copy of it, or other surplus bytes, would be taken for the next response. An
exchange rather waits for a connection to settle than opens another one.

An exchange whose connection breaks after the request was written in full ends as a reset, unless a status
line with 200 has arrived; one that breaks earlier never ran. This module never sends a request twice, but may
connect twice.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import math
import re
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import h11

from garnetrelay.config import Address
from garnetrelay.streams import BufferedReader, has_unread, new_buffer
from starlingwick import interface as io

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
# share of the endpoint's idle timeout after which this side closes, so that no call meets the endpoint's own
# close and ends as a reset
IDLE_TIMEOUT_SHARE = 0.8
MAX_RESPONSE_HEAD_BYTES = 16 * 1024
MAX_STATUS_LINE_BYTES = 200
MAX_REPORT_BYTES = 200  # of a load report in a body; a longer body is none
MAX_RESPONSE_BODY_BYTES = 64 * 1024  # a longer response is not read only to reuse its connection
# seconds, enough for a round trip: a call on a connection that its endpoint had closed breaks within it
STALE_CONNECTION_WINDOW = 0.1
STATUS_200_LINE = re.compile(rb"HTTP/\d\.\d 200(?: [^\r\n]*)?\r?\n")  # decides the outcome, whatever follows
# calls a second; a lower reported limit is ignored, as the interval between calls must stay finite
MIN_REPORTED_RATE_LIMIT = 1e-6
LOCAL_ERRORS = frozenset(
    {  # connect errors caused by the local machine: no sign of the endpoint's health
        errno.EACCES,
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
    }
)
# seconds from the end of a response until its connection may carry the next request: surplus bytes behind a
# response arrive meanwhile and close the connection
SETTLE_TIME = 0.025
MAX_EVENTS_PER_TURN = 32  # parts of one response that are handled in an iteration of the event loop
RESPONSE_DRAIN_TIMEOUT = 0.5  # seconds to receive the remainder of a response whose outcome is known


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of an exchange."""

    status: io.Status
    retry_after: int = 0
    no_slot: bool = False
    finished: bool = False
    report: io.LoadReport | None = None
    # no sign of the endpoint's health: a stale idle connection or an error of the local machine
    stale: bool = False


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""


class Exchange:
    """One call or probe. ``prepare`` builds the request just before the send; None abandons the exchange."""

    def __init__(
        self,
        endpoint: str,
        deadline: int,
        prepare: Callable[[], HttpRequest | None],
        on_finished: Callable[[Outcome], None],
        on_written: Callable[[], None] = lambda: None,
        on_retry_after: Callable[[int], None] = lambda retry_after: None,
    ) -> None:
        self.endpoint = endpoint
        self.deadline = deadline
        self.prepare = prepare
        self._on_finished = on_finished
        self.on_written = on_written  # called once, when the kernel has accepted the last byte of the request
        # Called as soon as a response head has a retry-after: it counts from when the head was written.
        self.on_retry_after = on_retry_after
        self.ended = False
        self.connection: Connection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome; later calls do nothing."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self._on_finished(outcome)

    def give_up(self, status: io.Status) -> None:
        """Stop waiting and close the connection.

        The outcome is the one known already, else ``status``, or CONNECT_FAILED if the request was not
        written in full: such a request never ran.
        """
        if self.ended:
            return
        connection = self.connection
        if connection is None:
            if self.opening is None:
                # It waits for a connection to settle, which is no sign of the endpoint's health.
                self.finish(Outcome(io.Status.ABANDONED))
                return
            self.opening.cancel()
            self.finish(Outcome(io.Status.CONNECT_FAILED))
            return
        outcome = connection.known_outcome or Outcome(
            status if connection.request_written else io.Status.CONNECT_FAILED
        )
        connection.abort()
        if outcome.status is io.Status.TIMEOUT:
            # Connections to a machine that disappeared stay open without a response and are reset once it is
            # back: an unsafe message that was written to one of them would fail.
            connection.pool.close_idle_connections(self.endpoint)
        self.finish(outcome)


def parse_report(text: str) -> io.LoadReport | None:
    """Parse a load report from a header or a probe's response body; None if it is missing or malformed."""
    values: dict[str, float] = {}
    for field in text.strip().split(","):
        name, _, value = field.partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError:
            return None
    remaining, limit = values.get("x0"), values.get("x1")
    if (
        remaining is None
        and limit is None
        or not all(math.isfinite(number) and number >= 0 for number in values.values())
    ):
        return None
    if limit is not None and 0 < limit < MIN_REPORTED_RATE_LIMIT:
        return None
    return io.LoadReport(remaining=remaining or 0.0, limit=limit or 0.0)


def read_outcome(status: int, headers: list[tuple[bytes, bytes]]) -> Outcome:
    """Return the outcome that a response's status and headers stand for."""
    values = {name.lower(): value.decode("latin-1").strip() for name, value in headers}
    report = parse_report(values[b"x-server-load"]) if b"x-server-load" in values else None
    match status:
        case 200:
            return Outcome(io.Status.OK, finished=True, report=report)
        case 429:
            retry_after_ms = values.get(b"x-backoff-ms", "")
            if not retry_after_ms.isascii() or not retry_after_ms.isdigit() or len(retry_after_ms) > 9:
                return Outcome(io.Status.ERROR, report=report)  # malformed X-Backoff-Ms
            return Outcome(io.Status.FULL, retry_after=int(retry_after_ms) * 1_000_000, report=report)
        case 503 if values.get(b"x-egress-full") == "1":
            return Outcome(io.Status.MOOT, no_slot=True, report=report)
        case 503:
            return Outcome(io.Status.FULL, report=report)
        case 504:
            return Outcome(io.Status.MOOT, report=report)
        case 410:
            return Outcome(io.Status.MOOT, finished=True, report=report)
    return Outcome(io.Status.ERROR, report=report)  # 500 or any other status: the call may have run


class Connection(BufferedReader):
    """A connection to an endpoint: carrying an exchange, idle or closed."""

    def __init__(self, pool: ConnectionPool, endpoint: str, address: Address) -> None:
        self.pool = pool
        self.buffer = pool.buffer
        self.endpoint = endpoint
        self.address = address
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
        self.exchange: Exchange | None = None
        self.outcome: Outcome | None = None  # of a response whose body is incomplete
        self.received_bytes = 0
        self.head = b""  # the first bytes of the response
        self.body = b""  # its first bytes, as a report may be there
        self.exchange_count = 0
        self.written_at = 0.0
        self.settled_at = 0.0  # from then on surplus bytes of the latest response are not expected any more
        self.has_unhandled_events: bool = False  # parts of the response, left for the next iteration
        self.lost_by_local_error = False  # closed by an error of the local machine
        self.request_written: bool = False  # the kernel has accepted the last byte of the latest request
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # resume_writing is called once all is written
        self.pool.open.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost_by_local_error = isinstance(error, OSError) and error.errno in LOCAL_ERRORS
        self.pool.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        while self.has_unhandled_events:
            self._handle_events()
        if self.exchange is not None:
            self._finish(self._incomplete_response_outcome(), keep=False)

    def _incomplete_response_outcome(self) -> Outcome:
        """Return the outcome of a call whose response is incomplete or malformed.

        A reused connection that breaks at once without a byte had been closed by the endpoint while it was
        idle. Neither that nor an error of the local machine is a sign of the endpoint's health.
        """
        waited = asyncio.get_running_loop().time() - self.written_at
        stale = (
            self.lost_by_local_error
            or self.exchange_count > 1
            and not self.received_bytes
            and waited < STALE_CONNECTION_WINDOW
        )
        # A partial request never ran.
        status = io.Status.RESET if self.request_written else io.Status.CONNECT_FAILED
        return self.known_outcome or Outcome(status, stale=stale)

    @property
    def known_outcome(self) -> Outcome | None:
        """The outcome if the bytes received so far decide it, else None.

        Only a status line with 200 does. Any other incomplete response is unusable: its call may have run.
        """
        if self.outcome is not None:
            return self.outcome if self.outcome.status is io.Status.OK else None
        return Outcome(io.Status.OK, finished=True) if STATUS_200_LINE.match(self.head) else None

    def eof_received(self) -> bool:
        # A response without a length ends when the connection closes.
        self.data_received(b"")
        return False

    def is_usable(self, fallback: bool) -> bool:
        """Return whether the connection is open and has no unread input, EOF included.

        Polls the socket itself, as the event loop may not have read the input yet, and a call written after
        it would end as a reset. Returns ``fallback`` if the socket cannot be polled.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return not has_unread(self.transport, not fallback)

    def resume_writing(self) -> None:
        self.request_written = True
        if self.exchange is not None:
            self.exchange.on_written()

    def start(self, exchange: Exchange, request: HttpRequest) -> None:
        """Write ``request`` and wait for its response."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.exchange, exchange.connection = exchange, self
        self.outcome, self.received_bytes, self.head, self.body = None, 0, b"", b""
        self.exchange_count += 1
        self.request_written = False
        self.written_at = asyncio.get_running_loop().time()
        headers = [("Host", str(self.address)), *request.headers]
        data = (
            self.http.send(h11.Request(method=request.method, target=request.target, headers=headers)) or b""
        )
        if request.body:
            data += self.http.send(h11.Data(data=request.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        assert self.transport is not None
        self.transport.write(data)
        if not self.transport.get_write_buffer_size() and not self.transport.is_closing():
            self.resume_writing()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self._on_surplus(data)
            return
        self.received_bytes += len(data)
        self.head = (self.head + data)[:MAX_STATUS_LINE_BYTES]
        try:
            self.http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._on_malformed_response(error)
        else:
            self._handle_events()

    def _on_malformed_response(self, error: h11.RemoteProtocolError) -> None:
        log.debug("endpoint %s: malformed response: %s", self.endpoint, error)
        self._finish(self._incomplete_response_outcome(), keep=False)

    def _handle_events(self) -> None:
        """Handle parts of the response, and leave the rest of many for the next event loop iteration."""
        try:
            self.has_unhandled_events = self._read_events()
        except h11.RemoteProtocolError as error:
            self.has_unhandled_events = False
            self._on_malformed_response(error)
        if self.transport is None or self.transport.is_closing():
            return
        if self.has_unhandled_events:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._handle_remaining_events)
            return
        self.transport.resume_reading()
        if (
            self.exchange is not None
            and self.received_bytes > MAX_RESPONSE_BODY_BYTES + MAX_RESPONSE_HEAD_BYTES
        ):
            self._finish(self._incomplete_response_outcome(), keep=False)

    def _handle_remaining_events(self) -> None:
        if self.has_unhandled_events:  # not handled meanwhile, as the connection was lost
            self._handle_events()

    def _on_surplus(self, data: bytes) -> None:
        """Close the connection: input without a request could be taken for the next response."""
        if data:
            self.pool.surplus_count += 1
            log.debug("endpoint %s: %d bytes behind a response", self.endpoint, len(data))
        self.abort()

    def _read_events(self) -> bool:
        """Handle up to ``MAX_EVENTS_PER_TURN`` parts of the response. Return whether more may be there."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if self.exchange is None:
                return False
            event = self.http.next_event()
            match event:
                case h11.Response():
                    self.outcome = read_outcome(event.status_code, list(event.headers))
                    if self.outcome.status is io.Status.ERROR and event.status_code != 500:
                        log.info(
                            "endpoint %s: answered %d, taken for an error", self.endpoint, event.status_code
                        )
                    if self.outcome.retry_after:
                        self.exchange.on_retry_after(self.outcome.retry_after)
                    if self.outcome.status is io.Status.OK:
                        # The status line decides it. The connection stays busy until the body is complete.
                        self.exchange.finish(self.outcome)
                        self._start_drain_timer()
                case h11.Data():
                    self.body = (self.body + bytes(event.data))[:MAX_REPORT_BYTES]
                case h11.EndOfMessage():
                    self._on_response_complete()
                case h11.InformationalResponse():
                    self.head = self.http.trailing_data[0][:MAX_STATUS_LINE_BYTES]
                case h11.ConnectionClosed():
                    self._finish(self._incomplete_response_outcome(), keep=False)
                case _:
                    return False  # more input is needed
        return self.exchange is not None

    def _start_drain_timer(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(RESPONSE_DRAIN_TIMEOUT, self.abort)

    def _on_response_complete(self) -> None:
        keep = (
            self.request_written
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.http.trailing_data[0]
        )
        if keep:
            self.http.start_next_cycle()
        outcome = self.outcome or Outcome(io.Status.RESET)
        if outcome.report is None and self.body and len(self.body) < MAX_REPORT_BYTES:
            outcome = Outcome(
                outcome.status,
                outcome.retry_after,
                outcome.no_slot,
                outcome.finished,
                parse_report(self.body.decode("latin-1")),
            )
        self._finish(outcome, keep)

    def _finish(self, outcome: Outcome, keep: bool) -> None:
        exchange, self.exchange = self.exchange, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if keep:
            self.settled_at = asyncio.get_running_loop().time() + SETTLE_TIME
            self.pool.return_to_pool(self)
        else:
            self.abort()
        if exchange is not None:
            if not keep and outcome.status in (io.Status.RESET, io.Status.TIMEOUT):
                # An endpoint that broke one connection has likely lost the others too.
                self.pool.close_idle_connections(self.endpoint)
            exchange.finish(outcome)

    def shut_down_socket(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):  # already closed by the endpoint
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def abort(self) -> None:
        """Close at once; if a call is in flight, the endpoint sees it as cancelled."""
        self.pool.discard(self)
        self.exchange = None
        if self.transport is not None:
            self.transport.abort()


class ConnectionPool:
    """The connections to all endpoints and the exchanges on them."""

    def __init__(self, settings: io.Settings, max_connections: int) -> None:
        # 1 s if the settings give none
        self.connect_timeout_seconds = settings.limits.connect_timeout / SECOND or 1.0
        # All relays share an endpoint's connection table: with idle times divided by their number they keep
        # together as many idle connections as one relay alone may.
        self.idle_timeout_seconds = (
            min(IDLE_TIMEOUT_SHARE, 1 / settings.relays) * settings.limits.connection_idle_timeout / SECOND
        )
        self.max_connections = max_connections
        self.buffer = new_buffer()
        self.addresses: dict[str, Address] = {}
        self.endpoint_started_at: dict[str, int] = {}
        self.open: set[Connection] = set()
        self.idle: dict[str, deque[Connection]] = {}
        self.opening: set[asyncio.Task[None]] = set()
        self.closed = False
        # connections closed since the last report because bytes came behind a response
        self.surplus_count = 0
        self.local_connect_error = False  # the latest connect failed by an error of the local machine

    def update_endpoint(self, endpoint: str, address: Address, draining: bool, started: int) -> None:
        """Set an endpoint's address and the start time of its process.

        Closes idle connections to a draining endpoint, to a former address or to a process that has ended.
        """
        if (
            draining
            or self.addresses.get(endpoint, address) != address
            or self.endpoint_started_at.get(endpoint, started) != started
        ):
            self.close_idle_connections(endpoint)
        self.addresses[endpoint], self.endpoint_started_at[endpoint] = address, started

    def remove_endpoint(self, endpoint: str) -> None:
        self.addresses.pop(endpoint, None)
        self.endpoint_started_at.pop(endpoint, None)
        self.close_idle_connections(endpoint)

    def start(self, exchange: Exchange) -> None:
        """Start a call or a probe, on an idle connection if there is one, be it one that has to settle."""
        loop = asyncio.get_running_loop()
        exchange.timer = loop.call_at(exchange.deadline / SECOND, exchange.give_up, io.Status.TIMEOUT)
        self._dispatch(exchange)

    def _dispatch(self, exchange: Exchange) -> None:
        """Find a connection for an exchange: an idle one, one that settles soon, or a new one."""
        loop = asyncio.get_running_loop()
        connection = self._take_idle_connection(exchange.endpoint)
        if connection is not None:
            self._send_request(connection, exchange)
            return
        connection = self._take_settling_connection(exchange.endpoint)
        if connection is not None:
            loop.call_at(connection.settled_at, self._send_settled, connection, exchange)
            return
        address = self.addresses.get(exchange.endpoint)
        if address is None:
            loop.call_soon(exchange.finish, Outcome(io.Status.ABANDONED))
            return
        if len(self.open) + len(self.opening) >= self.max_connections:
            self._close_one_idle_connection()
        exchange.opening = task = loop.create_task(self._connect(exchange, address))
        self.opening.add(task)
        task.add_done_callback(self._on_connect_task_done)

    def _take_idle_connection(self, endpoint: str) -> Connection | None:
        """Return the most recently used connection that has settled, as the others may reach their idle
        timeout; None if there is none. Closes those that turn out to be unusable."""
        now = asyncio.get_running_loop().time()
        for connection in reversed(list(self.idle.get(endpoint, ()))):
            if connection.settled_at > now:
                continue
            self.idle[endpoint].remove(connection)
            if connection.is_usable(fallback=False):
                return connection
            connection.abort()
        return None

    def _take_settling_connection(self, endpoint: str) -> Connection | None:
        """Return the idle connection that settles first; None if there is none."""
        idle = self.idle.get(endpoint)
        return idle.popleft() if idle else None

    def _send_settled(self, connection: Connection, exchange: Exchange) -> None:
        """Send an exchange that has waited for its connection to settle, on another one if it was closed."""
        if self.closed:
            return
        if exchange.ended:
            self.return_to_pool(connection)
        elif self.addresses.get(connection.endpoint) == connection.address and connection.is_usable(False):
            self._send_request(connection, exchange)
        else:
            connection.abort()
            self._dispatch(exchange)

    async def _connect(self, exchange: Exchange, address: Address) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout_seconds):
                try:
                    connection = await self._open_connection(exchange.endpoint, address)
                except ConnectionResetError:
                    # Reset after it was accepted and before any byte of the call was sent: an endpoint that
                    # is down refuses connections.
                    connection = await self._open_connection(exchange.endpoint, address)
        except (OSError, TimeoutError) as error:
            if error.errno in LOCAL_ERRORS:
                self._on_local_connect_error(error)
                exchange.finish(Outcome(io.Status.ABANDONED))
                return
            log.info(
                "endpoint %s: connect failed, %d connections open: %s",
                exchange.endpoint,
                sum(open_connection.endpoint == exchange.endpoint for open_connection in self.open),
                str(error) or type(error).__name__,
            )
            exchange.finish(Outcome(io.Status.CONNECT_FAILED))
            return
        self._on_connected()
        if exchange.ended:
            self.return_to_pool(connection)
        elif self.addresses.get(exchange.endpoint) != address:
            # The endpoint moved meanwhile: another endpoint may listen at this address.
            connection.abort()
            exchange.finish(Outcome(io.Status.ABANDONED))
        else:
            self._send_request(connection, exchange)

    def _on_local_connect_error(self, error: OSError) -> None:
        """Log the first of a series of local errors, not one for each call."""
        if not self.local_connect_error:
            log.warning(
                "cannot open connections to endpoints, error of this machine: %s", error.strerror or error
            )
        self.local_connect_error = True

    def _on_connected(self) -> None:
        if self.local_connect_error:
            log.info("connections can be opened again")
        self.local_connect_error = False

    async def _open_connection(self, endpoint: str, address: Address) -> Connection:
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: Connection(self, endpoint, address), address.host, address.port
        )
        if not connection.is_usable(fallback=True):
            # It broke before this task resumed. Its ``connection_lost`` may be over: an exchange begun now
            # would get no outcome.
            connection.abort()
            raise ConnectionResetError("connection reset right after it was established")
        return connection

    def _on_connect_task_done(self, task: asyncio.Task[None]) -> None:
        self.opening.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("opening a connection failed", exc_info=error)

    def _send_request(self, connection: Connection, exchange: Exchange) -> None:
        request = exchange.prepare()
        if request is None:
            self.return_to_pool(connection)
            exchange.finish(Outcome(io.Status.ABANDONED))
            return
        connection.start(exchange, request)

    def return_to_pool(self, connection: Connection) -> None:
        """Keep a connection open for the next call, or close it if it cannot be reused."""
        if (
            connection.transport is None
            or connection.transport.is_closing()
            or self.addresses.get(connection.endpoint) != connection.address
            or self.idle_timeout_seconds <= 0
        ):
            connection.abort()
            return
        if connection.timer is not None:
            connection.timer.cancel()  # an earlier idle timer would abort a later call
        self.idle.setdefault(connection.endpoint, deque()).append(connection)
        connection.timer = asyncio.get_running_loop().call_later(self.idle_timeout_seconds, connection.abort)

    def discard(self, connection: Connection) -> None:
        self.open.discard(connection)
        if connection.timer is not None:
            connection.timer.cancel()
        idle = self.idle.get(connection.endpoint)
        if idle and connection in idle:
            idle.remove(connection)

    def close_idle_connections(self, endpoint: str) -> None:
        for connection in self.idle.pop(endpoint, ()):
            connection.abort()

    def close_all_idle_connections(self) -> None:
        for endpoint in list(self.idle):
            self.close_idle_connections(endpoint)

    def close(self) -> None:
        """Close every connection; calls in flight get no outcome.

        The sockets are shut down before this returns, not in the next event loop iteration: another process
        may send the same calls again as soon as the journal's lock is free.
        """
        self.closed = True
        for task in self.opening:
            task.cancel()
        for connection in list(self.open):
            connection.shut_down_socket()
            connection.abort()

    def _close_one_idle_connection(self) -> None:
        """Close the oldest idle connection to one of the endpoints, to make room."""
        for idle in self.idle.values():
            if idle:
                idle[0].abort()
                return


def call_request(message_id: str, key: str | None, body: bytes, deadline: int) -> HttpRequest:
    """Return the HTTP request for a message."""
    time_left_ms = max(1, (deadline - time.monotonic_ns()) // 1_000_000)
    headers = [
        ("X-Request-ID", message_id),
        ("X-Timeout-Ms", str(time_left_ms)),
        ("Content-Length", str(len(body))),
    ]
    if key is not None:
        headers.insert(1, ("Idempotency-Key", key))
    return HttpRequest("POST", "/hook", headers, body)


def probe_request(with_report: bool) -> HttpRequest:
    return HttpRequest("GET", "/-/load" if with_report else "/-/healthy", [])
