"""Real relays, each a process of its own started by the deploy file's ``run``, and what it takes."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import gc
import json
import os
import resource
import signal
import socket
import time
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

from fleetlab.clients import RelayConnections
from fleetlab.fleet import DESCRIPTOR_LIMIT, PlanError

ROOT = Path(__file__).parent.parent
READY_TIME = 60.0  # seconds for a start on a machine that is busy
ANSWER_TIME = 2.0  # seconds for an answer to PING
GRACE = 3.7  # seconds from SIGTERM to SIGKILL
DOWN_TIME = 0.6  # seconds from a process's end to its next start
SIGNALS_APART = 0.1  # seconds between the signals of a series
KNOCKS_ON = 0.3  # seconds behind SIGTERM in which new connections keep coming
NOTICED = 1.5  # seconds until the front notices that a relay has died
COLLECT_AFTER = (50_000, 50, 1000)  # objects; young collections; middle ones
PR_SET_PDEATHSIG = 1  # linux/prctl.h
PING = b"*1\r\n$4\r\nPING\r\n"


def run_command(root: Path = ROOT) -> str:
    """How one relay is started, as the deploy file says; PlanError with one line where it can't be."""
    path = root / "deploy" / "balancer.toml"
    try:
        command = str(tomllib.loads(path.read_text(encoding="utf-8"))["run"])
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, KeyError) as error:
        raise PlanError(f"{path}: no command 'run': {error}") from None
    program = command.removeprefix("exec ").split()[0]
    if "/" in program and not os.access(root / program, os.X_OK):
        raise PlanError(f"{program} is missing: run the 'build' of deploy/balancer.toml first")
    return command


@dataclass(slots=True)
class Usage:
    """What a relay's processes took, over all its lives."""

    cpu: float = 0.0  # seconds
    busiest: float = 0.0  # seconds of processor in one second
    memory_mb: float = 0.0  # resident, at most
    descriptors: int = 0  # at most
    disk_mb: float = 0.0  # in its folder, at most, each file in whole 512 bytes


