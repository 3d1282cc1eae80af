"""Stand-ins for destinations: HTTP/1.1 endpoints that share a rate limit, fail, and recover in slow start.

Each endpoint of a destination with traffic listens on its own loopback address, so that the kernel refuses
connections during an outage. One server answers on all of them. Not modelled: an endpoint's limit on
connections, and the cost of opening one.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import logging
import math
import select
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

import numpy as np
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from fleetlab.fleet import (
    DRAIN_GRACE,
    KINDS,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW,
    SERVICE_SPREAD,
    SLOW_START_DURATION,
    START_CAPACITY,
    Destination,
    Endpoint,
    OutageKind,
)
from fleetlab.ledger import Entry, Ledger, Rule, Timed

log = logging.getLogger(__name__)

HOLLOW_HEADER = "X-Lab-Relay"  # name of a hollow relay; a real relay is identified by the message id
MAX_BODY_BYTES = 64 * 1024
WAIT_GRACE = 0.1  # seconds after a retry-after answer in which calls are still allowed
TIMING_TOLERANCE = 0.25  # seconds by which this process itself may be late
MAX_HANDLERS = 256  # per endpoint, before those of closed connections are dropped
RATE_WINDOW = 1.0  # seconds in which an authority counts calls


class Verdict(enum.Enum):
    """Outcome of a call at a destination."""

    SERVED = "served"
    LIMITED = "limited"  # above the rate limit
    UNAVAILABLE = "shut"  # in an outage, or down after an overload
    ERROR = "error"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict on one call, with the retry-after wait to answer, if any."""

    verdict: Verdict
    wait_ms: int = 0  # retry-after; 0 if none is sent


