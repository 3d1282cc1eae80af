"""Calls and probes to hosts over HTTP/1.1, and the connections they travel on.

A connection carries one call at a time and is used again while it is surely good. An exchange that is
written in full and then breaks is a reset; before that it never ran. Nothing is ever sent again from here.
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
IDLE_SHARE = 0.8  # of the host's own idle limit: a call written just as it closes would end as a reset
MOST_HEAD = 16 * 1024
MOST_FIRST_LINE = 200
MOST_ANSWER = 64 * 1024  # beyond this an answer is not worth reading for its connection's sake
# seconds, a trip there and back: so soon breaks a call on what its host had closed
STALE_CONNECTION_WINDOW = 0.1
DELIVERED = re.compile(rb"HTTP/\d\.\d 200(?: [^\r\n]*)?\r?\n")  # a first line that holds, whatever follows
LEAST_LIMIT = 1e-6  # calls a second: a report of less is none, and the time for one call must stay a number
LOCAL_ERRORS = frozenset(
    {  # of connecting: our own machine's doing, which says nothing of the host
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
DRAIN_TIME = 0.5  # seconds for what is left of an answer whose outcome is known


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an exchange ended."""

    status: io.Status
    retry_after: int = 0
    no_slot: bool = False
    finished: bool = False
    report: io.LoadReport | None = None
    stale: bool = False  # a reset that tells of an idle connection, not of its host


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request in HTTP's terms."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""


class Exchange:
    """One call or probe: ``prepare`` gives its request at the last instant, or None to abandon it."""

    def __init__(
        self,
        host: str,
        stop_at: int,
        prepare: Callable[[], HttpRequest | None],
        done: Callable[[Outcome], None],
        written: Callable[[], None] = lambda: None,
        told: Callable[[int], None] = lambda wait: None,
    ) -> None:
        self.endpoint = host
        self.deadline = stop_at
        self.prepare = prepare
        self._done = done
        self.on_written = written  # heard once, when the kernel has taken the request's last byte
        # heard as soon as an answer's head tells a wait: it binds from when it was written
        self.on_retry_after = told
        self.ended = False
        self.connection: Connection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome, once."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self._done(outcome)

    def give_up(self, status: io.Status) -> None:
        """Stop waiting: the connection closes with it. What was not written in full never ran."""
        if self.ended:
            return
        connection = self.connection
        if connection is None:
            if self.opening is not None:
                self.opening.cancel()
            self.finish(Outcome(io.Status.CONNECT_FAILED))
            return
        outcome = connection.settled or Outcome(status if connection.whole else io.Status.CONNECT_FAILED)
        connection.abort()
        if outcome.status is io.Status.TIMEOUT:
            # A machine that vanished keeps its connections open and silent, and resets them once it is back:
            # an unsafe message written to one of them would die of that.
            connection.pool.close_idle_connections(self.endpoint)
        self.finish(outcome)


def parse_report(text: str) -> io.LoadReport | None:
    """The report in a load header or a probe's body; None where there is none or it can't be read."""
    values: dict[str, float] = {}
    for part in text.strip().split(","):
        name, _, value = part.partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError:
            return None
    left, limit = values.get("x0"), values.get("x1")
    if left is None and limit is None or not all(math.isfinite(v) and v >= 0 for v in values.values()):
        return None
    if limit is not None and 0 < limit < LEAST_LIMIT:
        return None
    return io.LoadReport(remaining=left or 0.0, limit=limit or 0.0)


def read_outcome(status: int, headers: list[tuple[bytes, bytes]]) -> Outcome:
    """What an answer's first line and headers say of a call."""
    values = {name.lower(): value.decode("latin-1").strip() for name, value in headers}
    report = parse_report(values[b"x-server-load"]) if b"x-server-load" in values else None
    match status:
        case 200:
            return Outcome(io.Status.OK, finished=True, report=report)
        case 429:
            told = values.get(b"x-backoff-ms", "")
            if not told.isascii() or not told.isdigit() or len(told) > 9:
                return Outcome(io.Status.ERROR, report=report)  # unreadable as the protocol words it
            return Outcome(io.Status.FULL, retry_after=int(told) * 1_000_000, report=report)
        case 503 if values.get(b"x-egress-full") == "1":
            return Outcome(io.Status.MOOT, no_slot=True, report=report)
        case 503:
            return Outcome(io.Status.FULL, report=report)
        case 504:
            return Outcome(io.Status.MOOT, report=report)
        case 410:
            return Outcome(io.Status.MOOT, finished=True, report=report)
    return Outcome(io.Status.ERROR, report=report)  # 500, and whatever else: it may have run