class RealRelay:
    """One relay: its address, its folder, its present process."""

    def __init__(self, name: str, folder: Path, command: str, root: Path = ROOT) -> None:
        self.name = name
        self.folder = folder
        self.command = command
        self.root = root
        self.pool = RelayConnections(name, "127.0.0.1", free_port())
        self.usage = Usage()
        self.environment: dict[str, str] = {}  # beside what every relay is told
        self.starts = 0
        self.crashed: list[str] = []  # how it ended where nobody had asked it to
        self.restarting = False
        self.ready_after: list[float] = []  # seconds from each start to its PONG
        self._process: asyncio.subprocess.Process | None = None
        self._watched: psutil.Process | None = None
        self._cpu_before = 0.0
        self._sampled_at = 0.0
        (folder / "state").mkdir(parents=True, exist_ok=True)

    def configure(self, config: Mapping[str, Any]) -> None:
        (self.folder / "config.json").write_text(json.dumps(config, separators=(",", ":")))

    async def start(self) -> None:
        """Start it and wait until it answers PING; TimeoutError or ChildProcessError where it doesn't."""
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{self.pool.host}:{self.pool.port}",
            "TMPDIR": str(self.folder),
            **self.environment,
        }
        for other in ("RELAY_DISCOVERY", "RELAY_MGMT", "RELAY_INHERITED_FD"):
            environment.pop(other, None)
        begun = time.monotonic()
        with (self.folder / "log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.command,
                cwd=self.root,
                env=environment,
                preexec_fn=as_a_relay,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1
        self._cpu_before, self._sampled_at = 0.0, begun
        with contextlib.suppress(psutil.NoSuchProcess):  # that it has ended is found out below
            self._watched = psutil.Process(self._process.pid)
        async with asyncio.timeout(READY_TIME):
            while not await self._answers():
                status = self._process.returncode
                if status is not None:
                    raise ChildProcessError(f"{self.name} ended with {status}: {self.last_line()}")
                await asyncio.sleep(0.05)
        self.ready_after.append(time.monotonic() - begun)
        self.pool.open, self.pool.killed = True, False

    async def _answers(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(ANSWER_TIME):
                reader, writer = await asyncio.open_connection(self.pool.host, self.pool.port)
                writer.write(PING)
                return await reader.readline() == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()

    def last_line(self) -> str:
        """The last line of its log, for the one line that says why it did not start."""
        with contextlib.suppress(OSError):
            lines = (self.folder / "log").read_text(errors="replace").strip().splitlines()
            return lines[-1] if lines else "it said nothing"
        return "it said nothing"

    async def restart(
        self, killed: bool, more: Sequence[signal.Signals] = (), keep_using: bool = False
    ) -> None:
        """As the platform restarts one: SIGKILL alone, or SIGTERM (and ``more`` signals behind it) with its
        grace; then started again. ``keep_using``: clients use open connections until it is killed."""
        self.restarting = True
        try:
            loop = asyncio.get_running_loop()
            if killed:
                notice = loop.call_later(NOTICED, self._shut_door, False)
                await self._end((signal.SIGKILL,))
            else:
                notice = loop.call_later(KNOCKS_ON, self._shut_door, keep_using)
                await self._end((signal.SIGTERM, *more))
            self.pool.draining = False
            await asyncio.sleep(DOWN_TIME)
            notice.cancel()
            await self.start()
        finally:
            self.restarting = False

    def _shut_door(self, draining: bool) -> None:
        self.pool.open, self.pool.draining = False, draining

    def send_signal(self, number: signal.Signals) -> None:
        """Nothing where it has ended."""
        if number is signal.SIGKILL:
            self.pool.killed = True
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def stop(self) -> int | None:
        """Its exit status; SIGKILL where SIGTERM was not enough. None where it never ran."""
        self.restarting = True
        self.pool.open = False
        return await self._end((signal.SIGTERM,))

    async def _end(self, numbers: Sequence[signal.Signals]) -> int | None:
        """Its exit status, once it has ended by these signals; by SIGKILL when its grace is over."""
        process = self._process
        if process is None:
            return None
        self.sample()
        try:
            async with asyncio.timeout(GRACE):
                for number in numbers:
                    self.send_signal(number)
                    await asyncio.sleep(SIGNALS_APART if len(numbers) > 1 else 0)
                return await process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await process.wait()

    def sample(self) -> None:
        """Look at its process once; call it about every second."""
        if self._process is None or self._watched is None:
            return
        if self._process.returncode is not None:
            if not self.restarting and not self.crashed:
                self.pool.open = False
                self.crashed.append(f"{self.name} ended with {self._process.returncode}: {self.last_line()}")
            return
        with contextlib.suppress(psutil.Error):
            times = self._watched.cpu_times()
            cpu, now = times.user + times.system, time.monotonic()
            spent, passed = cpu - self._cpu_before, now - self._sampled_at
            usage = self.usage
            usage.cpu += spent
            if passed > 0.5:
                usage.busiest = max(usage.busiest, spent / passed)
            self._cpu_before, self._sampled_at = cpu, now
            usage.memory_mb = max(usage.memory_mb, self._watched.memory_info().rss / 1e6)
            usage.descriptors = max(usage.descriptors, self._watched.num_fds())
        with contextlib.suppress(OSError):
            sizes = [path.stat().st_size for path in (self.folder / "state").iterdir()]
            self.usage.disk_mb = max(self.usage.disk_mb, sum(-(-size // 512) * 512 for size in sizes) / 1e6)


def free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


def as_a_relay() -> None:
    """In the child: the descriptors that a relay is given, and an end with us, however we end."""
    os.setpgid(0, 0)  # Ctrl-C is ours to hear
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTOR_LIMIT, hard), hard))
    end_with_parent()


def settle_memory() -> None:
    """What is there now stays: the collector need not go through a whole fleet again and again. Of what
    comes, only the young is gone through often: a look at all connections held up a run for some 0.2 s."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT_AFTER)


def end_with_parent() -> None:
    """The kernel kills this process when the one that started it is gone (prctl(2), PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