class DestinationStandIn:
    """Model of one destination: rate limit, outages and slow start. Uses no sockets; callers pass the time.

    An ``authority`` counts the calls in each window of 1 s, throttled ones included. A ``trade-partner``
    has a token bucket that throttled calls do not drain. A silent one still accepts connections, like a
    hung process.

    After an outage it has ``START_CAPACITY`` of its capacity, and all of it after ``SLOW_START_DURATION``. If
    it gets more than N + 2 sqrt(N) + 2 calls within ``OVERLOAD_WINDOW``, N being ``OVERLOAD_MULTIPLE`` times
    the calls that it can serve in that window, it is overloaded and stays down.
    """

    def __init__(self, destination: Destination, rng: np.random.Generator) -> None:
        self.destination = destination
        self.rng = rng
        self.calls_by_relay: Counter[str] = Counter()  # all calls and probes, in and out of outages
        self.verdicts: Counter[Verdict] = Counter()
        self.in_flight: Counter[str] = Counter()  # by relay, calls being served
        self.outage: OutageKind | None = None
        self.outage_until = math.inf
        self.latest_outage = OutageKind.REFUSED  # kind of the latest outage
        self.recovered_at = 0.0  # end of the latest outage
        self.recovering_since: float | None = None
        self.overloaded = False
        self.overloaded_by_informed = False
        self._tokens = destination.burst
        self._filled_at = 0.0
        self._window = -1
        self._calls_in_window = 0
        # Relays that saw a failure in the latest outage. Refused connections are invisible here, so the set
        # may miss relays but never holds one wrongly.
        self._informed_relays: set[str] = set()
        self._recent: deque[tuple[float, str]] = deque()  # time and relay of calls during slow start

    def begin_outage(self, kind: OutageKind, until: float) -> None:
        """Start an outage that lasts until ``until``."""
        if self.outage is None:
            # Their calls in flight fail.
            self._informed_relays = {relay for relay, calls in self.in_flight.items() if calls}
        self.outage, self.outage_until, self.recovering_since = kind, until, None
        self.latest_outage = kind

    def recover(self, now: float) -> None:
        """End the outage and begin slow start. Does nothing after an overload: it stays down."""
        if not self.overloaded:
            self.outage, self.outage_until = None, math.inf
            self.recovering_since = self.recovered_at = now
            self._recent.clear()
            self._tokens, self._filled_at = 1.0, now

    def capacity(self, now: float) -> float:
        """Return the calls per second that it could serve now if it were up."""
        if self.recovering_since is None:
            return self.destination.capacity
        progress = min(1.0, (now - self.recovering_since) / SLOW_START_DURATION)
        return self.destination.capacity * (START_CAPACITY + (1 - START_CAPACITY) * progress)

    def handle_call(self, relay: str, now: float) -> Decision:
        """Decide on a call or probe that has arrived completely."""
        self.calls_by_relay[relay] += 1
        decision = self._decide(relay, now)
        self.verdicts[decision.verdict] += 1
        if self.outage is not None:
            self._informed_relays.add(relay)
        return decision

    def _decide(self, relay: str, now: float) -> Decision:
        if self.outage is None and self.recovering_since is not None:
            self._check_overload(relay, now)
        if self.overloaded:
            return Decision(Verdict.UNAVAILABLE)
        match self.outage:
            case OutageKind.SILENT | OutageKind.REFUSED:
                return Decision(Verdict.SILENT)
            case OutageKind.UNAVAILABLE:
                return Decision(Verdict.UNAVAILABLE)
            case OutageKind.RETRY_AFTER:
                return Decision(Verdict.UNAVAILABLE, max(1, math.ceil((self.outage_until - now) * 1000)))
            case OutageKind.ERRORS:
                return Decision(Verdict.ERROR)
        wait = self._over_limit(now)
        if not wait:
            return Decision(Verdict.SERVED)
        sends_wait = self.rng.random() < self.destination.retry_after_share
        return Decision(Verdict.LIMITED, math.ceil(wait * 1000) if sends_wait else 0)

    def _over_limit(self, now: float) -> float:
        """Return the seconds until the rate limit allows a call; 0 if it allows one now."""
        rate = min(self.destination.limit, self.capacity(now))
        if self.destination.kind == KINDS[0]:
            window = int(now / RATE_WINDOW)
            if window != self._window:
                self._window, self._calls_in_window = window, 0
            self._calls_in_window += 1
            return (
                0.0
                if self._calls_in_window <= max(1.0, rate * RATE_WINDOW)
                else max(0.001, (window + 1) * RATE_WINDOW - now)
            )
        self._tokens = min(self.destination.burst, self._tokens + (now - self._filled_at) * rate)
        self._filled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return max((1 - self._tokens) / rate, float(self.rng.uniform(0.22, 0.97)))

    def _check_overload(self, relay: str, now: float) -> None:
        """Detect overload during slow start; throttled calls count, too."""
        assert self.recovering_since is not None
        if now >= self.recovering_since + SLOW_START_DURATION:
            self.recovering_since = None
            self._recent.clear()
            return
        recent = self._recent
        recent.append((now, relay))
        while recent[0][0] < now - OVERLOAD_WINDOW:
            recent.popleft()
        if len(recent) > overload_threshold(self.capacity(now)):
            self.overloaded = True
            informed_calls = sum(name in self._informed_relays for _, name in recent)
            self.overloaded_by_informed = informed_calls >= 2 / 3 * len(recent)


@dataclass(slots=True, eq=False)
class Listener:
    """One endpoint's listening address and its connections."""

    endpoint: Endpoint
    stand_in: DestinationStandIn
    address: str = ""
    server: asyncio.Server | None = None
    handlers: list[RequestHandler] = field(default_factory=list)

    def accept(self, handler: RequestHandler) -> RequestHandler:
        """Keep a connection's handler; drop those of closed connections at ``MAX_HANDLERS``."""
        if len(self.handlers) >= MAX_HANDLERS:
            self.handlers = [old for old in self.handlers if old.transport is not None]
        self.handlers.append(handler)
        return handler


