"""The RESP2 server that clients talk to: reads commands, answers each in its turn, decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import hiredis

from garnetrelay.streams import BufferedReader, has_unread, new_buffer

log = logging.getLogger(__name__)

MOST_BODY = 64 * 1024
MOST_COMMAND = MOST_BODY + 16 * 1024  # a command with all its framing
FIRST_REQUEST = 0.5  # seconds in which who has just connected or asked may still have something under way
REQUEST_TIMEOUT = 2.5  # seconds for a whole request to come: a peer is owed an answer or a close within 3
IDLE_TIMEOUT = 2.0  # seconds without a request after which a connection may be closed to make room
LAST_WORD = 0.1  # seconds for an answer just written to reach its client before the connection is gone
LOOK_AGAIN = 0.05  # seconds until what lies unread on an overdue connection has been looked at
LINGER = 1.0  # seconds in which a client that is shut out may still read why
MOST_SHUT_OUT = 16  # connections beyond the bound that may linger so: they are descriptors too
MOST_REJECTED = 32  # requests in a row that can't be understood: no client sends so many
BACKLOG = 512  # connections that may wait to be accepted
ACCEPTED_AT_ONCE = 2  # in a turn of the loop: one that is shut out holds a descriptor for three turns
ACCEPT_AGAIN = 0.1  # seconds without accepting where no descriptor is left
ACCEPT_LAST = 0.02  # the same, for those who have connected as the relay stops listening
NO_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # of accept: worth another try later
SLICE = 16 * 1024  # bytes parsed at a time: what one command leaves unread stays small


class InvalidRequest(ValueError):
    """A request that cannot be understood; the text goes to the client."""


@dataclass(frozen=True, slots=True)
class Request:
    """A message that a client hands in."""

    message_id: str
    class_name: str
    destination: int
    key: str | None
    time_left_ms: int
    body: bytes


class Reply:
    """The place of one answer in a connection's order."""

    __slots__ = ("_connection", "data")

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self.data: bytes | None = None

    @property
    def is_deliverable(self) -> bool:
        """Whether its client is still there to hear it, and sent nothing unreadable behind it."""
        return not self._connection.lost and not self._connection.closing

    def accept(self) -> None:
        self._set(b"+OK\r\n")

    def reject(self, wait_ms: int) -> None:
        self._set(b"-BUSY %d\r\n" % wait_ms if wait_ms else b"-BUSY\r\n")

    def fail(self, text: str) -> None:
        self._set(b"-ERR %s\r\n" % " ".join(text.split()).encode("ascii", "replace")[:200])

    def pong(self, payload: bytes | None) -> None:
        self._set(b"+PONG\r\n" if payload is None else b"$%d\r\n%s\r\n" % (len(payload), payload))

    def _set(self, data: bytes) -> None:
        self.data = data
        try:
            self._connection.send_ready()
        except Exception:  # whatever it is: the turn that answers has others to answer, and calls to send
            log.exception("an answer cannot be written")
            self._connection.drop()


Handler = Callable[[Request, Reply], None]  # may raise InvalidRequest


def parse_enqueue(words: list[bytes]) -> Request:
    """A request from the words of its command."""
    if len(words) != 5:
        raise InvalidRequest("wrong number of arguments for 'ENQUEUE'")
    values: dict[str, str] = {}
    for part in _text(words[3], 1024, "list").split(","):
        name, equals, value = part.partition("=")
        if not equals:
            raise InvalidRequest(f"'{part[:40]}' is not name=value")
        values[name] = value
    if len(words[4]) > MOST_BODY:
        raise InvalidRequest("body over 64 KiB")
    for name in ("c", "d", "dest"):
        if name not in values:
            raise InvalidRequest(f"'{name}' is missing")
    patience = _whole_number(values["d"], "d")
    if not patience:
        raise InvalidRequest("'d' must be above 0")
    key = values.get("k")
    return Request(
        message_id=_header_word(_text(words[2], 200, "id"), "id"),
        class_name=values["c"],
        destination=_whole_number(values["dest"], "dest"),
        key=None if key is None else _header_word(key, "k"),
        time_left_ms=patience,
        body=words[4],
    )


