"""How soon a restarted process is ready behind a full journal, where it has a tenth of a core."""

from __future__ import annotations

import os
import shutil
import signal
from collections.abc import Callable
from pathlib import Path

import pytest

from garnetrelay.clock import monotonic_ms
from garnetrelay.journal import JournalEntry, Journal, record_weight
from tests.processes import Process
from tests.sockets import Field

DISK = 3_000_000  # bytes
READY = 10.0  # seconds, for nine in ten restarted processes
CORE = 0.1  # of a core
RESTARTS = 10
LIVES_ON = 3_600_000  # milliseconds that all messages have left
MOST_BODY = 64 * 1024


class Full:
    """A journal filled as far as a relay fills it, then closed as by a kill."""

    def __init__(self, folder: Path) -> None:
        self.journal = Journal(folder, DISK)
        self.refs: list[str] = []

    def take(self, body: bytes, most: int = 1 << 30) -> None:
        """Messages, until a client would be refused for want of room."""
        deadline = monotonic_ms() + LIVES_ON
        while len(self.refs) < most:
            ref = f"{len(self.refs):016x}"
            if not self.journal.has_room(record_weight(ref, ref, body)):
                break
            assert self.journal.accept(JournalEntry(ref, "safe", 3, ref, deadline, body))
            self.refs.append(ref)

    def record(self) -> int:
        """Calls that came to nothing, until the file has been written anew once: its size before that."""
        number, size = 0, 0
        while self.journal.size >= size:
            size = self.journal.size
            self._call(number)
            number += 1
        return size

    def record_to(self, size: int) -> None:
        """The same, to as far as it grew before."""
        number = 0
        while self.journal.size + 512 < size:
            self._call(number)
            number += 1

    def _call(self, number: int) -> None:
        ref = self.refs[number % len(self.refs)]
        assert self.journal.record_attempt_start(ref, "north", number)
        self.journal.record_outcome(ref, False)


def many_small(full: Full) -> None:
    full.take(b"x" * 16)
    assert len(full.refs) > 1000


def few_large(full: Full) -> None:
    full.take(bytes(range(256)) * 256)
    assert len(full.refs) > 20 and full.journal.size > DISK * 0.48


def many_records(full: Full) -> None:
    """Messages to half of the room, and as many records of their calls as the file can hold beside them."""
    full.take(b"x" * 16, most=670)
    full.record_to(full.record())
    assert full.journal.size > DISK * 0.7


def processor_seconds(pid: int) -> float:
    """That a process has used, all its threads together."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.fixture(scope="module")
def bytecode(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Where the bytecode goes with the first start: a relay that is deployed has it from its build."""
    return tmp_path_factory.mktemp("bytecode")


@pytest.mark.parametrize("fill", [many_small, few_large, many_records])
async def test_nine_in_ten_restarts_are_ready_within_10_s_on_a_tenth_of_a_core(
    field: Field,
    process: Process,
    monkeypatch: pytest.MonkeyPatch,
    bytecode: Path,
    fill: Callable[[Full], None],
) -> None:
    """10 s of a tenth of a core are 1 s of processor time, up to the first PONG. All on record is picked
    up."""
    monkeypatch.setenv("PYTHONPYCACHEPREFIX", str(bytecode))
    monkeypatch.delenv("PYTHONDONTWRITEBYTECODE", raising=False)
    field.facts["limits"]["mostHeld"] = 10_000
    full = Full(field.state)
    fill(full)
    full.journal.close()
    assert full.journal.size <= DISK
    kept = shutil.copy(full.journal.path, field.folder / "full")
    used = []
    for _ in range(1 + RESTARTS):
        shutil.copy(kept, full.journal.path)
        process.log.clear()
        client = await process.start()
        assert process.child is not None and await client.ask("PING") == b"PONG"
        used.append(processor_seconds(process.child.pid))
        await process.stop(signal.SIGKILL)
        number = len(full.refs)
        assert any(f"picked up {number} messages and notices, " in line for line in process.log)
    used.pop(0)  # it compiled the program
    assert sum(one / CORE < READY for one in used) >= 0.9 * RESTARTS, used