class Endpoints:
    """All endpoints that receive traffic.

    ``last_status`` takes the names of a relay and an endpoint and returns the first status after Ready
    that discovery sent to the relay for the endpoint, and the time at which it did; None if it is Ready.
    """

    def __init__(
        self,
        ledger: Ledger,
        seeds: list[np.random.SeedSequence],
        last_status: Callable[[str, str], tuple[str, float] | None] = lambda relay, name: None,
    ) -> None:
        self.ledger = ledger
        self.last_status = last_status
        self.stand_ins: dict[int, DestinationStandIn] = {}
        self.listeners: dict[str, Listener] = {}
        self.probes = 0
        self.unread_responses = 0  # served calls whose relay had closed the connection
        self._seeds = iter(seeds)
        self._by_destination: dict[int, dict[str, Listener]] = {}
        self._by_address: dict[tuple[str, int], Listener] = {}
        # Relay by connection, to attribute probes.
        self._relays: WeakKeyDictionary[asyncio.Transport, str] = WeakKeyDictionary()
        self._in_flight: dict[str, list[asyncio.Transport]] = {}  # by message id: connections of its calls
        # (relay, destination) to (sent at, until).
        self._waits: dict[tuple[str, int], tuple[float, float]] = {}
        self._closing = asyncio.Event()  # set at shutdown
        self._server = web.Server(self._handle, access_log=None, keepalive_timeout=10, max_field_size=16384)
        self._endpoint_count = 0

    async def open(
        self, destination: Destination, rng: np.random.Generator | None = None
    ) -> DestinationStandIn:
        """Listen for calls to all endpoints of a destination."""
        if rng is None:
            rng = np.random.Generator(np.random.PCG64(next(self._seeds)))
        stand_in = self.stand_ins[destination.number] = DestinationStandIn(destination, rng)
        for endpoint in destination.endpoints:
            await self.add(endpoint)
        return stand_in

    async def add(self, endpoint: Endpoint) -> str:
        """Add an endpoint to a destination that is open, and return its address."""
        listener = Listener(endpoint, self.stand_ins[endpoint.destination])
        number, self._endpoint_count = self._endpoint_count, self._endpoint_count + 1
        host = f"127.{1 + (number >> 16 & 63)}.{number >> 8 & 255}.{number & 255 or 1}"
        await self._listen(listener, host, 0)
        self.listeners[endpoint.name] = listener
        self._by_destination.setdefault(endpoint.destination, {})[endpoint.name] = listener
        return listener.address

    def remove(self, name: str) -> None:
        """Remove an endpoint: reset its connections and refuse new ones."""
        listener = self.listeners.pop(name, None)
        if listener is not None:
            self._close_listener(listener)
            host, _, port = listener.address.rpartition(":")
            self._by_address.pop((host, int(port)), None)
            del self._by_destination[listener.endpoint.destination][name]

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses by endpoint name."""
        return {name: listener.address for name, listener in self.listeners.items()}

    async def _listen(self, listener: Listener, host: str, port: int) -> None:
        listener.server = await asyncio.get_running_loop().create_server(
            lambda: listener.accept(self._server()), host, port, backlog=1024
        )
        bound = listener.server.sockets[0].getsockname()
        listener.address = f"{bound[0]}:{bound[1]}"
        self._by_address[bound[0], bound[1]] = listener

    def _close_listener(self, listener: Listener) -> None:
        if listener.server is not None:
            listener.server.close()
            listener.server = None
        self._reset_connections(listener)

    def _reset_connections(self, listener: Listener) -> None:
        for transport in self._connections(listener):
            transport.abort()

    def _connections(self, listener: Listener) -> list[asyncio.Transport]:
        """Return the endpoint's open connections."""
        return [handler.transport for handler in listener.handlers if handler.transport is not None]

    # ---- outages

    def begin_outage(self, number: int, kind: OutageKind, until: float) -> None:
        """Begin a destination's outage; ``until`` is in monotonic seconds."""
        stand_in = self.stand_ins[number]
        if stand_in.outage is not None or stand_in.overloaded:
            return
        stand_in.begin_outage(kind, until)
        if kind is OutageKind.REFUSED:
            for listener in self._listeners_of(number):
                self._close_listener(listener)

    async def recover(self, number: int, now: float) -> None:
        """End a destination's outage. Connections that it kept open without an answer are reset."""
        stand_in = self.stand_ins[number]
        if stand_in.outage in (OutageKind.SILENT, OutageKind.REFUSED):
            for listener in self._listeners_of(number):
                self._reset_connections(listener)
        stand_in.recover(now)
        for listener in self._listeners_of(number):
            if listener.server is None and not stand_in.overloaded:
                host, _, port = listener.address.rpartition(":")
                await self._listen(listener, host, int(port))

    def _listeners_of(self, number: int) -> list[Listener]:
        return list(self._by_destination.get(number, {}).values())

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._closing.set()
        for listener in self.listeners.values():
            self._close_listener(listener)
        await self._server.shutdown(0.5)

    # ---- HTTP

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is None:
            return web.Response(status=503)
        listener = self._by_address.get(transport.get_extra_info("sockname")[:2])
        if listener is None:
            transport.abort()
            return web.Response(status=503)
        if request.method == "GET" and request.path in ("/-/healthy", "/-/load"):
            return await self._probe(request, listener, transport)
        if request.method != "POST" or request.path != "/hook":
            return web.Response(status=404)
        body = await request.read()
        now = time.monotonic()
        relay = request.headers.get(HOLLOW_HEADER)
        if relay is not None:
            return await self._call(request, listener, transport, relay, None, now)
        message_id = request.headers.get("X-Request-ID", "")
        entry = self.ledger.entries.get(message_id)
        if entry is None:
            self.ledger.record_violation(Rule.UNKNOWN, f"{message_id!r} at {listener.endpoint.name}")
            return web.Response(status=400)
        if entry.in_flight and not self._all_hung_up(entry.message_id):
            self.ledger.record_violation(
                Rule.TWO_OUT, f"{message_id} at {entry.relay}, to {listener.endpoint.name}"
            )
        self.ledger.record_attempt(
            entry, listener.endpoint.destination, request.headers.get("Idempotency-Key"), body, now
        )
        self._check_timing(entry.relay, listener, now)
        self._in_flight.setdefault(message_id, []).append(transport)
        try:
            return await self._call(request, listener, transport, entry.relay, entry, now)
        finally:
            entry.in_flight -= 1
            self._in_flight[message_id].remove(transport)
            if not self._in_flight[message_id]:
                del self._in_flight[message_id]

    def _all_hung_up(self, message_id: str) -> bool:
        """Return whether the relay has closed all connections with calls in flight, as the kernel sees it."""
        return all(peer_closed(transport) for transport in self._in_flight.get(message_id, ()))

    def _check_timing(self, relay: str, listener: Listener, now: float) -> None:
        """Check a call against the drain grace period and the retry-after wait."""
        last_status = self.last_status(relay, listener.endpoint.name)
        if last_status is not None and now > last_status[1] + DRAIN_GRACE + TIMING_TOLERANCE:
            self.ledger.record_violation(
                Timed.DRAIN,
                f"{relay} to {listener.endpoint.name}, {now - last_status[1]:.3f} s after {last_status[0]}",
            )
        written, until = self._waits.get((relay, listener.endpoint.destination), (0.0, 0.0))
        if written + WAIT_GRACE + TIMING_TOLERANCE < now < until - TIMING_TOLERANCE:
            early = until - now
            self.ledger.record_violation(
                Timed.WAIT,
                f"{relay} to destination {listener.endpoint.destination}, {early:.3f} s before its end",
            )

    def forget_waits(self, relay: str) -> None:
        """Drop a relay's retry-after waits: they end with a restart."""
        for pair in [pair for pair in self._waits if pair[0] == relay]:
            del self._waits[pair]

    async def _call(
        self,
        request: web.BaseRequest,
        listener: Listener,
        transport: asyncio.Transport,
        relay: str,
        entry: Entry | None,
        now: float,
    ) -> web.StreamResponse:
        self._relays[transport] = relay
        stand_in = listener.stand_in
        decision = self._handle_call(stand_in, relay, now)
        match decision.verdict:
            case Verdict.SERVED:
                if entry is not None:
                    self.ledger.record_possible_execution(entry, now)
                seconds = stand_in.destination.service * float(stand_in.rng.lognormal(0, SERVICE_SPREAD))
                stand_in.in_flight[relay] += 1
                try:
                    await self._sleep(seconds)
                finally:
                    stand_in.in_flight[relay] -= 1
                if stand_in.outage in (OutageKind.SILENT, OutageKind.REFUSED):
                    return await self._withhold_response(transport)
                if peer_closed(transport):
                    self.unread_responses += 1
                    return web.Response(status=200)
                response = await self._answer(request, 200)
                if entry is not None:
                    self.ledger.record_response(entry, time.monotonic())
                return response
            case Verdict.ERROR:
                if entry is not None:
                    self.ledger.record_possible_execution(entry, now)
                await self._sleep(0.2 * stand_in.destination.service)
                return web.Response(status=500)
            case Verdict.SILENT:
                if entry is not None:
                    self.ledger.record_possible_execution(entry, now)
                return await self._withhold_response(transport)
        if not decision.wait_ms:
            return web.Response(status=503)
        self._waits[relay, listener.endpoint.destination] = (now, now + decision.wait_ms / 1000)
        return web.Response(status=429, headers={"X-Backoff-Ms": str(decision.wait_ms)})

    def _handle_call(self, stand_in: DestinationStandIn, relay: str, now: float) -> Decision:
        overloaded = stand_in.overloaded
        decision = stand_in.handle_call(relay, now)
        if stand_in.overloaded and not overloaded and stand_in.overloaded_by_informed:
            self.ledger.record_violation(
                Timed.FELL,
                f"destination {stand_in.destination.number}, limit {stand_in.destination.limit:.1f} calls/s, "
                f"{now - stand_in.recovered_at:.1f} s after an outage of kind {stand_in.latest_outage.value}",
            )
        return decision

    async def _answer(self, request: web.BaseRequest, status: int) -> web.StreamResponse:
        response = web.Response(status=status)
        await response.prepare(request)
        await response.write_eof()
        return response

    async def _probe(
        self, request: web.BaseRequest, listener: Listener, transport: asyncio.Transport
    ) -> web.StreamResponse:
        if request.path == "/-/load":
            return web.Response(status=404)  # this deployment has no load reports
        self.probes += 1
        relay: str = request.headers.get(HOLLOW_HEADER) or self._relays.get(transport) or "unknown"
        decision = self._handle_call(listener.stand_in, relay, time.monotonic())
        if decision.verdict is Verdict.SILENT:
            return await self._withhold_response(transport)
        return web.Response(status=200 if decision.verdict is Verdict.SERVED else 503)

    async def _sleep(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._closing.wait()

    async def _withhold_response(self, transport: asyncio.Transport) -> web.StreamResponse:
        """Send no answer until the connection ends."""
        while not self._closing.is_set() and not transport.is_closing() and not peer_closed(transport):
            await self._sleep(0.25)
        transport.abort()
        return web.Response(status=503)


def peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed or half-closed, even if the event loop has not read it yet."""
    sock = transport.get_extra_info("socket")
    if transport.is_closing() or sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def overload_threshold(capacity: float) -> float:
    """Return how many calls a recovering destination survives in ``OVERLOAD_WINDOW``.

    ``capacity`` is in calls per second.
    """
    expected = OVERLOAD_MULTIPLE * capacity * OVERLOAD_WINDOW
    return expected + 2 * math.sqrt(expected) + 2


def total_verdicts(stand_ins: Mapping[int, DestinationStandIn]) -> Counter[Verdict]:
    """Count the verdicts of all destinations."""
    return sum((stand_in.verdicts for stand_in in stand_ins.values()), Counter())
