"""Tracks every message sent to a real relay and counts rule violations.

A ``Rule`` needs no clock: an accepted message has an end, never has two attempts in flight, goes only to
its own destination, unchanged, and has a bounded number of attempts. These rules hold however slow the
machine is, and a violation fails the run. ``Timed`` rules depend on a clock; they are counted separately
and fail a run only on request, because a stand-in on a machine short of processor time sees timely events
late. Times are monotonic seconds.
"""

from __future__ import annotations

import enum
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from fleetlab.fleet import MAX_ATTEMPTS, REPEAT_WINDOW, TARGET_LATENCY

MAX_LISTED = 20  # violations described in the result
ORDER_TOLERANCE = 0.1  # seconds; closer events may be handled out of order by the event loop
READY_GRACE = 1.5  # seconds after a restart in which no end counts as late
LATE_TOLERANCE = 0.35  # seconds after the deadline; the protocol allows 300 ms and 50 ms
MAX_LATENCY_US = 3_600_000_000


class Rule(enum.Enum):
    """Rules checked by counting, without a clock."""

    LOST = "lost: taken on and never ended"
    TWO_OUT = "two attempts of one message in flight at once"
    TOO_MANY = "more attempts than allowed"
    FOREIGN = "sent to an endpoint of another destination"
    UNKNOWN = "sent a message that no client submitted"
    ALTERED = "key or body not forwarded unchanged"
    AFTER_END = "sent after a notice ended the message"
    UNREADABLE = "unreadable notice"


class Timed(enum.Enum):
    """Rules that depend on a clock."""

    LATE_END = "ended more than 350 ms after its deadline"
    DRAIN = "sent to a draining endpoint after the grace period"
    WAIT = "sent within a retry-after wait"
    FELL = "recovering destination overloaded by relays that had seen its outage"
    REPEAT = "sent again outside the repeat window after it may have run"


class State(enum.Enum):
    """A relay's answer to one submission of a message."""

    PENDING = "asked"  # submitted, no answer yet
    ACCEPTED = "taken"
    REJECTED = "refused"
    ABANDONED = "abandoned"  # no answer came; this message id no longer counts
    FAILED = "failed"  # answered with an error


class End(enum.Enum):
    """Final end of a submitted message."""

    DELIVERED = "delivered"
    FAILED = "dead"
    REJECTED = "bounced"


@dataclass(slots=True, eq=False)
class Message:
    """A client's message, however many times the client submits it."""

    number: int
    destination: int
    key: str
    first_submitted_at: float
    deadline: float
    submissions: int = 0
    rejections: int = 0
    delivered: bool = False


@dataclass(slots=True, eq=False)
class Entry:
    """One submission of a message to a relay."""

    message_id: str
    relay: str
    body: bytes
    message: Message
    state: State = State.PENDING
    attempts: int = 0
    in_flight: int = 0
    may_have_run_at: float | None = None  # arrival of the first attempt that may have run
    end: End | None = None
    ended_at: float = 0.0
    delivered_at: float | None = None  # when a 200 response was written, whether or not the relay read it
    on_rejection: Callable[[int], None] | None = None


@dataclass(slots=True)
class Counts:
    """Counters of a run."""

    offered: int = 0  # messages, each counted once
    handed_in: int = 0
    taken: int = 0
    refused: int = 0
    abandoned: int = 0
    failed: int = 0
    delivered: int = 0  # messages
    in_time: int = 0  # of the delivered messages, within the target latency
    repeats: int = 0  # repeated deliveries
    dead: int = 0
    bounced: int = 0
    attempts: int = 0


