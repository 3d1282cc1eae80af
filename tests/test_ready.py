"""Startup time of a restarted process with a full journal on a tenth of a core."""

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
LIVES_ON = 3_600_000  # milliseconds until the deadline of all messages
MOST_BODY = 64 * 1024


class FullJournal:
    """A journal filled to the limit of a relay, then closed as by a kill."""

    def __init__(self, folder: Path) -> None:
        self.journal = Journal(folder, DISK)
        self.refs: list[str] = []

    def fill(self, body: bytes, max_messages: int = 1 << 30) -> None:
        """Accept messages until the relay would reject a client for lack of room."""
        deadline = monotonic_ms() + LIVES_ON
        while len(self.refs) < max_messages:
            ref = f"{len(self.refs):016x}"
            if not self.journal.has_room(record_weight(ref, ref, body)):
                break
            assert self.journal.accept(JournalEntry(ref, "safe", 3, ref, deadline, body))
            self.refs.append(ref)

    def record_until_rewrite(self) -> int:
        """Record failed calls until the file is rewritten once and return its size before that."""
        number, size = 0, 0
        while self.journal.size >= size:
            size = self.journal.size
            self._call(number)
            number += 1
        return size

    def record_to(self, size: int) -> None:
        """Record failed calls up to a file size."""
        number = 0
        while self.journal.size + 512 < size:
            self._call(number)
            number += 1

    def _call(self, number: int) -> None:
        ref = self.refs[number % len(self.refs)]
        assert self.journal.record_attempt_start(ref, "north", number)
        self.journal.record_outcome(ref, False)


def many_small(full_journal: FullJournal) -> None:
    full_journal.fill(b"x" * 16)
    assert len(full_journal.refs) > 1000


def few_large(full_journal: FullJournal) -> None:
    full_journal.fill(bytes(range(256)) * 256)
    assert len(full_journal.refs) > 20 and full_journal.journal.size > DISK * 0.48


def many_records(full_journal: FullJournal) -> None:
    """Fill half of the room with messages and the rest with records of their calls."""
    full_journal.fill(b"x" * 16, max_messages=670)
    full_journal.record_to(full_journal.record_until_rewrite())
    assert full_journal.journal.size > DISK * 0.7


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process in all its threads."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.fixture(scope="module")
def bytecode(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return the bytecode folder, filled by the first start: a deployed relay has it from its build."""
    return tmp_path_factory.mktemp("bytecode")


@pytest.mark.parametrize("fill", [many_small, few_large, many_records])
async def test_nine_in_ten_restarts_are_ready_within_10_s_on_a_tenth_of_a_core(
    field: Field,
    process: Process,
    monkeypatch: pytest.MonkeyPatch,
    bytecode: Path,
    fill: Callable[[FullJournal], None],
) -> None:
    """10 s of a tenth of a core are 1 s of processor time up to the first PONG. All journaled messages are
    recovered."""
    monkeypatch.setenv("PYTHONPYCACHEPREFIX", str(bytecode))
    monkeypatch.delenv("PYTHONDONTWRITEBYTECODE", raising=False)
    field.facts["limits"]["mostHeld"] = 10_000
    full_journal = FullJournal(field.state)
    fill(full_journal)
    full_journal.journal.close()
    assert full_journal.journal.size <= DISK
    backup = shutil.copy(full_journal.journal.path, field.folder / "full")
    used = []
    for _ in range(1 + RESTARTS):
        shutil.copy(backup, full_journal.journal.path)
        process.log.clear()
        client = await process.start()
        assert process.child is not None and await client.ask("PING") == b"PONG"
        used.append(processor_seconds(process.child.pid))
        await process.stop(signal.SIGKILL)
        count = len(full_journal.refs)
        assert any(f"picked up {count} messages and notices, " in line for line in process.log)
    used.pop(0)  # the first start compiled the program
    assert sum(seconds / CORE < READY for seconds in used) >= 0.9 * RESTARTS, used
