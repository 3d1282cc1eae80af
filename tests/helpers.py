"""Settings, events and a harness for tests of the decision module, without sockets or a clock."""

from __future__ import annotations

from typing import Any

from starlingwick import interface as io
from starlingwick.control import Pacer

S = 1_000_000_000  # nanoseconds
MS = 1_000_000  # nanoseconds

# Class indexes of the message classes in `settings()`.
SAFE, KEYED, UNSAFE, ORDERED = 0, 1, 2, 3


def message_class(
    idempotency: io.Idempotency, key_scope: io.KeyScope = io.KeyScope.ALL, ordered: bool = False
) -> io.MessageClass:
    """Return a message class with a deadline of 20 s and a deduplication window of 10 s."""
    return io.MessageClass(
        target_latency=2 * S,
        deadline=20 * S,
        value=1.0,
        late_value=0.5,
        idempotency=idempotency,
        key_scope=key_scope,
        deduplication_window=10 * S,
        ordered=ordered,
    )


def settings(**changes: Any) -> io.Settings:
    """Return settings for tests; ``changes`` replace fields, ``rules`` and ``limits`` single entries."""
    rules: dict[str, Any] = dict(
        answer_slack=20 * MS,
        discovery_interval=10 * S,
        drain_grace=S,
        overload_window=2 * S,
        overload_multiple=2.0,
        slow_start_duration=10 * S,
        slow_start_initial_share=0.2,
        ordering_gap=0,
    )
    limits: dict[str, Any] = dict(
        cancel=True,
        probes=True,
        peers=False,
        hedging=False,
        retry_after=False,
        max_held=100,
        max_attempts=6,
        max_retry_after=2 * S,
        connect_timeout=S,
        connection_idle_timeout=10 * S,
    )
    rules.update(changes.pop("rules", {}))
    limits.update(changes.pop("limits", {}))
    values: dict[str, Any] = dict(
        relays=2,
        max_calls=8,
        tick=5 * MS,
        zone=0,
        discovery=io.DiscoveryMode.AUTOMATIC,
        uses_listed_rates=False,
        value_decay=io.ValueDecay.LINEAR,
        classes=(
            message_class(io.Idempotency.SAFE),
            message_class(io.Idempotency.KEYED),
            message_class(io.Idempotency.UNSAFE),
            message_class(io.Idempotency.KEYED, ordered=True),
        ),
        kinds=(
            io.DestinationKind(separate_routes=False, max_batch_size=1),
            io.DestinationKind(separate_routes=True, max_batch_size=1),
            io.DestinationKind(separate_routes=False, max_batch_size=4),
        ),
        tenant_quotas=(),
        over_quota_value=0.1,
        zone_fees=(),
        throttled_price=0.0,
        prices={},
        rules=io.Rules(**rules),
        limits=io.Limits(**limits),
    )
    values.update(changes)
    return io.Settings(**values)


def endpoint_entry(
    endpoint: str,
    destination: int = 1,
    kind: int = 0,
    zone: int = 0,
    availability: io.Availability = io.Availability.RUNNING,
    rate: float = 1.0,
) -> io.EndpointEntry:
    return io.EndpointEntry(endpoint, zone, kind, destination, availability, rate)


class PacerHarness:
    """Drives one Pacer on a clock of its own and records its actions.

    ``attempts`` and ``last_endpoints`` hold the number and the endpoint of the last attempt of each message.
    """

    def __init__(self, *entries: io.EndpointEntry, seed: int = 7, at: int = 1000 * S, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.pacer = Pacer(self.settings, seed)
        self.now = at
        self.message_count = 0
        self.attempts: dict[str, int] = {}
        self.last_endpoints: dict[str, str] = {}
        self.actions: list[io.Action] = self.handle(io.EndpointUpdate(io.UpdateScope.CACHED, entries))

    def handle(self, *events: io.Event, after: int = 0) -> list[io.Action]:
        """Run one planning pass, ``after`` nanoseconds after the previous one, and return its actions."""
        self.now += after
        self.actions = self.pacer.handle(self.now, events)
        for send in self.sends():
            self.attempts[send.message_id] = self.attempts.get(send.message_id, -1) + 1
            self.last_endpoints[send.message_id] = send.endpoint
        return self.actions

    def message(
        self,
        class_index: int = SAFE,
        destination: int = 1,
        key: str | None = None,
        tenant: int = 0,
        time_left: int = 20 * S,
    ) -> io.MessageArrived:
        """Return the arrival of a new message; ids run m1, m2, ..."""
        self.message_count += 1
        return io.MessageArrived(f"m{self.message_count}", tenant, class_index, destination, key, time_left)

    def attempt_ended(
        self,
        message_id: str,
        status: io.Status,
        retry_after: int = 0,
        duration: int = 100 * MS,
        report: io.LoadReport | None = None,
    ) -> io.AttemptEnded:
        """Return the end of the message's last attempt."""
        return io.AttemptEnded(
            message_id,
            self.attempts[message_id],
            self.last_endpoints[message_id],
            status,
            duration,
            status is io.Status.OK,
            retry_after,
            False,
            report,
        )

    def sends(self) -> list[io.Send]:
        """Return the sends of the last planning pass."""
        return [a for a in self.actions if isinstance(a, io.Send)]

    def actions_of(self, kind: type) -> list[Any]:
        """Return the last planning pass's actions of one type."""
        return [a for a in self.actions if isinstance(a, kind)]

    def serve(self, count: int = 1, class_index: int = SAFE, destination: int = 1) -> None:
        """Deliver this many messages, one after the other."""
        for _ in range(count):
            self.handle(self.message(class_index, destination), after=100 * MS)
            for send in self.sends():
                self.handle(self.attempt_ended(send.message_id, io.Status.OK), after=100 * MS)

    def finish_attempts(self, status: io.Status, count: int, retry_after: int = 0) -> None:
        """End the attempts in flight with this status, one after the other, until ``count`` have ended."""
        finished = 0
        for _ in range(400):
            in_flight = [m.message_id for m in self.pacer.messages.values() if m.call is not None]
            if finished >= count:
                return
            if in_flight:
                self.handle(self.attempt_ended(in_flight[0], status, retry_after), after=10 * MS)
                finished += 1
            else:
                self.handle(after=100 * MS)
        raise AssertionError(f"only {finished} of {count} attempts were sent")