def _text(word: bytes, most: int, what: str) -> str:
    if not word.isascii() or len(word) > most:
        raise InvalidRequest(f"unreadable {what}")
    return word.decode("ascii")


def _header_word(text: str, what: str) -> str:
    # It goes into an HTTP header unchanged: a space or a control character there would be another header.
    if not text or any(not "!" <= c <= "~" for c in text):
        raise InvalidRequest(f"unreadable {what}")
    return text


def _whole_number(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise InvalidRequest(f"'{what}' is no whole number in range")
    return int(text)


def _end_sending(transport: asyncio.Transport) -> None:
    try:
        transport.write_eof()
    except OSError:  # its client has reset it: what we have just written may have met a closed socket
        transport.abort()


class Connection(BufferedReader):
    """One client's connection."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.buffer = server.buffer
        self.reader = hiredis.Reader(protocolError=InvalidRequest, replyError=InvalidRequest)
        self.unread = bytearray()  # of a command that has not come whole
        self.more: bool = False  # of what has been read, a part has not been looked at
        self.replies: deque[Reply] = deque()
        self.rejected = 0  # requests in a row that can't be understood
        self.lost: bool = False
        self.closing: bool = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None  # runs until a request has come whole
        self.quiet_from = 0.0  # when it was opened, or its last request came
        self.answered_at = 0.0  # when something was last written to it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.server.make_room():
            self.fail("too many connections", busy=True)
            if len(self.server.connections) >= self.server.max_connections + MOST_SHUT_OUT:
                transport.abort()
        self.server.connections[self] = None
        self.quiet_from = asyncio.get_running_loop().time()
        self._await_request()

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        self.server.connections.pop(self, None)
        self._request_came()

    def _await_request(self, seconds: float | None = None) -> None:
        if self.timer is None and not self.closing:
            wait = REQUEST_TIMEOUT if seconds is None else seconds
            self.timer = asyncio.get_running_loop().call_later(wait, self._overdue)

    def _overdue(self) -> None:
        """No error where nothing has come: a client that begins just now would take it for its answer."""
        self.timer = None
        if self.unread:
            self.fail("no whole request in time")
        elif self.close_between_requests():
            self.server.closed_unused_count += 1
        else:
            self._await_request(LOOK_AGAIN)  # something has just come: its time is up all the same

    def _request_came(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # A client that reads nothing must not fill our memory with answers: stop reading its commands.
    def pause_writing(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None and not self.closing:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        for start in range(0, len(data), SLICE):
            if self.closing:
                return  # shut out: what it still sends is read and thrown away
            self.more = start + SLICE < len(data)
            self._take(data[start : start + SLICE])
        if self.server.draining and not self.closing:
            self.close_between_requests()

    def _take(self, piece: bytes) -> None:
        if not self.unread and (piece[:1] != b"*" or len(piece) > 2 and piece[2:3] not in b"\r0123456789"):
            self.fail("a command is an array of bulk strings")
            return
        self.unread += piece
        try:
            self.reader.feed(piece)
            while (words := self.reader.gets()) is not False:
                self._strip(words)
                self._command(words)
        except (InvalidRequest, hiredis.HiredisError, MemoryError) as error:
            self.fail(f"Protocol error: {error}")  # framing is lost: nothing behind it can be read
            return
        if len(self.unread) > MOST_COMMAND:
            self.fail("command too long")
        elif self.unread:
            self._await_request()

    def _strip(self, words: Any) -> None:
        """Take a command off what is unread. The parser passes over the two bytes behind a bulk string,
        whatever they are: only what the words would be written as again is their proper framing."""
        if not isinstance(words, list) or not words or not all(isinstance(word, bytes) for word in words):
            raise InvalidRequest("a command is an array of bulk strings")
        framed = hiredis.pack_command(tuple(words))
        if not self.unread.startswith(framed):
            raise InvalidRequest("a length does not fit its string")
        del self.unread[: len(framed)]

    def _command(self, words: list[bytes]) -> None:
        self._request_came()
        self.server.touch(self)
        reply = Reply(self)
        self.replies.append(reply)
        name = words[0].upper()
        try:
            if name == b"ENQUEUE":
                self.server.handler(parse_enqueue(words), reply)
            elif name == b"PING" and len(words) <= 2:
                if self.server.rejecting_clients:
                    reply.fail("drained")
                else:
                    reply.pong(words[1] if len(words) == 2 else None)
            else:
                raise InvalidRequest(f"unknown command '{words[0][:40].decode('ascii', 'replace')}'")
            self.rejected = 0
        except InvalidRequest as error:
            log.info("client request not understood: %s", error)
            reply.fail(str(error))
            self.rejected += 1
            if self.rejected >= MOST_REJECTED:
                self.fail("nothing but requests that make no sense")

    def send_ready(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        ready = []
        while self.replies and self.replies[0].data is not None:
            ready.append(self.replies.popleft().data or b"")
        if ready and self.transport is not None and not self.lost:
            self.transport.write(b"".join(ready))
            self.answered_at = asyncio.get_running_loop().time()
        if self.closing and not self.replies:
            self._linger()
        elif self.server.draining and not self.closing:
            self.close_between_requests()

    def fail(self, text: str, busy: bool = False) -> None:
        """An error, and a close: for what can't be read any further. What is owed before it is answered
        first: nothing can be written once our side has ended."""
        if not self.closing:
            log.info("client connection closed: %s", text)
            self.closing = True
            self.unread.clear()
            self._request_came()
            reply = Reply(self)
            self.replies.append(reply)
            if busy:
                reply.reject(0)
            else:
                reply.fail(text)

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _linger(self) -> None:
        """End our side only. A close with its bytes unread would be a reset, and that takes back the error
        that we have just written. The transport itself waits for what is not written yet."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        _end_sending(transport)
        asyncio.get_running_loop().call_later(LINGER, transport.abort)

    def close_between_requests(self) -> bool:
        """Close, and say so, unless an answer is owed or a request has come, in part or unread: closing
        then would lose a message. What is unread is answered first, and the close comes right behind it."""
        transport = self.transport
        if self.closing or self.replies or self.unread or self.more:
            return False
        if transport is None or transport.is_closing():
            return False
        if has_unread(transport, unknown=True):
            return False
        self.closing = True
        self.hang_up()
        return True

    def hang_up(self) -> None:
        """End our side. A close with bytes unread is a reset, and takes back an answer just written: the rest
        waits until that has reached its client. What still comes stays unread, and is handed in elsewhere."""
        transport, loop = self.transport, asyncio.get_running_loop()
        if transport is None or transport.is_closing():
            return
        if loop.time() - self.answered_at > LAST_WORD:
            transport.close()
            return
        transport.pause_reading()
        _end_sending(transport)
        loop.call_later(LAST_WORD, transport.abort)


class Server:
    """Listens for clients and bounds their connections."""

    def __init__(self, handler: Handler, most: int) -> None:
        self.handler = handler
        self.max_connections = most
        self.buffer = new_buffer()
        self.connections: dict[Connection, None] = {}  # longest without a request first
        self.closed_unused_count = 0  # connections closed without a request, so far
        self.stopped = False  # no new connections, for good
        self.draining = False  # connections are closed as soon as each is between requests
        self.rejecting_clients = False  # and checks hear that clients should go elsewhere
        self.address: tuple[str, int] | None = None  # since it has begun to listen
        self._listener: socket.socket | None = None
        self._shared: bool = False  # it is the platform's: what we leave there is another process's
        self._retry: asyncio.TimerHandle | None = None
        self._coming: set[asyncio.Task[None]] = set()  # accepted, and not among the connections yet

    async def start(self, host: str, port: int, inherited: socket.socket | None = None) -> tuple[str, int]:
        """Listen, at an inherited socket where there is one; the address that came of it."""
        if inherited is not None:
            self._listener, self._shared = inherited, True
            inherited.listen(BACKLOG)
        else:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self._listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._listener.setblocking(False)
        self._accept_on()
        name = self._listener.getsockname()
        self.address = str(name[0]), int(name[1])
        return self.address

    def _accept_on(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().add_reader(self._listener, self._accept, ACCEPTED_AT_ONCE)

    def _accept(self, most: int) -> None:
        """Take up some of those that have connected; the loop calls again where more wait. All at once, as
        asyncio's own server takes them, a burst leaves no descriptor for anything else."""
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        for _ in range(most):
            try:
                accepted, _address = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # the listener stays readable: looking again at once is a busy loop
                log.warning("no connection can be accepted: %s", error.strerror)
                loop.remove_reader(self._listener)
                self._retry = loop.call_later(ACCEPT_AGAIN, self._accept_on)
                return
            self._begin(accepted)

    def _begin(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        task = asyncio.get_running_loop().create_task(self._take_up(accepted))
        self._coming.add(task)
        task.add_done_callback(self._coming.discard)

    async def _take_up(self, accepted: socket.socket) -> None:
        # Without the protocol's number the loop leaves this option alone; where it sets it, an error costs
        # the connection.
        accepted = socket.socket(accepted.family, accepted.type, 0, fileno=accepted.detach())
        with contextlib.suppress(OSError):  # the connection is good without
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: Connection(self), accepted)
        except OSError as error:
            log.warning("a connection cannot be taken up: %s", error.strerror)
            accepted.close()

    def _stop_listening(self) -> None:
        """Who has connected already is served: a close would reset what they have sent. At the platform's
        socket they wait for another process."""
        if self._listener is None:
            return
        if self._retry is not None:
            self._retry.cancel()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        if not self._shared and not self._accept_all():
            self._retry = loop.call_later(ACCEPT_LAST, self._stop_listening)
            return
        self._listener.close()
        self._listener = None

    def _accept_all(self) -> bool:
        """Take up all that have connected. Whether nobody waits any more, as far as the kernel says so."""
        assert self._listener is not None
        for _ in range(2 * BACKLOG):
            try:
                accepted, _address = self._listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:  # most tell of one connection alone: the next may be well
                if error.errno in NO_RESOURCES:
                    return False
            else:
                self._begin(accepted)
        return False

    def touch(self, connection: Connection) -> None:
        """A request has come on a connection: it is the last that would go."""
        connection.quiet_from = asyncio.get_running_loop().time()
        if self.connections.pop(connection, self) is None:
            self.connections[connection] = None

    def make_room(self) -> bool:
        """Whether one more connection fits; one that has long been without a request makes way for it."""
        if len(self.connections) < self.max_connections:
            return True
        quiet = asyncio.get_running_loop().time() - IDLE_TIMEOUT
        for connection in self.connections:
            if connection.quiet_from > quiet:
                return False
            if connection.close_between_requests():
                return True
        return False

    def start_draining(self) -> None:
        """Operators drain this relay: it listens on, as checks must hear so; clients are to go elsewhere."""
        self.rejecting_clients = True
        self._close_open()

    def resume(self) -> None:
        """The end of that, unless the planned end has begun meanwhile."""
        self.rejecting_clients = False
        self.draining = self.stopped

    def stop(self) -> None:
        """The planned end: no new connection, and the open ones close as soon as each is between requests."""
        self.stopped = True
        self._stop_listening()
        self._close_open()

    @property
    def is_quiescent(self) -> bool:
        """Whether nobody is owed an answer or about to ask: the process may end."""
        lately = asyncio.get_running_loop().time() - FIRST_REQUEST
        return (
            self._listener is None
            and not self._coming
            and not any(
                not connection.lost
                and not connection.closing
                and (connection.replies or connection.unread or connection.quiet_from > lately)
                for connection in self.connections
            )
        )

    def close_unused_connections(self) -> None:
        """Where the process ends beside another one, the descriptors of both count: whoever has connected
        and asked nothing by now makes way."""
        lately = asyncio.get_running_loop().time() - FIRST_REQUEST
        for connection in list(self.connections):
            if connection.quiet_from <= lately:
                connection.close_between_requests()

    async def end(self) -> None:
        """The process ends: what has been answered still reaches its client."""
        self._stop_listening()
        for connection in list(self.connections):
            if connection.unread:  # read in part: its client writes the rest, and waits
                connection.fail("the process ends", busy=True)
            connection.closing = True
            connection.hang_up()
        if self.connections:
            await asyncio.sleep(LAST_WORD)

    def _close_open(self) -> None:
        """A connection without a request yet is not closed: one is on its way, or its time is soon up."""
        self.draining = True
        for connection in list(self.connections):
            if connection.timer is None:
                connection.close_between_requests()
