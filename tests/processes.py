"""A relay in a separate process, for tests that signal or kill it."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

from tests.sockets import PATIENCE, Client, Field

ROOT = Path(__file__).parent.parent


def free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


class Process:
    """A relay process that can be killed and restarted."""

    def __init__(self, field: Field) -> None:
        self.field = field
        self.port = free_port()
        self.mgmt: int | None = None
        self.inherited: int | None = None
        self.child: asyncio.subprocess.Process | None = None
        self.module = "garnetrelay"  # that python -m runs
        self.extra: dict[str, str] = {}  # environment variables
        self.log: list[str] = []  # the lines read so far

    async def start(self, until: str = "serves on") -> Client:
        environment = {**os.environ, **self.field.environment(self.port, self.mgmt), **self.extra}
        if self.inherited is not None:
            environment["RELAY_INHERITED_FD"] = str(self.inherited)
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            cwd=ROOT,
            env=environment,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=() if self.inherited is None else (self.inherited,),
        )
        await self.wait_for_log(until)
        return await Client.connect(self.port)

    async def wait_for_log(self, text: str) -> None:
        """Read the log up to a line that contains the text."""
        assert self.child is not None and self.child.stderr is not None
        async with asyncio.timeout(PATIENCE):
            while line := (await self.child.stderr.readline()).decode():
                self.log.append(line)
                if text in line:
                    return
        raise AssertionError(f"the relay ended without logging '{text}'")

    async def stop(self, signal_number: signal.Signals) -> int:
        assert self.child is not None
        if self.child.returncode is None:
            self.child.send_signal(signal_number)
        async with asyncio.timeout(PATIENCE):
            return await self.child.wait()
