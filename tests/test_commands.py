"""Tests of the reader of commands, without a connection."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay.commands import MAX_ARGUMENTS, MAX_COMMAND_BYTES, CommandReader, InvalidRequest
from tests.sockets import encode_command

COMMANDS = st.lists(st.lists(st.binary(max_size=40), min_size=1, max_size=6), max_size=5)


def read(reader: CommandReader, data: bytes, step: int) -> list[list[bytes]]:
    """Return the commands that a reader finds in data that arrives in pieces of ``step`` bytes."""
    commands = []
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step])
        while (command := reader.read_command()) is not None:
            commands.append(command)
    return commands


# Guards against a bound on memory that changes what a valid stream of commands means, however it is cut.
@given(COMMANDS, st.integers(1, 50))
def test_commands_are_read_the_same_in_pieces_of_any_size(commands: list[list[bytes]], step: int) -> None:
    reader = CommandReader()
    assert read(reader, b"".join(encode_command(*command) for command in commands), step) == commands
    assert reader.buffered_bytes == 0


# Guards against bytes that the framing lets pass although they are no command: the decoder would skip some.
@given(COMMANDS, st.binary(max_size=8), st.data())
def test_damaged_stream_yields_only_commands_that_it_encodes(
    commands: list[list[bytes]], noise: bytes, data: st.DataObject
) -> None:
    stream = b"".join(encode_command(*command) for command in commands)
    place = data.draw(st.integers(0, len(stream)))
    damaged = stream[:place] + noise + stream[place + len(noise) :]
    reader, found = CommandReader(), []
    reader.feed(damaged)
    try:
        while (command := reader.read_command()) is not None:
            found.append(command)
    except InvalidRequest:
        pass
    assert damaged.startswith(b"".join(encode_command(*command) for command in found))


# Guards against announced lengths and counts that a decoder would allocate memory for.
@pytest.mark.parametrize(
    "data",
    [
        b"*%d\r\n" % (MAX_ARGUMENTS + 1),
        b"*0\r\n",
        b"*08\r\n",
        b"*1\r\n$%d\r\n" % MAX_COMMAND_BYTES,
        b"*2\r\n$1\r\na\r\n*9\r\n",
        b"*1\r\n:1\r\n",
        b"*1\r\n$1\r\nabc",
        b"*1x",
        b"$1\r\n",
        b"\r\n",
    ],
)
def test_command_beyond_the_limits_is_refused_before_it_is_complete(data: bytes) -> None:
    reader = CommandReader()
    reader.feed(data)
    with pytest.raises(InvalidRequest):
        reader.read_command()


# Guards against an incomplete command that is kept in a form that takes more than its bytes.
def test_incomplete_command_is_kept_as_bytes() -> None:
    reader = CommandReader()
    data = encode_command("ENQUEUE", "0", "m1", "c=safe", bytes(60_000))[:-1]
    assert read(reader, data, 1000) == [] and reader.buffered_bytes == len(data)
    reader.clear()
    assert reader.buffered_bytes == 0


# Guards against input that is lost or read twice where only a part of what waits is taken.
@given(COMMANDS, st.binary(max_size=4), st.integers(1, 60), st.integers(1, 3))
def test_scan_takes_each_command_once_whatever_is_offered(
    commands: list[list[bytes]], rest: bytes, window: int, max_commands: int
) -> None:
    stream = b"".join(encode_command(*command) for command in commands)
    reader, found, position = CommandReader(), [], 0
    while position < len(stream):
        scanned = reader.scan(stream[position : position + window], max_commands)
        assert scanned.error is None and len(scanned.commands) <= max_commands
        assert scanned.size or not stream
        found += scanned.commands
        position += scanned.size
    assert found == commands and position == len(stream) and not reader.buffered_bytes
    garbage = b"+" + rest
    scanned = reader.scan(encode_command("a") + garbage, 5)
    assert scanned.commands == [[b"a"]] and scanned.error is not None
    assert scanned.size == len(encode_command("a")) and not reader.buffered_bytes
