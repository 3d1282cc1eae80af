"""Socket reads that avoid heap fragmentation."""

from __future__ import annotations

import array
import asyncio
import fcntl
import select
import termios
from abc import ABC, abstractmethod

READ_SIZE = 64 * 1024


class BufferedReader(asyncio.BufferedProtocol, ABC):
    """A protocol that reads into a buffer shared by all connections of its owner, one read at a time.

    asyncio's plain protocol allocates 256 KiB for every read and shrinks the block to the bytes received.
    Data that is kept for a while, such as a message's body, then sits at the start of such a block, and the
    remainder fits small objects only: the heap grows for hours although no more memory is in use.
    """

    buffer: memoryview

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.buffer[:nbytes]))

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Process the bytes received."""


def new_buffer() -> memoryview:
    """Return a buffer for the reads of all connections of one owner."""
    return memoryview(bytearray(READ_SIZE))


def has_unread(transport: asyncio.Transport, fallback: bool) -> bool:
    """Return whether the socket has input, EOF included, that the event loop has not read yet.

    Returns ``fallback`` if the socket cannot be polled.
    """
    poll = select.poll()
    try:
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))
    except OSError:
        return fallback


def has_hung_up(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed its side, even behind input that has not been read."""
    poll = select.poll()
    try:
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))
    except OSError:
        return True  # the socket is gone


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes written that the peer's machine has not confirmed yet: a reset would discard them.

    Where the kernel does not tell, only those that it has not taken yet count.
    """
    in_kernel = array.array("i", [0])
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, in_kernel)
    except OSError:
        pass
    return transport.get_write_buffer_size() + in_kernel[0]
