"""Counters and gauges of a relay process, and their text format for operators.

The code that performs or observes an event records it, exactly once. The event loop of the relay writes the
metrics and the thread of the management interface reads them; every value is an integer, which a reader in
another thread never sees half written.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

PREFIX = "relay"


class MessageEnd(Enum):
    """How a message ended. The value is the name of its counter."""

    ANSWERED = "answered_total"  # delivered
    DEFERRED = "deferred_total"  # rejected, or returned to the client later
    ERRORED = "errored_total"  # failed


# Help texts of all metrics.
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

# Attributes of ``Metrics`` that are written out as gauges under their own names.
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
    """All metrics of this process. They start at 0."""

    def __init__(self, class_names: Iterable[str]) -> None:
        # Every class has its counters from the start: monitoring would take a counter that appears later for
        # one that was reset.
        self.ends = {end: dict.fromkeys(class_names, 0) for end in MessageEnd}
        self.sends = 0
        self.current = 0
        self.cluster_size = 0
        self.cluster_unhealthy = 0
        self.destinations_suspect = 0
        self.destinations_out = 0
        self.destinations_recovering = 0
        self.journal_failing = 0

    def record_end(self, end: MessageEnd, class_name: str) -> None:
        """Count the end of a message of this class."""
        self.ends[end][class_name] += 1

    def record_send(self) -> None:
        """Count a message that was written whole to an endpoint."""
        self.sends += 1

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format, version 0.0.4."""
        lines = []
        for end, counts in self.ends.items():
            lines += _heading(end.value, "counter")
            lines += [
                f'{PREFIX}_{end.value}{{group="{_escape_label(class_name)}"}} {count}'
                for class_name, count in counts.items()
            ]
        lines += [*_heading("sends_total", "counter"), f"{PREFIX}_sends_total {self.sends}"]
        for name in GAUGES:
            lines += [*_heading(name, "gauge"), f"{PREFIX}_{name} {getattr(self, name)}"]
        return "\n".join(lines) + "\n"


def _heading(name: str, metric_type: str) -> list[str]:
    """Return the HELP and TYPE lines of a metric."""
    return [f"# HELP {PREFIX}_{name} {HELP[name]}", f"# TYPE {PREFIX}_{name} {metric_type}"]


def _escape_label(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