@dataclass(slots=True)
class Ledger:
    """All submissions of a run, with its counters, latencies and rule violations."""

    counts: Counts = field(default_factory=Counts)
    broken: Counter[Rule] = field(default_factory=Counter)
    timed: Counter[Timed] = field(default_factory=Counter)
    violation_texts: list[str] = field(default_factory=list)
    entries_by_attempts: Counter[int] = field(default_factory=Counter)  # ended entries by number of attempts
    delivery_latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    answer_latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    entries: dict[str, Entry] = field(default_factory=dict)
    open_messages: int = 0  # accepted and not ended
    late_ends_allowed_until: dict[str, float] = field(default_factory=dict)  # by relay
    _by_submission: deque[Entry] = field(default_factory=deque)

    def record_violation(self, rule: Rule | Timed, text: str) -> None:
        """Count a violation and keep the descriptions of the first ``MAX_LISTED``."""
        if isinstance(rule, Rule):
            self.broken[rule] += 1
        else:
            self.timed[rule] += 1
        if len(self.violation_texts) < MAX_LISTED:
            self.violation_texts.append(f"{rule.name.lower()}: {text}")

    def relay_restarting(self, relay: str) -> None:
        """Excuse late ends from the relay's SIGTERM or SIGKILL on."""
        self.late_ends_allowed_until[relay] = math.inf

    def relay_ready(self, relay: str, now: float) -> None:
        """Excuse late ends for another ``READY_GRACE`` now that the relay is ready."""
        self.late_ends_allowed_until[relay] = now + READY_GRACE

    # ---- clients

    def record_offered(self) -> None:
        self.counts.offered += 1

    def record_submission(self, entry: Entry) -> None:
        self.entries[entry.message_id] = entry
        self._by_submission.append(entry)
        self.counts.handed_in += 1

    def record_answer(self, entry: Entry, state: State, seconds: float, now: float) -> None:
        """Record a relay's answer, or that none came. A delivery before the answer counts from now on."""
        entry.state = state
        match state:
            case State.ACCEPTED:
                self.answer_latency.record_value(max(1, round(seconds * 1e6)))
                self.counts.taken += 1
                self.open_messages += entry.end is None
                if entry.delivered_at is not None:
                    self._record_delivery(entry, now)
            case State.REJECTED:
                self.answer_latency.record_value(max(1, round(seconds * 1e6)))
                self.counts.refused += 1
            case State.FAILED:
                self.counts.failed += 1
            case State.ABANDONED:
                self.counts.abandoned += 1
            case State.PENDING:
                raise ValueError("State.PENDING is not an answer")

    # ---- endpoints

    def record_attempt(
        self, entry: Entry, destination: int, key: str | None, body: bytes, now: float
    ) -> None:
        """Record an attempt that has arrived completely at an endpoint of ``destination``."""
        message, message_id = entry.message, entry.message_id
        entry.attempts += 1
        entry.in_flight += 1
        self.counts.attempts += 1
        if entry.attempts > MAX_ATTEMPTS:
            self.record_violation(Rule.TOO_MANY, f"{message_id} at {entry.relay}, {entry.attempts} attempts")
        if destination != message.destination:
            self.record_violation(
                Rule.FOREIGN, f"{message_id} at {entry.relay} for {message.destination}, to {destination}"
            )
        if key != message.key or body != entry.body:
            self.record_violation(Rule.ALTERED, f"{message_id} at {entry.relay}")
        if entry.end in (End.FAILED, End.REJECTED) and now > entry.ended_at + ORDER_TOLERANCE:
            self.record_violation(
                Rule.AFTER_END, f"{message_id} at {entry.relay}, {now - entry.ended_at:.3f} s after"
            )
        if (
            entry.may_have_run_at is not None
            and now > entry.may_have_run_at + REPEAT_WINDOW + ORDER_TOLERANCE
        ):
            self.record_violation(
                Timed.REPEAT, f"{message_id} at {entry.relay}, {now - entry.may_have_run_at:.3f} s after"
            )

    def record_possible_execution(self, entry: Entry, arrived_at: float) -> None:
        if entry.may_have_run_at is None:
            entry.may_have_run_at = arrived_at

    def record_response(self, entry: Entry, now: float) -> None:
        """Record that a 200 response was written to the relay."""
        if entry.delivered_at is not None:
            self.counts.repeats += 1
            return
        entry.delivered_at = now
        if entry.state is State.ACCEPTED:
            self._record_delivery(entry, now)

    def _record_delivery(self, entry: Entry, now: float) -> None:
        message, first = entry.message, not entry.message.delivered
        self._record_end(entry, End.DELIVERED, now)
        if first:
            message.delivered = True
            seconds = now - message.first_submitted_at
            self.counts.delivered += 1
            self.counts.in_time += seconds <= TARGET_LATENCY
            self.delivery_latency.record_value(max(1, round(seconds * 1e6)))

    # ---- the platform

    def record_notice(self, message_id: str, result: str, wait_ms: int, now: float) -> None:
        """Record a notice; ignore it if the message is unknown, ended or delivered."""
        entry = self.entries.get(message_id)
        if entry is None or entry.end is not None or entry.delivered_at is not None:
            return
        end = End(result)
        self._record_end(entry, end, now)
        if end is End.FAILED:
            self.counts.dead += 1
        else:
            self.counts.bounced += 1
            if entry.on_rejection is not None and entry.state is State.ACCEPTED:
                entry.on_rejection(wait_ms)

    def _record_end(self, entry: Entry, end: End, now: float) -> None:
        if entry.end is not None:
            return
        entry.end, entry.ended_at = end, now
        if entry.state is State.ACCEPTED:
            self.open_messages -= 1
            self.entries_by_attempts[entry.attempts] += 1
            if now > max(
                entry.message.deadline + LATE_TOLERANCE, self.late_ends_allowed_until.get(entry.relay, 0.0)
            ):
                ending = f"{end.value} {now - entry.message.deadline:.3f} s after"
                self.record_violation(Timed.LATE_END, f"{entry.message_id} at {entry.relay}, {ending}")

    def check_expired(self, before: float) -> None:
        """Check and drop the messages whose deadline is earlier than ``before``."""
        while self._by_submission and self._by_submission[0].message.deadline < before:
            entry = self._by_submission.popleft()
            if entry.state is State.ACCEPTED and entry.end is None:
                self.open_messages -= 1
                self.record_violation(
                    Rule.LOST, f"{entry.message_id} at {entry.relay}, {entry.attempts} attempts"
                )
            del self.entries[entry.message_id]

    @property
    def latest_deadline(self) -> float:
        """Latest deadline of the accepted messages without an end; 0 if there are none."""
        unfinished = (
            entry for entry in self._by_submission if entry.state is State.ACCEPTED and entry.end is None
        )
        return max((entry.message.deadline for entry in unfinished), default=0.0)
