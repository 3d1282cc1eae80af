"""Reading from sockets without leaving holes in memory."""

from __future__ import annotations

import asyncio
import select
from abc import ABC, abstractmethod

READ_SIZE = 64 * 1024


class BufferedReader(asyncio.BufferedProtocol, ABC):
    """A protocol that reads into a buffer that its owner's connections share: one is filled at a time.

    A plain protocol has room for 256 KiB allocated for every read and shrunk to what came. What is held for
    a while, a message's body above all, then lies at the foot of such a piece of the heap, and the rest of
    it is good for small things only: the heap grows for hours though no more is in use.
    """

    buffer: memoryview

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.buffer[:nbytes]))

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """What has come."""


def new_buffer() -> memoryview:
    return memoryview(bytearray(READ_SIZE))


def has_unread(transport: asyncio.Transport, unknown: bool) -> bool:
    """Whether something (an end, above all) has come that the loop has not read yet; ``unknown`` where the
    kernel cannot say just now."""
    poll = select.poll()
    try:
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))
    except OSError:
        return unknown
