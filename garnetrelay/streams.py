"""Socket reads that avoid heap fragmentation."""

from __future__ import annotations

import asyncio
import select
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