class Connection(BufferedReader):
    """One connection to a host: carries an exchange, stands idle, or is gone."""

    def __init__(self, pool: ConnectionPool, host: str, address: Address) -> None:
        self.pool = pool
        self.buffer = pool.buffer
        self.endpoint = host
        self.address = address
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
        self.exchange: Exchange | None = None
        self.outcome: Outcome | None = None  # of the answer whose body is still coming
        self.received = 0
        self.head = b""  # the answer's first bytes
        self.body = b""
        self.calls = 0
        self.written_at = 0.0
        self.lost_locally = False  # by an error of our own machine
        self.whole: bool = False  # the kernel has taken the last byte of what was asked last
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # pause_writing: not whole yet; resume_writing: whole now
        self.pool.open.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost_locally = isinstance(error, OSError) and error.errno in LOCAL_ERRORS
        self.pool.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.exchange is not None:
            self._finish(self._broken(), keep=False)

    def _broken(self) -> Outcome:
        """The outcome of a call whose answer did not come whole, or can't be read. Broken at once and without
        a byte, where an earlier call was answered: the host had closed the connection while it stood idle.
        Neither that nor an error of our own machine says anything of the host."""
        waited = asyncio.get_running_loop().time() - self.written_at
        stale = self.lost_locally or self.calls > 1 and not self.received and waited < STALE_CONNECTION_WINDOW
        status = io.Status.RESET if self.whole else io.Status.CONNECT_FAILED  # a call in part never ran
        return self.settled or Outcome(status, stale=stale)

    @property
    def settled(self) -> Outcome | None:
        """The outcome, where what has come of the answer decides it: a first line with 200 alone does. Any
        other answer that does not come whole can't be read, and its call may have run."""
        if self.outcome is not None:
            return self.outcome if self.outcome.status is io.Status.OK else None
        return Outcome(io.Status.OK, finished=True) if DELIVERED.match(self.head) else None

    def eof_received(self) -> bool:
        # An answer without a length ends with its connection.
        self.data_received(b"")
        return False

    def is_usable(self, unknown: bool) -> bool:
        """Idle, and nothing (an end, above all) has come on it since: a look at the socket itself, as what
        lies there may not have reached us yet, and a call written behind it would end as a reset.
        ``unknown`` where the kernel cannot say just now."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not has_unread(self.transport, not unknown)

    def resume_writing(self) -> None:
        self.whole = True
        if self.exchange is not None:
            self.exchange.on_written()

    def start(self, exchange: Exchange, ask: HttpRequest) -> None:
        """Write the request."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.exchange, exchange.connection = exchange, self
        self.outcome, self.received, self.head, self.body = None, 0, b"", b""
        self.calls += 1
        self.whole = False
        self.written_at = asyncio.get_running_loop().time()
        headers = [("Host", str(self.address)), *ask.headers]
        data = self.http.send(h11.Request(method=ask.method, target=ask.target, headers=headers)) or b""
        if ask.body:
            data += self.http.send(h11.Data(data=ask.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        assert self.transport is not None
        self.transport.write(data)
        if not self.transport.get_write_buffer_size() and not self.transport.is_closing():
            self.resume_writing()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.abort()  # nothing was asked: whatever this is, the next answer could not be told from it
            return
        self.received += len(data)
        self.head = (self.head + data)[:MOST_FIRST_LINE]
        try:
            self.http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            log.debug("host %s: answer can't be read: %s", self.endpoint, error)
            self._finish(self._broken(), keep=False)
        if self.exchange is not None and self.received > MOST_ANSWER + MOST_HEAD:
            self._finish(self._broken(), keep=False)

    def _read_events(self) -> None:
        while self.exchange is not None:
            event = self.http.next_event()
            match event:
                case h11.Response():
                    self.outcome = read_outcome(event.status_code, list(event.headers))
                    if self.outcome.status is io.Status.ERROR and event.status_code != 500:
                        log.info("host %s: answered %d, taken for an error", self.endpoint, event.status_code)
                    if self.outcome.retry_after:
                        self.exchange.on_retry_after(self.outcome.retry_after)
                    if self.outcome.status is io.Status.OK:
                        # The first line settles it. The connection stays busy until the rest has come.
                        self.exchange.finish(self.outcome)
                        self._expect_rest()
                case h11.Data():
                    self.body += bytes(event.data)
                case h11.EndOfMessage():
                    self._answer_complete()
                case h11.InformationalResponse():
                    self.head = self.http.trailing_data[0][:MOST_FIRST_LINE]
                case h11.ConnectionClosed():
                    self._finish(self._broken(), keep=False)
                case _:
                    return  # more has to come

    def _expect_rest(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(DRAIN_TIME, self.abort)

    def _answer_complete(self) -> None:
        keep = (
            self.whole
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.http.trailing_data[0]
        )
        if keep:
            self.http.start_next_cycle()
        outcome = self.outcome or Outcome(io.Status.RESET)
        if outcome.report is None and self.body and len(self.body) < 200:
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
            self.pool.return_to_pool(self)
        else:
            self.abort()
        if exchange is not None:
            if not keep and outcome.status in (io.Status.RESET, io.Status.TIMEOUT):
                # A host that broke one connection has likely lost the others too.
                self.pool.close_idle_connections(self.endpoint)
            exchange.finish(outcome)

    def shut(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):  # the host was first
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def abort(self) -> None:
        """Close at once: the host takes this for a call given up."""
        self.pool.discard(self)
        self.exchange = None
        if self.transport is not None:
            self.transport.abort()


class ConnectionPool:
    """The connections to all hosts, and the exchanges on them."""

    def __init__(self, settings: io.Settings, most_open: int) -> None:
        self.connect_time = settings.limits.connect_timeout / SECOND or 1.0
        # A host's table is shared by all relays: together they leave idle what one alone might.
        self.idle_time = (
            min(IDLE_SHARE, 1 / settings.relays) * settings.limits.connection_idle_timeout / SECOND
        )
        self.max_connections = most_open
        self.buffer = new_buffer()
        self.addresses: dict[str, Address] = {}
        self.endpoint_started_at: dict[str, int] = {}
        self.open: set[Connection] = set()
        self.idle: dict[str, deque[Connection]] = {}
        self.opening: set[asyncio.Task[None]] = set()
        self.cannot_connect = False  # the latest connection failed by our own machine's doing

    def update_endpoint(self, host: str, address: Address, draining: bool, started: int) -> None:
        """Where a host listens now; connections to elsewhere, to one that drains, or to a process that has
        ended since, are not kept."""
        if (
            draining
            or self.addresses.get(host, address) != address
            or self.endpoint_started_at.get(host, started) != started
        ):
            self.close_idle_connections(host)
        self.addresses[host], self.endpoint_started_at[host] = address, started

    def remove_endpoint(self, host: str) -> None:
        self.addresses.pop(host, None)
        self.endpoint_started_at.pop(host, None)
        self.close_idle_connections(host)

    def start(self, exchange: Exchange) -> None:
        """Start a call or a probe, on an idle connection where there is a good one."""
        loop = asyncio.get_running_loop()
        exchange.timer = loop.call_at(exchange.deadline / SECOND, exchange.give_up, io.Status.TIMEOUT)
        idle = self.idle.get(exchange.endpoint)
        while idle:
            connection = idle.pop()  # the latest used: the others may age and go
            if connection.is_usable(unknown=False):
                self._go(connection, exchange)
                return
            connection.abort()
        address = self.addresses.get(exchange.endpoint)
        if address is None:
            loop.call_soon(exchange.finish, Outcome(io.Status.ABANDONED))
            return
        if len(self.open) + len(self.opening) >= self.max_connections:
            self._close_oldest_idle()
        exchange.opening = task = loop.create_task(self._connect(exchange, address))
        self.opening.add(task)
        task.add_done_callback(self._opened)

    async def _connect(self, exchange: Exchange, address: Address) -> None:
        try:
            async with asyncio.timeout(self.connect_time):
                try:
                    connection = await self._open(exchange.endpoint, address)
                except ConnectionResetError:
                    # It was taken up, then broke, with nothing of the call sent: a host that is down refuses.
                    connection = await self._open(exchange.endpoint, address)
        except (OSError, TimeoutError) as error:
            if error.errno in LOCAL_ERRORS:
                self._cannot_connect(error)
                exchange.finish(Outcome(io.Status.ABANDONED))
                return
            log.info(
                "host %s: no connection, %d open: %s",
                exchange.endpoint,
                sum(one.endpoint == exchange.endpoint for one in self.open),
                str(error) or type(error).__name__,
            )
            exchange.finish(Outcome(io.Status.CONNECT_FAILED))
            return
        self._can_connect()
        if exchange.ended:
            self.return_to_pool(connection)
        elif self.addresses.get(exchange.endpoint) != address:  # it has moved: here may be another
            connection.abort()
            exchange.finish(Outcome(io.Status.ABANDONED))
        else:
            self._go(connection, exchange)

    def _cannot_connect(self, error: OSError) -> None:
        """Said once, not for each call."""
        if not self.cannot_connect:
            log.warning("this machine cannot open connections: %s", error.strerror or error)
        self.cannot_connect = True

    def _can_connect(self) -> None:
        if self.cannot_connect:
            log.info("this machine can open connections again")
        self.cannot_connect = False

    async def _open(self, host: str, address: Address) -> Connection:
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: Connection(self, host, address), address.host, address.port
        )
        if not connection.is_usable(unknown=True):
            connection.abort()  # it broke before we came to run: a call written now would have no outcome
            raise ConnectionResetError("broken as it came up")
        return connection

    def _opened(self, task: asyncio.Task[None]) -> None:
        self.opening.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("opening a connection failed", exc_info=error)

    def _go(self, connection: Connection, exchange: Exchange) -> None:
        ask = exchange.prepare()
        if ask is None:
            self.return_to_pool(connection)
            exchange.finish(Outcome(io.Status.ABANDONED))
            return
        connection.start(exchange, ask)

    def return_to_pool(self, connection: Connection) -> None:
        """Keep a connection for the next call, or not."""
        if (
            connection.transport is None
            or connection.transport.is_closing()
            or self.addresses.get(connection.endpoint) != connection.address
            or self.idle_time <= 0
        ):
            connection.abort()
            return
        if connection.timer is not None:
            connection.timer.cancel()  # of an earlier rest: it would cut off a later call
        self.idle.setdefault(connection.endpoint, deque()).append(connection)
        connection.timer = asyncio.get_running_loop().call_later(self.idle_time, connection.abort)

    def discard(self, connection: Connection) -> None:
        self.open.discard(connection)
        if connection.timer is not None:
            connection.timer.cancel()
        idle = self.idle.get(connection.endpoint)
        if idle and connection in idle:
            idle.remove(connection)

    def close_idle_connections(self, host: str) -> None:
        for connection in self.idle.pop(host, ()):
            connection.abort()

    def close_all_idle_connections(self) -> None:
        for host in list(self.idle):
            self.close_idle_connections(host)

    def close(self) -> None:
        """Drop every connection; what was out on them has no outcome. It is given up before this returns, and
        not in the loop's next turn: another process may send it again as soon as its journal is free."""
        for task in self.opening:
            task.cancel()
        for connection in list(self.open):
            connection.shut()
            connection.abort()

    def _close_oldest_idle(self) -> None:
        for idle in self.idle.values():
            if idle:
                idle[0].abort()
                return


def call_request(ref: str, key: str | None, body: bytes, stop_at: int) -> HttpRequest:
    """A message's call, as the protocol words it."""
    left = max(1, (stop_at - time.monotonic_ns()) // 1_000_000)
    headers = [("X-Request-ID", ref), ("X-Timeout-Ms", str(left)), ("Content-Length", str(len(body)))]
    if key is not None:
        headers.insert(1, ("Idempotency-Key", key))
    return HttpRequest("POST", "/hook", headers, body)


def probe_request(with_report: bool) -> HttpRequest:
    return HttpRequest("GET", "/-/load" if with_report else "/-/healthy", [])
