"""RESP2 server for clients: parses commands, dispatches them to a handler and writes answers in order."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import socket
from collections import deque
from collections.abc import Callable

from garnetrelay.buffer_budget import BufferBudget
from garnetrelay.commands import CommandReader, InvalidRequest, ScannedInput
from garnetrelay.client_requests import Request, parse_enqueue
from garnetrelay.streams import has_hung_up, has_unread, new_buffer, unacknowledged_bytes
from garnetrelay.turn_budget import TurnBudget

log = logging.getLogger(__name__)

# seconds after a connect or a request in which a client's next request may be in transit
RECENT_ACTIVITY_WINDOW = 0.5
REQUEST_TIMEOUT = 2.5  # seconds to receive a complete request: clients expect an answer or a close within 3
IDLE_TIMEOUT = 2.0  # seconds without a request after which a connection may be closed to make room
CLOSE_DELAY = 0.1  # seconds for an answer just written to reach its client before the close
FINAL_WRITE_TIMEOUT = 0.3  # seconds at the end of the process for answers that a client reads slowly
FINAL_WRITE_CHECK_INTERVAL = 0.02  # seconds
RECHECK_DELAY = 0.05  # seconds until an overdue connection with unread input is checked again
LINGER_TIMEOUT = 1.0  # seconds in which a client may read the error before its connection is closed
CLOSE_CHECK_INTERVAL = 0.05  # seconds between checks whether a connection that is being closed is done
MAX_LINGERING_CONNECTIONS = 16  # connections above the limit that may linger: each holds a descriptor
MAX_CONSECUTIVE_INVALID_REQUESTS = 32  # no working client sends so many
BACKLOG = 512  # connections waiting to be accepted
# bounds the descriptors of connections that are rejected: each is held for three event loop iterations
MAX_ACCEPTS_PER_ITERATION = 2
ACCEPT_RETRY_DELAY = 0.1  # seconds without accepting when no descriptor is left
FINAL_ACCEPT_RETRY_DELAY = 0.02  # seconds; for connections still queued at shutdown
# errors of accept() that are worth a later retry
OUT_OF_RESOURCES_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
PARSE_CHUNK_BYTES = 16 * 1024  # of input in which commands are looked for at a time
# Commands of one connection in an iteration of the event loop. At most as many as may be invalid in a row:
# what follows on the last of them stays unread.
MAX_COMMANDS_PER_READ = MAX_CONSECUTIVE_INVALID_REQUESTS
TURN_SECONDS = 0.005  # of an iteration, after which each connection is read one command at a time
MAX_UNSENT_BYTES = 4 * 1024  # unsent answers beyond which no more input is read from a client
WRITE_TIMEOUT = 2.5  # seconds for a client to read some of its answers, once reading from it has stopped
DEFAULT_BUFFER_BYTES = 16 * 1024 * 1024  # for all connections together


class Reply:
    """The answer to one request; a connection writes its answers in the order of requests."""

    __slots__ = ("_connection", "data")

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self.data: bytes | None = None

    @property
    def is_deliverable(self) -> bool:
        """Whether the client is still connected and its connection is not closing."""
        return not self._connection.disconnected and not self._connection.closing

    def accept(self) -> None:
        self._set_data(b"+OK\r\n")

    def reject(self, wait_ms: int) -> None:
        self._set_data(b"-BUSY %d\r\n" % wait_ms if wait_ms else b"-BUSY\r\n")

    def fail(self, text: str) -> None:
        self._set_data(b"-ERR %s\r\n" % " ".join(text.split()).encode("ascii", "replace")[:200])

    def pong(self, payload: bytes | None) -> None:
        self._set_data(b"+PONG\r\n" if payload is None else b"$%d\r\n%s\r\n" % (len(payload), payload))

    def _set_data(self, data: bytes) -> None:
        self.data = data
        try:
            self._connection.send_ready()
        except Exception:
            # Any error: it must not stop the planning pass, which has other replies and calls to send.
            log.exception("failed to write an answer")
            self._connection.abort()


Handler = Callable[[Request, Reply], None]  # may raise InvalidRequest


def _half_close(transport: asyncio.Transport) -> None:
    try:
        transport.write_eof()
    except OSError:  # reset by the client: the latest write may have met a closed socket
        transport.abort()


class Connection(asyncio.BufferedProtocol):
    """A connection from a client.

    Only input that is handled at once is read: complete commands, up to a limit, and the bytes of an
    incomplete one. The rest waits in the kernel: whatever ends the connection, all requests that were read
    have been answered. A close over unread input resets the connection, and the client may send it again.
    """

    def __init__(self, server: Server, accepted: socket.socket) -> None:
        self.server = server
        self.socket = accepted  # the transport reads, writes and closes it
        self.commands = CommandReader()
        self.input: ScannedInput | None = None  # what the next read takes
        self.handling_commands: bool = False  # their answers are written together
        self.replies: deque[Reply] = deque()
        self.invalid_requests = 0  # in a row
        self.disconnected: bool = False
        self.closing: bool = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None  # runs until a complete request has been received
        self.write_timer: asyncio.TimerHandle | None = None  # runs while too much is unsent
        self.last_request_at = 0.0  # time of the latest request, or of the connect
        self.answered_at = 0.0  # time of the latest write

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        if not self.server.make_room():
            self.fail("too many connections", busy=True)
            if len(self.server.connections) >= self.server.max_connections + MAX_LINGERING_CONNECTIONS:
                transport.abort()
        self.server.connections[self] = None
        self.last_request_at = asyncio.get_running_loop().time()
        self._start_request_timer()

    def connection_lost(self, error: Exception | None) -> None:
        self.disconnected = True
        self.server.connections.pop(self, None)
        self.server.buffer_budget.update(self, 0)
        self._stop_request_timer()
        self._stop_write_timer()

    def _start_request_timer(self, seconds: float | None = None) -> None:
        if self.timer is None and not self.closing:
            wait = REQUEST_TIMEOUT if seconds is None else seconds
            self.timer = asyncio.get_running_loop().call_later(wait, self._on_request_timeout)

    def _on_request_timeout(self) -> None:
        """Answer an incomplete request with an error; close a connection without input.

        The latter gets no error: a client that sends a request just now would take it for its answer.
        """
        self.timer = None
        if self.commands.buffered_bytes:
            self.fail("no whole request in time")
        elif self.close_between_requests():
            self.server.closed_unused_count += 1
        else:
            # Not closable yet, for example because input has just arrived: check again soon, as the timeout
            # stays expired.
            self._start_request_timer(RECHECK_DELAY)

    def _stop_request_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # Backpressure: stop reading commands from a client that does not read its answers, to bound memory, and
    # close its connection if it goes on like that.
    def pause_writing(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()
            self._stop_write_timer()
            self.write_timer = asyncio.get_running_loop().call_later(WRITE_TIMEOUT, self._on_write_timeout)

    def resume_writing(self) -> None:
        self._stop_write_timer()
        if self.transport is not None and not self.closing:
            self.transport.resume_reading()
        self._update_buffer_budget()

    def _on_write_timeout(self) -> None:
        log.info("client connection closed: answers are not read")
        self.abort()

    def _stop_write_timer(self) -> None:
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None

    @property
    def buffered_bytes(self) -> int:
        """The bytes that this process keeps for the client: an incomplete command and unsent answers."""
        return self.commands.buffered_bytes + self._unsent_bytes

    @property
    def has_undelivered_answers(self) -> bool:
        """Whether a part of an answer has not reached the client's machine, as the client reads slowly."""
        return (
            self.transport is not None and not self.disconnected and unacknowledged_bytes(self.transport) > 0
        )

    @property
    def _unsent_bytes(self) -> int:
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def _update_buffer_budget(self) -> None:
        if not self.disconnected:
            self.server.buffer_budget.update(self, self.buffered_bytes)

    def shed(self) -> None:
        """Free the buffers, as all clients together have filled the space for them. The client may retry."""
        if self._unsent_bytes:
            self.abort()
        else:
            self.fail("too many incomplete requests", busy=True)
        self.server.buffer_budget.update(self, 0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Look at the input, and return a buffer for the part of it that is to be read now."""
        try:
            self.input = self._look_at_input()
        except OSError:
            self.input = None  # the read that follows meets the same error
        return self.server.buffer[: 1 if self.input is None else max(1, self.input.size)]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the input that was read."""
        waiting, self.input = self.input, None
        if waiting is None:  # it came between the look and the read
            waiting = self.commands.scan(self.server.buffer[:nbytes], max_commands=1)
        elif nbytes != max(1, waiting.size):
            log.error(
                "client connection closed: the kernel has shown %d bytes, read %d", waiting.size, nbytes
            )
            self.abort()
            return
        self.handling_commands = True
        for arguments in waiting.commands:
            self._dispatch(arguments)
        self.handling_commands = False
        if waiting.error is not None:
            self.fail(f"Protocol error: {waiting.error}")  # framing is lost: later input cannot be parsed
        self.send_ready()
        if self.commands.buffered_bytes:
            self._start_request_timer()
        self._update_buffer_budget()
        self.server.shed_excess_buffers()
        if self.server.draining and not self.closing:
            self.close_between_requests()

    def _look_at_input(self) -> ScannedInput | None:
        """Return what is to be read of the waiting input; None at its end. Raises OSError."""
        # An incomplete command is likely a long one, and the rest of it is nearly all that waits.
        size = len(self.server.buffer) if self.commands.buffered_bytes else PARSE_CHUNK_BYTES
        received = self.socket.recv_into(self.server.buffer, size, socket.MSG_PEEK)
        if not received:
            return None
        return self.commands.scan(self.server.buffer[:received], self._command_allowance())

    def _command_allowance(self) -> int:
        """Return the number of commands to handle now. It is never 0, so that no connection starves."""
        if self.server.turn_budget.is_spent() or self._unsent_bytes:
            return 1
        return min(MAX_COMMANDS_PER_READ, MAX_CONSECUTIVE_INVALID_REQUESTS - self.invalid_requests)

    def _dispatch(self, arguments: list[bytes]) -> None:
        self._stop_request_timer()
        self.server.touch(self)
        reply = Reply(self)
        self.replies.append(reply)
        name = arguments[0].upper()
        try:
            if name == b"ENQUEUE":
                self.server.handler(parse_enqueue(arguments), reply)
            elif name == b"PING" and len(arguments) <= 2:
                if self.server.rejecting_clients:
                    reply.fail("drained")
                else:
                    reply.pong(arguments[1] if len(arguments) == 2 else None)
            else:
                raise InvalidRequest(f"unknown command '{arguments[0][:40].decode('ascii', 'replace')}'")
            self.invalid_requests = 0
        except InvalidRequest as error:
            log.info("invalid client request: %s", error)
            reply.fail(str(error))
            self.invalid_requests += 1
            if self.invalid_requests >= MAX_CONSECUTIVE_INVALID_REQUESTS:
                self.fail("nothing but requests that make no sense")

    def send_ready(self) -> None:
        """Write the answers that are ready, in the order of their requests."""
        if self.handling_commands:
            return  # the answers to all of them are written at once
        ready = []
        while self.replies and self.replies[0].data is not None:
            ready.append(self.replies.popleft().data or b"")
        if ready and self.transport is not None and not self.disconnected:
            self.transport.write(b"".join(ready))
            self.answered_at = asyncio.get_running_loop().time()
            self._update_buffer_budget()
        if self.closing and not self.replies:
            self._close_after(LINGER_TIMEOUT)
        elif self.server.draining and not self.closing:
            self.close_between_requests()

    def fail(self, text: str, busy: bool = False) -> None:
        """Answer with an error, or with BUSY if ``busy``, and close the connection.

        ``text`` is logged, and sent unless ``busy``. Later input stays unread. Answers to earlier requests
        are written first: nothing can be written after the half-close.
        """
        if not self.closing:
            log.info("client connection closed: %s", text)
            self.closing = True
            self.commands.clear()
            self._stop_request_timer()
            if self.transport is not None:
                self.transport.pause_reading()
            reply = Reply(self)
            self.replies.append(reply)
            if busy:
                reply.reject(0)
            else:
                reply.fail(text)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def close_between_requests(self) -> bool:
        """Close the connection if it is between requests; return whether it was closed.

        Does nothing while an answer is outstanding or a request has arrived, even in part or unread: a close
        would lose a message. Such input is answered first, and the connection is closed right after.
        """
        transport = self.transport
        if self.closing or self.replies or self.commands.buffered_bytes or self._unsent_bytes:
            return False
        if transport is None or transport.is_closing():
            return False
        if has_unread(transport, fallback=True):
            return False
        self.closing = True
        self.close_gracefully()
        return True

    def close_gracefully(self) -> None:
        """Half-close, and close once an answer just written has had time to reach the client."""
        transport, loop = self.transport, asyncio.get_running_loop()
        if transport is None or transport.is_closing():
            return
        if loop.time() - self.answered_at > CLOSE_DELAY and not self.has_undelivered_answers:
            transport.close()
        else:
            self._close_after(CLOSE_DELAY)

    def _close_after(self, seconds: float) -> None:
        """Half-close, and close after a delay in which the client may read its answers.

        A close with unread input sends a reset, which may discard an answer that the client has not read. The
        transport flushes pending writes before the half-close.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.pause_reading()
        _half_close(transport)
        asyncio.get_running_loop().call_later(CLOSE_DELAY, self._finish_close, seconds - CLOSE_DELAY)

    def _finish_close(self, remaining: float) -> None:
        """Close once ``remaining`` seconds are over, or the client has closed its side.

        Answers that have not reached the client's machine get ``WRITE_TIMEOUT`` more: a client that has
        closed its side may still read.
        """
        transport = self.transport
        if transport is None or self.disconnected:
            return
        is_due = remaining <= 0 or has_hung_up(transport)
        if remaining <= -WRITE_TIMEOUT or is_due and not self.has_undelivered_answers:
            transport.abort()
            return
        asyncio.get_running_loop().call_later(
            CLOSE_CHECK_INTERVAL, self._finish_close, remaining - CLOSE_CHECK_INTERVAL
        )


class Server:
    """Listens for clients, and limits the number of their connections and the bytes buffered for them."""

    def __init__(
        self, handler: Handler, max_connections: int, max_buffered_bytes: int = DEFAULT_BUFFER_BYTES
    ) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.buffer_budget: BufferBudget[Connection] = BufferBudget(max_buffered_bytes)
        self.buffer = new_buffer()
        self.turn_budget = TurnBudget(TURN_SECONDS)
        self.connections: dict[Connection, None] = {}  # ordered by latest request, oldest first
        self.closed_unused_count = 0  # connections closed without a request so far
        self.stopped = False  # graceful shutdown: no new connections any more
        # shutdown or a drain by operators: close each connection as soon as it is between requests
        self.draining = False
        # drain by operators only: PING gets an error, so that clients go to another relay
        self.rejecting_clients = False
        self.address: tuple[str, int] | None = None  # set once the server listens
        self._listener: socket.socket | None = None
        # The platform owns an inherited listener: another process accepts what is left in its queue.
        self._listener_inherited: bool = False
        self._accept_retry_timer: asyncio.TimerHandle | None = None
        self._setup_tasks: set[asyncio.Task[None]] = set()  # connections that are accepted but not set up yet

    async def start(self, host: str, port: int, inherited: socket.socket | None = None) -> tuple[str, int]:
        """Listen, on the inherited socket if there is one, and return the address."""
        if inherited is not None:
            self._listener, self._listener_inherited = inherited, True
            inherited.listen(BACKLOG)
        else:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self._listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._listener.setblocking(False)
        self._start_accepting()
        socket_name = self._listener.getsockname()
        self.address = str(socket_name[0]), int(socket_name[1])
        return self.address

    def _start_accepting(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().add_reader(
                self._listener, self._accept_connections, MAX_ACCEPTS_PER_ITERATION
            )

    def _accept_connections(self, max_accepts: int) -> None:
        """Accept some of the waiting connections; the event loop calls again if more wait.

        Accepting all of them at once, as asyncio's own server does, would let a burst use up all descriptors.
        """
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        for _ in range(max_accepts):
            try:
                accepted, _address = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # the listener stays readable: an immediate retry would be a busy loop
                log.warning("cannot accept connections: %s", error.strerror)
                loop.remove_reader(self._listener)
                self._accept_retry_timer = loop.call_later(ACCEPT_RETRY_DELAY, self._start_accepting)
                return
            self._start_connection(accepted)

    def _start_connection(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        task = asyncio.get_running_loop().create_task(self._set_up_connection(accepted))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    async def _set_up_connection(self, accepted: socket.socket) -> None:
        # With protocol number 0 the event loop does not set TCP_NODELAY itself; if it did, an error would
        # cost the connection.
        accepted = socket.socket(accepted.family, accepted.type, 0, fileno=accepted.detach())
        with contextlib.suppress(OSError):  # the connection works without it
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: Connection(self, accepted), accepted
            )
        except OSError as error:
            log.warning("cannot set up an accepted connection: %s", error.strerror)
            accepted.close()

    def _stop_listening(self) -> None:
        """Stop listening.

        Accepts the connections that still wait, as a close would reset what they have sent. Those on
        an inherited socket are left to another process.
        """
        if self._listener is None:
            return
        if self._accept_retry_timer is not None:
            self._accept_retry_timer.cancel()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        if not self._listener_inherited and not self._accept_remaining():
            self._accept_retry_timer = loop.call_later(FINAL_ACCEPT_RETRY_DELAY, self._stop_listening)
            return
        self._listener.close()
        self._listener = None

    def _accept_remaining(self) -> bool:
        """Accept all waiting connections; return whether the kernel reports that none is left."""
        assert self._listener is not None
        for _ in range(2 * BACKLOG):
            try:
                accepted, _address = self._listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:  # most errors concern one connection only: the next may succeed
                if error.errno in OUT_OF_RESOURCES_ERRORS:
                    return False
            else:
                self._start_connection(accepted)
        return False

    def touch(self, connection: Connection) -> None:
        """Record a request: the connection becomes the last one to be closed for room."""
        connection.last_request_at = asyncio.get_running_loop().time()
        if self.connections.pop(connection, self) is None:
            self.connections[connection] = None

    def make_room(self) -> bool:
        """Return whether one more connection fits, after closing one that is long idle if necessary."""
        if len(self.connections) < self.max_connections:
            return True
        idle_cutoff = asyncio.get_running_loop().time() - IDLE_TIMEOUT
        for connection in self.connections:
            if connection.last_request_at > idle_cutoff:
                return False
            if connection.close_between_requests():
                return True
        return False

    def shed_excess_buffers(self) -> None:
        """Free the buffers of the connections that have had some for the longest time, down to the limit.

        A working client's request is complete within milliseconds, so it is the last one to be concerned.
        """
        while (connection := self.buffer_budget.find_excess_holder()) is not None:
            connection.shed()

    def start_draining(self) -> None:
        """Start a drain by operators: clients are to go elsewhere.

        The server keeps listening, so that checks can report the drain.
        """
        self.rejecting_clients = True
        self._close_connections()

    def resume(self) -> None:
        """End the drain by operators, unless a graceful shutdown has begun."""
        self.rejecting_clients = False
        self.draining = self.stopped

    def stop(self) -> None:
        """Begin a graceful shutdown: accept no connections, and close each open one between requests."""
        self.stopped = True
        self._stop_listening()
        self._close_connections()

    @property
    def is_quiescent(self) -> bool:
        """Whether no answer is outstanding and no request is expected, so that the process may end."""
        recent_cutoff = asyncio.get_running_loop().time() - RECENT_ACTIVITY_WINDOW
        return (
            self._listener is None
            and not self._setup_tasks
            and not any(
                not connection.disconnected
                and not connection.closing
                and (
                    connection.replies
                    or connection.commands.buffered_bytes
                    or connection.last_request_at > recent_cutoff
                )
                for connection in self.connections
            )
        )

    def close_unused_connections(self) -> None:
        """Close connections without a recent request.

        While this process ends and its successor runs, the descriptors of both count.
        """
        recent_cutoff = asyncio.get_running_loop().time() - RECENT_ACTIVITY_WINDOW
        for connection in list(self.connections):
            if connection.last_request_at <= recent_cutoff:
                connection.close_between_requests()

    async def end(self) -> None:
        """Close all connections, and give the answers written ``CLOSE_DELAY`` to reach the clients.

        Answers that a client is still about to receive get ``FINAL_WRITE_TIMEOUT`` in all.
        """
        self._stop_listening()
        for connection in list(self.connections):
            if connection.commands.buffered_bytes:  # the client sends the remainder and waits for an answer
                connection.fail("process is stopping", busy=True)
            connection.closing = True
            connection.close_gracefully()
        ends_at = asyncio.get_running_loop().time() + FINAL_WRITE_TIMEOUT
        if self.connections:
            await asyncio.sleep(CLOSE_DELAY)
        while self.has_undelivered_answers and asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(FINAL_WRITE_CHECK_INTERVAL)

    @property
    def has_undelivered_answers(self) -> bool:
        """Whether a part of an answer has not reached its client's machine, as the client reads slowly."""
        return any(connection.has_undelivered_answers for connection in self.connections)

    def _close_connections(self) -> None:
        """Close connections between requests.

        One that still waits for its first or for a complete request stays open: the request is in transit, or
        its timer expires soon.
        """
        self.draining = True
        for connection in list(self.connections):
            if connection.timer is None:
                connection.close_between_requests()
