"""Real relays: each a process started with the deploy file's ``run`` command, and its resource usage."""

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
READY_TIMEOUT = 60.0  # seconds for a start on a busy machine
PING_TIMEOUT = 2.0  # seconds
SHUTDOWN_GRACE = 3.7  # seconds from SIGTERM to SIGKILL
RESTART_DELAY = 0.6  # seconds from the end of a process to the start of its successor
SIGNAL_INTERVAL = 0.1  # seconds between the signals of a series
CONNECTS_AFTER_SIGTERM = 0.3  # seconds after SIGTERM in which clients still open new connections
DEATH_DETECTION_TIME = 1.5  # seconds until the front end notices that a relay has been killed
# Objects before a collection of generation 0; collections of generations 0 and 1 before one of the next.
GC_THRESHOLDS = (50_000, 50, 1000)
PR_SET_PDEATHSIG = 1  # linux/prctl.h
PING = b"*1\r\n$4\r\nPING\r\n"


def run_command(root: Path = ROOT) -> str:
    """Return the deploy file's command that starts a relay.

    Raises PlanError, with a one-line message, if the file or the program cannot be used.
    """
    path = root / "deploy" / "balancer.toml"
    try:
        command = str(tomllib.loads(path.read_text(encoding="utf-8"))["run"])
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, KeyError) as error:
        raise PlanError(f"{path}: no command 'run': {error}") from None
    program = command.removeprefix("exec ").split()[0]
    if "/" in program and not os.access(root / program, os.X_OK):
        raise PlanError(
            f"{program} is missing or not executable: run the 'build' command of deploy/balancer.toml first"
        )
    return command


@dataclass(slots=True)
class Usage:
    """Resource usage of a relay, over all of its processes."""

    cpu_seconds: float = 0.0
    peak_cores: float = 0.0  # CPU seconds per second
    peak_memory_mb: float = 0.0  # resident
    peak_descriptors: int = 0
    peak_disk_mb: float = 0.0  # in its state folder, each file rounded up to 512 bytes


