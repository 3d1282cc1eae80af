"""Whether this process says that it can serve: clients' checks and operators' checks hear the same."""

from __future__ import annotations


class Health:
    """Two flags that any thread may read. The relay writes the first, the operators' door the second."""

    def __init__(self) -> None:
        self.ready = False  # the start is done, and the planned end has not begun
        self.drained = False  # operators send clients away

    @property
    def serving(self) -> bool:
        return self.ready and not self.drained

    def __str__(self) -> str:
        if not self.ready:
            return "starting or ending"
        return "drained" if self.drained else "serving"
