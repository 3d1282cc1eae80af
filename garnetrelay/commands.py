"""Incremental reader of RESP2 commands. What it holds for a peer is bounded by the bytes of one command.

A command is an array of bulk strings. A general RESP parser allocates objects for the arguments that have
arrived, and an array for the number that is announced, before the command is complete. This reader therefore
keeps an incomplete command as plain bytes, checks its framing as it arrives, and decodes it only once it is
complete and within its limits.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import hiredis

MAX_BODY_BYTES = 64 * 1024
MAX_COMMAND_BYTES = MAX_BODY_BYTES + 16 * 1024  # a command including its framing
MAX_ARGUMENTS = 64  # the longest valid command has five; a longer one gets an error that says so

MAX_HEADER_BYTES = 12  # of the line with a length

LINE_END = b"\r\n"
ARRAY_HEADER = re.compile(rb"\*(0|[1-9]\d{0,8})\r\n")
STRING_HEADER = re.compile(rb"\$(0|[1-9]\d{0,8})\r\n")
INCOMPLETE_HEADER = re.compile(rb"(?:[*$](?:(?:0|[1-9]\d{0,8})\r?)?)?\Z")


class InvalidRequest(ValueError):
    """An invalid request; the text is sent to the client."""


@dataclass(frozen=True, slots=True)
class ScannedInput:
    """What a scan of received bytes has found."""

    size: int  # bytes that were used, from the start
    commands: list[list[bytes]]  # the arguments of those that these bytes complete
    error: InvalidRequest | None = None  # what follows is no command, or one beyond the limits


class CommandReader:
    """Splits the bytes of one connection into commands."""

    def __init__(self) -> None:
        self._buffer = bytearray()  # begins with the first byte of a command
        self._position = 0  # in the buffer: up to here the framing of the command is checked
        self._missing_arguments = 0  # of the command; 0 before its first line is complete

    @property
    def buffered_bytes(self) -> int:
        """The bytes of a command that is incomplete, or not read yet."""
        return len(self._buffer)

    def feed(self, data: bytes | memoryview) -> None:
        """Add received bytes. The caller reads all complete commands before it feeds more."""
        self._buffer += data

    def clear(self) -> None:
        """Discard the bytes of an incomplete command."""
        self._buffer = bytearray()
        self._position = self._missing_arguments = 0

    def scan(self, data: bytes | memoryview, max_commands: int) -> ScannedInput:
        """Take up to ``max_commands`` commands, and keep the bytes of an incomplete one behind them.

        What follows the last command, or an error, is not kept: the caller offers it again, or gives it up.
        """
        commands: list[list[bytes]] = []
        error: InvalidRequest | None = None
        self.feed(data)
        try:
            while len(commands) < max_commands and (arguments := self.read_command()) is not None:
                commands.append(arguments)
        except InvalidRequest as caught:
            error = caught
        size = len(data)
        if error is not None or len(commands) == max_commands:
            size -= min(size, self.buffered_bytes)
            self.clear()
        return ScannedInput(size, commands, error)

    def read_command(self) -> list[bytes] | None:
        """Return the arguments of the next command, or None until it is complete.

        Raises InvalidRequest if the bytes are no command, or a command beyond the limits. The framing is
        lost then.
        """
        if not self._is_complete():
            return None
        end = self._position
        decoder = hiredis.Reader()
        decoder.feed(self._buffer[:end])
        del self._buffer[:end]
        self._position = 0
        arguments: list[bytes] = decoder.gets()
        return arguments

    def _is_complete(self) -> bool:
        """Check the framing of the bytes that have arrived; return whether they hold a whole command."""
        if not self._missing_arguments and not self._check_array_header():
            return False
        while self._missing_arguments:
            header = STRING_HEADER.match(self._buffer, self._position)
            if header is None:
                return self._check_incomplete_header(b"$")
            start, length = header.end(), int(header[1])
            del header  # the buffer cannot grow while the match refers to it
            if not self._check_argument(start + length + len(LINE_END)):
                return False
        return True

    def _check_array_header(self) -> bool:
        """Read the number of arguments if it has arrived; return whether it has."""
        header = ARRAY_HEADER.match(self._buffer)
        if header is None:
            return self._check_incomplete_header(b"*")
        self._missing_arguments, self._position = int(header[1]), header.end()
        if not 1 <= self._missing_arguments <= MAX_ARGUMENTS:
            raise InvalidRequest(f"a command has 1 to {MAX_ARGUMENTS} arguments")
        return True

    def _check_argument(self, end: int) -> bool:
        """Move the position to ``end``, behind an argument, if that has arrived; return whether it has."""
        if end > MAX_COMMAND_BYTES:
            raise InvalidRequest("command too long")
        if end > len(self._buffer):
            return False
        if not self._buffer.endswith(LINE_END, self._position, end):
            raise InvalidRequest("a length does not fit its string")
        self._position = end
        self._missing_arguments -= 1
        return True

    def _check_incomplete_header(self, mark: bytes) -> bool:
        """Return False if the header that begins at the position may still become one. Raises InvalidRequest
        otherwise."""
        received = self._buffer[self._position : self._position + MAX_HEADER_BYTES]
        if received[:1] in (b"", mark) and INCOMPLETE_HEADER.match(received):
            return False
        raise InvalidRequest("a command is an array of bulk strings")
