"""Whether this process says that it can serve: clients' checks and operators' checks hear the same."""

from __future__ import annotations


class Health:
    """Written by the relay, and read from any thread."""

    def __init__(self) -> None:
        self.ready = False  # the start is done, and the planned end has not begun

    @property
    def serving(self) -> bool:
        return self.ready

    def __str__(self) -> str:
        return "serving" if self.serving else "starting or ending"
