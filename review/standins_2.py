"""Stand-ins for the cases of this folder from 6 on: endpoints, the platform, clients and the relay's process.

They follow the protocol page: RESP2 for clients, HTTP/1.1 for endpoints and the platform, all on loopback.
Only the standard library is used. Times are seconds of the monotonic clock since the case began.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SECOND = 10**9
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_TIMEOUT = 20.0
CLIENT_TIMEOUT = 0.4  # a client waits so long for its answer
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class Record:
    """What was sent, answered and run, for ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


class Call:
    """One call that an endpoint has received to its last byte."""

    def __init__(self, endpoint: Endpoint, head: list[str], headers: dict[str, str], body: bytes) -> None:
        self.endpoint = endpoint
        self.line = head[0]
        self.id = headers.get("x-request-id", "")
        self.key = headers.get("idempotency-key")
        self.body = body
        self.at = endpoint.record.now()
        self.answer, self.answered_at = "", 0.0


async def read_request(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {n.lower(): v for n, _, v in (line.partition(": ") for line in head[1:] if line)}
    return head, headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Endpoint:
    """An endpoint of a destination, and the calls that it has got."""

    def __init__(self, record: Record, name: str, destination: int, rate: float, zone: str = "a") -> None:
        self.record, self.name, self.destination = record, name, destination
        self.rate, self.zone = rate, zone
        self.service_time = 0.3
        self.status: int | None = 200  # None: it keeps silent
        self.refusals, self.wait_ms = 0, 0  # so many calls are answered 429 first, with this wait
        self.calls: list[Call] = []
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def entry(self, status: str = "Ready") -> dict[str, Any]:
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "plain",
            "group": self.destination,
            "status": status,
            "weight": self.rate,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                call = Call(self, *await read_request(reader))
                if call.line.startswith("POST /hook "):
                    self.calls.append(call)
                    self.record.add(f"call {call.id} at {self.name}, {len(call.body)} bytes")
                    await asyncio.sleep(self.service_time)
                if self.status is None:
                    await reader.read(1)
                    return
                status, wait = self.status, b""
                if call.id and self.refusals:
                    self.refusals -= 1
                    status, wait = 429, b"X-Backoff-Ms: %d\r\n" % self.wait_ms
                call.answer, call.answered_at = str(status), self.record.now()
                if call.id:
                    self.record.add(f"answer {status} to {call.id} at {self.name}")
                writer.write(b"HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n" % (status, wait))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Platform:
    """The agent: discovery and the receiver of notices."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.index = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: set[asyncio.StreamWriter] = set()
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self.silent = False  # discovery is down: watches get nothing, notices are still answered
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def whole(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, entry: dict[str, Any]) -> None:
        """Change the list, and tell all watches."""
        self.index += 1
        self.entries.pop(entry["name"], None)
        if entry["status"] != "Gone":
            self.entries[entry["name"]] = entry
        self.changes.append((self.index, entry))
        self.record.add(f"list version {self.index}: {entry['name']} {entry['status']} {entry['address']}")
        for writer in list(self.watches):
            self._line(writer, {"index": self.index, "snapshot": False, "endpoints": [entry]})

    def silence(self) -> None:
        """Discovery goes down; open watches stay open and silent."""
        self.silent = True

    def _line(self, writer: asyncio.StreamWriter, value: dict[str, Any] | None) -> None:
        if self.silent:
            return
        data = (b"" if value is None else json.dumps(value).encode()) + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _, body = await read_request(reader)
                if head[0].startswith("POST /v1/notices "):
                    for line in body.splitlines():
                        notice = json.loads(line)
                        self.notices.append((self.record.now(), notice))
                        self.record.add(f"notice {notice}")
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "follow=1" in head[0]:
                    await self._watch(int(head[0].split("since=")[1].split()[0]), writer)
                    return
                else:
                    await self._until_back()
                    data = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    async def _until_back(self) -> None:
        while self.silent:
            await asyncio.sleep(0.02)

    async def _watch(self, since: int, writer: asyncio.StreamWriter) -> None:
        await self._until_back()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        changed = {entry["name"]: entry for index, entry in self.changes if index > since}
        if since < 41 or since > self.index:
            self._line(writer, self.whole())
        elif changed:
            endpoints = list(changed.values())
            self._line(writer, {"index": self.index, "snapshot": False, "endpoints": endpoints})
        else:
            self._line(writer, None)
        self.watches.add(writer)
        while not writer.transport.is_closing():
            await asyncio.sleep(2.0)
            self._line(writer, None)


def settings(classes: list[dict[str, Any]], relays: int = 1, **limits: Any) -> dict[str, Any]:
    """The settings of a small deployment, with the figures of the wire page's sample."""
    return {
        "azs": ["a"],
        "balancers": relays,
        "classes": classes,
        "discovery": "automatic",
        "family": "deliver",
        "familyInfo": {
            "callsOut": 48,
            "decay": "even",
            "feeByZone": [0.0],
            "kindApart": [False],
            "perCall": [1],
        },
        "kinds": ["plain"],
        "limits": {
            "cancel": True,
            "connIdle": 10 * SECOND,
            "connectTimeout": SECOND,
            "maxRetryAfter": 3 * SECOND,
            "mostHeld": 562,
            "mostTries": 12,
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
            **limits,
        },
        "loadReport": {"fields": [], "via": "off"},
        "rules": {
            "answerSlack": 20_000_000,
            "askEvery": 10 * SECOND,
            "drainGrace": SECOND // 2,
            "fall": 3 * SECOND // 2,
            "fallMultiple": 2.0,
            "rampTime": 14 * SECOND,
            "startCapacity": 0.18,
        },
        "tenants": [],
        "tick": 5_000_000,
        "weightSource": "rough",
        "zone": 0,
    }


FILING = {
    "name": "filing",
    "aim": 3 * SECOND,
    "deadline": 24 * SECOND,
    "idempotency": "dedup",
    "keyScope": "all",
    "lateWorth": 0.4,
    "repeatWindow": 10 * SECOND,
    "worth": 1.0,
}


def free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


class RelayProcess:
    """One relay, started with the deploy file's ``run``. Its folder lies in a temporary one."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any]) -> None:
        self.record, self.folder = record, folder
        self.port = free_port()
        self.state = folder / "state"
        self.state.mkdir()
        self.config = config
        self.process: asyncio.subprocess.Process | None = None
        self.logs: list[Path] = []

    async def start(self, environment: dict[str, str] | None = None, descriptor: int | None = None) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.folder / "config.json"
        listen = f"127.0.0.1:{self.port}"
        path.write_text(json.dumps({"name": "n1", "listen": listen, "seed": "8c1f", **self.config}))
        log = self.folder / f"log-{len(self.logs)}"
        self.logs.append(log)
        with log.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env={
                    **os.environ,
                    "RELAY_CONFIG": str(path),
                    "RELAY_STATE": str(self.state),
                    "RELAY_NAME": "n1",
                    "RELAY_LISTEN": listen,
                    "RELAY_DISCOVERY": self.config["discovery"],
                    "TMPDIR": str(self.folder),
                    **(environment or {}),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                pass_fds=() if descriptor is None else (descriptor,),
            )

    async def ready(self) -> None:
        """Wait until it answers PING."""
        end = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < end:
            assert self.process is not None
            if self.process.returncode is not None:
                raise RuntimeError(f"the relay ended at its start with status {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command("PING"))
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"+PONG\r\n":
                    self.record.add("the relay is ready")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the relay does not answer PING")

    def log_lines(self, *words: str) -> list[str]:
        """The lines of its logs that contain one of the words."""
        lines = [line for log in self.logs for line in log.read_text(errors="replace").splitlines()]
        return [line for line in lines if any(word in line for word in words)]

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def command(*words: str | bytes) -> bytes:
    """Encode a command in RESP2."""
    parts = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class Message:
    """One message of a client, handed in once."""

    def __init__(self, number: int, name: str, destination: int, body: bytes, left_ms: int) -> None:
        self.id, self.key = f"{number:016x}", f"{number + (1 << 60):016x}"
        self.name, self.destination, self.body, self.left_ms = name, destination, body, left_ms
        self.sent_at = self.answered_at = 0.0
        self.answer = "none"

    @property
    def taken(self) -> bool:
        return self.answer.startswith("+")

    def command(self) -> bytes:
        values = f"c={self.name},d={self.left_ms},k={self.key},dest={self.destination}"
        return command("ENQUEUE", "0" * 16, self.id, values, self.body)


class Client:
    """Hands in messages over connections that it keeps, one request at a time on each."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def open(self, count: int) -> None:
        for _ in range(count):
            self.idle.append(await asyncio.open_connection("127.0.0.1", self.port))

    async def hand_in(self, message: Message) -> None:
        """Hand in a message. A request that crosses the end of a kept connection is sent once more."""
        message.sent_at = self.record.now()
        size = len(message.body)
        self.record.add(f"hand in {message.id} for destination {message.destination}, {size} bytes")
        for kept in (True, False):
            connection = None
            if kept and not self.idle:
                continue
            try:
                if kept:
                    connection = self.idle.pop()
                else:
                    connection = await asyncio.open_connection("127.0.0.1", self.port)
                connection[1].write(message.command())
                line = await asyncio.wait_for(connection[0].readline(), CLIENT_TIMEOUT)
            except TimeoutError:
                message.answer = "no answer in time"
                break
            except OSError:
                line = b""
            if line:
                message.answer = line.decode().strip()
                self.idle.append(connection)  # type: ignore[arg-type]
                break
            message.answer = "closed"
        message.answered_at = self.record.now()
        self.record.add(f"answer to {message.id}: {message.answer}")


def run_case(folder: Path, case: Callable[[Record, Path], Coroutine[Any, Any, int]]) -> int:
    """Run a case in a temporary folder and write its record. Returns the exit status."""
    record = Record(folder)
    record.add(f"begins, TROUBLE={int(TROUBLE)}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(case(record, Path(temporary)))
    except Exception:
        record.add("could not run: " + traceback.format_exc())
        status = COULD_NOT_RUN
    record.add(f"exit {status}")
    record.write()
    print(f"exit {status}", file=sys.stderr)
    return status
