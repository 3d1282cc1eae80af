"""The figures that operators fetch, each event counted once by whoever sees it happen.

The relay's loop writes them and the door's thread reads them: whole numbers and nothing else, so that no
reader can find one half written.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

PREFIX = "relay"


class MessageEnd(Enum):
    """How a message ended, by the name of its count."""

    ANSWERED = "answered_total"  # delivered
    DEFERRED = "deferred_total"  # refused, or handed back
    ERRORED = "errored_total"  # failed


HELP = {
    "answered_total": "Messages delivered.",
    "deferred_total": "Messages refused or handed back.",
    "errored_total": "Messages failed.",
    "sends_total": "Messages written whole to endpoints.",
    "current": "Messages taken on that have not ended.",
    "cluster_size": "Endpoints in the list.",
    "cluster_unhealthy": "Listed endpoints that are avoided now.",
    "destinations_suspect": "Destinations of which the latest call failed.",
    "destinations_out": "Destinations where most calls fail.",
    "destinations_recovering": "Destinations in slow start.",
    "journal_failing": "Whether records cannot be written to the lasting folder now.",
}

GAUGES = (
    "current",
    "cluster_size",
    "cluster_unhealthy",
    "destinations_suspect",
    "destinations_out",
    "destinations_recovering",
    "journal_failing",
)


class Metrics:
    """All figures of this process, from 0."""

    def __init__(self, class_names: Iterable[str]) -> None:
        # Every class has its line from the start: a count that appears later looks like one that was reset.
        self.ends = {end: dict.fromkeys(class_names, 0) for end in MessageEnd}
        self.sends = 0
        self.current = 0
        self.cluster_size = 0
        self.cluster_unhealthy = 0
        self.destinations_suspect = 0
        self.destinations_out = 0
        self.destinations_recovering = 0
        self.journal_failing = 0

    def record_end(self, end: MessageEnd, klass: str) -> None:
        self.ends[end][klass] += 1

    def record_send(self) -> None:
        self.sends += 1

    def render(self) -> str:
        """The text exposition format, version 0.0.4."""
        lines = []
        for end, counts in self.ends.items():
            lines += _heading(end.value, "counter")
            lines += [
                f'{PREFIX}_{end.value}{{group="{_escaped(klass)}"}} {count}'
                for klass, count in counts.items()
            ]
        lines += [*_heading("sends_total", "counter"), f"{PREFIX}_sends_total {self.sends}"]
        for name in GAUGES:
            lines += [*_heading(name, "gauge"), f"{PREFIX}_{name} {getattr(self, name)}"]
        return "\n".join(lines) + "\n"


def _heading(name: str, kind: str) -> list[str]:
    return [f"# HELP {PREFIX}_{name} {HELP[name]}", f"# TYPE {PREFIX}_{name} {kind}"]


def _escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