class RealRelay:
    """One relay: its address, its folder and its current process."""

    def __init__(self, name: str, folder: Path, command: str, root: Path = ROOT) -> None:
        self.name = name
        self.folder = folder
        self.command = command
        self.root = root
        self.pool = RelayConnections(name, "127.0.0.1", free_port())
        self.usage = Usage()
        self.environment: dict[str, str] = {}  # in addition to the variables that every relay gets
        self.starts = 0
        self.crash_reports: list[str] = []  # exit status and last log line of an exit that was not requested
        self.restarting = False
        self.ready_times: list[float] = []  # seconds from each start to the answer to PING
        self._process: asyncio.subprocess.Process | None = None
        self._psutil_process: psutil.Process | None = None
        self._last_cpu_time = 0.0
        self._last_sample_at = 0.0
        (folder / "state").mkdir(parents=True, exist_ok=True)

    def configure(self, config: Mapping[str, Any]) -> None:
        (self.folder / "config.json").write_text(json.dumps(config, separators=(",", ":")))

    async def start(self) -> None:
        """Start the relay and wait until it answers PING.

        Raises TimeoutError if it does not answer in time, ChildProcessError if it exits first.
        """
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{self.pool.host}:{self.pool.port}",
            "TMPDIR": str(self.folder),
            **self.environment,
        }
        for variable in ("RELAY_DISCOVERY", "RELAY_MGMT", "RELAY_INHERITED_FD"):
            environment.pop(variable, None)
        started_at = time.monotonic()
        with (self.folder / "log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.command,
                cwd=self.root,
                env=environment,
                preexec_fn=prepare_relay_process,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1
        self._last_cpu_time, self._last_sample_at = 0.0, started_at
        with contextlib.suppress(psutil.NoSuchProcess):  # an early exit is reported below
            self._psutil_process = psutil.Process(self._process.pid)
        async with asyncio.timeout(READY_TIMEOUT):
            while not await self._answers_ping():
                exit_status = self._process.returncode
                if exit_status is not None:
                    raise ChildProcessError(
                        f"{self.name} exited with status {exit_status}: {self.last_log_line()}"
                    )
                await asyncio.sleep(0.05)
        self.ready_times.append(time.monotonic() - started_at)
        self.pool.open, self.pool.killed = True, False

    async def _answers_ping(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(PING_TIMEOUT):
                reader, writer = await asyncio.open_connection(self.pool.host, self.pool.port)
                writer.write(PING)
                return await reader.readline() == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()

    def last_log_line(self) -> str:
        """Return the last line of the relay's log, for messages that explain an exit."""
        with contextlib.suppress(OSError):
            lines = (self.folder / "log").read_text(errors="replace").strip().splitlines()
            return lines[-1] if lines else "no log output"
        return "no log output"

    async def restart(
        self, killed: bool, more: Sequence[signal.Signals] = (), use_open_connections: bool = False
    ) -> None:
        """Restart the relay as the platform does.

        Sends SIGKILL, or SIGTERM followed by the ``more`` signals and by SIGKILL after the grace period; then
        starts it again. With ``use_open_connections``, clients keep using their open connections until the
        relay has exited.
        """
        self.restarting = True
        try:
            loop = asyncio.get_running_loop()
            if killed:
                close_timer = loop.call_later(DEATH_DETECTION_TIME, self._close_to_clients, False)
                await self._signal_and_wait((signal.SIGKILL,))
            else:
                close_timer = loop.call_later(
                    CONNECTS_AFTER_SIGTERM, self._close_to_clients, use_open_connections
                )
                await self._signal_and_wait((signal.SIGTERM, *more))
            self.pool.draining = False
            await asyncio.sleep(RESTART_DELAY)
            close_timer.cancel()
            await self.start()
        finally:
            self.restarting = False

    def _close_to_clients(self, draining: bool) -> None:
        self.pool.open, self.pool.draining = False, draining

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the relay's process. Does nothing if the process has exited."""
        if signal_number is signal.SIGKILL:
            self.pool.killed = True
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal_number)

    async def stop(self) -> int | None:
        """Stop the relay with SIGTERM, or with SIGKILL after the grace period.

        Returns the exit status, or None if the relay was never started.
        """
        self.restarting = True
        self.pool.open = False
        return await self._signal_and_wait((signal.SIGTERM,))

    async def _signal_and_wait(self, signals: Sequence[signal.Signals]) -> int | None:
        """Send the signals, and SIGKILL after the grace period. Return the exit status."""
        process = self._process
        if process is None:
            return None
        self.sample()
        try:
            async with asyncio.timeout(SHUTDOWN_GRACE):
                for signal_number in signals:
                    self.send_signal(signal_number)
                    await asyncio.sleep(SIGNAL_INTERVAL if len(signals) > 1 else 0)
                return await process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await process.wait()

    def sample(self) -> None:
        """Measure the process once. To be called about every second."""
        if self._process is None or self._psutil_process is None:
            return
        if self._process.returncode is not None:
            if not self.restarting and not self.crash_reports:
                self.pool.open = False
                self.crash_reports.append(
                    f"{self.name} exited with status {self._process.returncode}: {self.last_log_line()}"
                )
            return
        with contextlib.suppress(psutil.Error):
            times = self._psutil_process.cpu_times()
            cpu_time, now = times.user + times.system, time.monotonic()
            cpu_delta, elapsed = cpu_time - self._last_cpu_time, now - self._last_sample_at
            usage = self.usage
            usage.cpu_seconds += cpu_delta
            if elapsed > 0.5:
                usage.peak_cores = max(usage.peak_cores, cpu_delta / elapsed)
            self._last_cpu_time, self._last_sample_at = cpu_time, now
            usage.peak_memory_mb = max(usage.peak_memory_mb, self._psutil_process.memory_info().rss / 1e6)
            usage.peak_descriptors = max(usage.peak_descriptors, self._psutil_process.num_fds())
        with contextlib.suppress(OSError):
            sizes = [path.stat().st_size for path in (self.folder / "state").iterdir()]
            self.usage.peak_disk_mb = max(
                self.usage.peak_disk_mb, sum(-(-size // 512) * 512 for size in sizes) / 1e6
            )


def free_port() -> int:
    """Return a TCP port of the loopback address that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def prepare_relay_process() -> None:
    """Set up the child process: its limit of descriptors, and SIGKILL when its parent ends."""
    os.setpgid(0, 0)  # only the parent receives the SIGINT of Ctrl-C
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTOR_LIMIT, hard), hard))
    end_with_parent()


def settle_memory() -> None:
    """Exclude all present objects from garbage collection and make later full collections rare.

    The fleet's objects live until the run ends and need no repeated traversal. A collection that traversed
    all connections delayed a run by about 0.2 s.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def end_with_parent() -> None:
    """Have the kernel kill this process when its parent process ends (prctl(2), PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
