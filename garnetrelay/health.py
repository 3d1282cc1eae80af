"""Readiness of the process, as the health check of the management interface reports it.

The health check of clients must report the same: while the relay is drained, it answers their PING with an
error.
"""

from __future__ import annotations


class Health:
    """Two flags that any thread may read.

    The relay writes ``ready``, and the thread of the management interface writes ``drained``.
    """

    def __init__(self) -> None:
        self.ready = False  # startup is complete and graceful shutdown has not begun
        self.drained = False  # operators have drained the relay of its clients

    @property
    def serving(self) -> bool:
        """Whether the process can serve clients: it is ready and not drained."""
        return self.ready and not self.drained

    def __str__(self) -> str:
        if not self.ready:
            return "starting or ending"
        return "drained" if self.drained else "serving"
