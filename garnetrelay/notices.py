"""Notices to the platform: the final end of each undelivered message, posted until it is acknowledged.

Each post has a connection of its own. On a connection that is used again, a second copy of an earlier
response would acknowledge a post that nobody has read, and its notices would be lost.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

import h11

from garnetrelay.config import Address

log = logging.getLogger(__name__)

NOTICES_PATH = "/v1/notices"
# seconds to connect and get a response; the platform answers at once, and a notice is late after 0.3
RESPONSE_TIMEOUT = 0.15
MAX_RESPONSE_TIMEOUT = 1.2  # seconds, as the timeout doubles with each failure in a row
RETRY_DELAY = 0.1  # seconds before a retry; the first retry follows at once
MAX_BODY_BYTES = 64 * 1024


class Notices:
    """Posts queued notices in batches, oldest first, one request at a time.

    ``on_acknowledged`` is called with the message id of each acknowledged notice.
    """

    def __init__(self, address: Address, on_acknowledged: Callable[[str], None]) -> None:
        self.address = address
        self.on_acknowledged = on_acknowledged
        self.queue: dict[str, bytes] = {}  # message id -> JSON line of a notice that is not acknowledged yet
        self.pending = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.failures = 0  # in a row

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())

    def queue_notice(self, message_id: str, result: str, wait_ms: int) -> None:
        """Queue a notice: ``dead``, or ``bounced`` with the milliseconds after which to retry."""
        notice: dict[str, str | int] = {"ref": message_id, "result": result}
        if result == "bounced" and wait_ms:
            notice["wait_ms"] = wait_ms
        self.queue[message_id] = json.dumps(notice, separators=(",", ":")).encode() + b"\n"
        self.pending.set()

    def change_address(self, address: Address) -> None:
        """Set the platform's address for later requests; one in flight may still be answered."""
        self.address = address

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            await self.pending.wait()
            try:
                await self._post_batch()
                self.failures = 0
            except (OSError, TimeoutError, ValueError, h11.ProtocolError) as error:
                log.warning("%d notices wait: %s", len(self.queue), str(error) or type(error).__name__)
                await self._back_off()
            except Exception:  # any error: if this task ended, every later notice would be lost
                log.exception("%d notices wait", len(self.queue))
                await self._back_off()

    async def _back_off(self) -> None:
        """Delay every retry but the first."""
        self.failures += 1
        await asyncio.sleep(RETRY_DELAY if self.failures > 1 else 0)

    async def _post_batch(self) -> None:
        batch = self._next_batch()
        async with asyncio.timeout(min(RESPONSE_TIMEOUT * 2 ** min(self.failures, 8), MAX_RESPONSE_TIMEOUT)):
            status = await self._post(b"".join(batch.values()))
        if status != 204:
            raise ValueError(f"the platform answered {status}")
        for message_id in batch:
            self.on_acknowledged(message_id)
            del self.queue[message_id]
        if not self.queue:
            self.pending.clear()

    def _next_batch(self) -> dict[str, bytes]:
        batch: dict[str, bytes] = {}
        size = 0
        for message_id, line in self.queue.items():
            size += len(line)
            if size > MAX_BODY_BYTES:
                break
            batch[message_id] = line
        return batch

    async def _post(self, body: bytes) -> int:
        """Post ``body`` on a new connection and return the status of the complete response."""
        address = self.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(_encode_post(http, address, body))
            return await _read_status(http, reader)
        finally:
            writer.transport.abort()


def _encode_post(http: h11.Connection, address: Address, body: bytes) -> bytes:
    headers = [("Host", str(address)), ("Content-Length", str(len(body))), ("Connection", "close")]
    data = http.send(h11.Request(method="POST", target=NOTICES_PATH, headers=headers)) or b""
    data += http.send(h11.Data(data=body)) or b""
    return data + (http.send(h11.EndOfMessage()) or b"")


async def _read_status(http: h11.Connection, reader: asyncio.StreamReader) -> int:
    """Return the status of the response once it is complete. Raises ConnectionError if it ends before."""
    status = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionError("the platform closed the connection")
        elif isinstance(event, h11.EndOfMessage):
            return status
