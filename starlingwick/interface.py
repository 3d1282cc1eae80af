"""The input and output types of :class:`~starlingwick.control.Pacer`: settings, events and actions.

Times are integer nanoseconds, rates are calls a second, shares lie in 0 to 1. Zones, kinds and classes are
given by their indices in the settings. This module contains no decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any


class Idempotency(Enum):
    """Whether a message may be sent again after an attempt that may have been executed."""

    SAFE = "retryable"
    KEYED = "dedup"
    UNSAFE = "fragile"


class KeyScope(Enum):
    """Which endpoints of a destination recognise a repeated idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ValueDecay(Enum):
    """How the value of a message falls once its target latency has passed."""

    LINEAR = "even"
    HALVING = "by_half"


class DiscoveryMode(Enum):
    """How changes of the endpoint list reach a relay."""

    AUTOMATIC = "automatic"
    SUBSCRIBE = "subscribe"


class Status(IntEnum):
    """Outcome of an attempt or a probe."""

    OK = 10
    ERROR = 20
    FULL = 30  # throttled: the endpoint asked for fewer calls
    TIMEOUT = 40
    CONNECT_FAILED = 50
    RESET = 60
    CANCELLED = 70  # given up after a Cancel action
    MOOT = 80  # the call was not made: no free slot, or it was no longer needed
    ABANDONED = 90  # stopped before its first byte was written: never executed


class Availability(Enum):
    """State of an endpoint in the endpoint list."""

    RUNNING = "Running"
    STOPPING = "Stopping"
    DELETED = "Deleted"


class UpdateScope(Enum):
    """What an endpoint update contains."""

    DELTA = "D"
    SNAPSHOT = "F"
    CACHED = "C"
    FAILED = "X"


def _require(ok: bool, field: str, what: str) -> None:
    if not ok:
        raise ValueError(f"{field}: {what}")


@dataclass(frozen=True, slots=True)
class MessageClass:
    """Settings of one message class."""

    target_latency: int
    deadline: int
    value: float
    late_value: float
    idempotency: Idempotency
    key_scope: KeyScope
    deduplication_window: int
    ordered: bool

    def __post_init__(self) -> None:
        _require(self.target_latency > 0, "classes[].aim", "must be above 0")
        _require(self.deadline >= self.target_latency, "classes[].deadline", "must not be less than the aim")
        _require(self.value >= 0, "classes[].worth", "must not be negative")
        _require(0 <= self.late_value <= 1, "classes[].lateWorth", "must lie in 0 to 1")
        _require(self.deduplication_window >= 0, "classes[].repeatWindow", "must not be negative")


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """Settings of one kind of destination."""

    separate_routes: bool
    max_batch_size: int

    def __post_init__(self) -> None:
        _require(self.max_batch_size >= 1, "familyInfo.perCall", "must be at least 1")


# Fields of Rules that must not be negative, with the keys of the settings that they are read from.
NON_NEGATIVE_RULES = {
    "answer_slack": "answerSlack",
    "discovery_interval": "askEvery",
    "drain_grace": "drainGrace",
    "slow_start_duration": "rampTime",
    "ordering_gap": "turnGap",
}


@dataclass(frozen=True, slots=True)
class Rules:
    """Numeric parameters of the pacing rules."""

    answer_slack: int
    discovery_interval: int
    drain_grace: int
    overload_window: int
    overload_multiple: float
    slow_start_duration: int
    slow_start_initial_share: float
    ordering_gap: int

    def __post_init__(self) -> None:
        for field, key in NON_NEGATIVE_RULES.items():
            _require(getattr(self, field) >= 0, f"rules.{key}", "must not be negative")
        _require(self.overload_window > 0, "rules.fall", "must be above 0")
        _require(self.overload_multiple > 0, "rules.fallMultiple", "must be above 0")
        _require(0 < self.slow_start_initial_share <= 1, "rules.startCapacity", "must lie in 0 to 1")


@dataclass(frozen=True, slots=True)
class Limits:
    """Capabilities and limits of the deployment."""

    cancel: bool
    probes: bool
    peers: bool
    hedging: bool
    retry_after: bool
    max_held: int
    max_attempts: int
    max_retry_after: int
    connect_timeout: int
    connection_idle_timeout: int

    def __post_init__(self) -> None:
        _require(self.max_held >= 1, "limits.mostHeld", "must be at least 1")
        _require(self.max_attempts >= 1, "limits.mostTries", "must be at least 1")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings that a relay receives when it starts."""

    relays: int
    max_calls: int
    tick: int
    zone: int
    discovery: DiscoveryMode
    uses_listed_rates: bool
    value_decay: ValueDecay
    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    tenant_quotas: tuple[float, ...]
    over_quota_value: float
    zone_fees: tuple[float, ...]
    throttled_price: float  # of a throttled call; the Pacer does not use it
    prices: dict[str, float]  # by name; the Pacer does not use them
    rules: Rules
    limits: Limits

    def __post_init__(self) -> None:
        _require(self.relays >= 1, "relays", "must be at least 1")
        _require(self.max_calls >= 1, "familyInfo.callsOut", "must be at least 1")
        _require(self.tick >= 0, "tick", "must not be negative")
        _require(bool(self.classes), "classes", "must not be empty")
        _require(0 <= self.over_quota_value <= 1, "overShareWorth", "must lie in 0 to 1")
        _require(all(r >= 0 for r in self.tenant_quotas), "tenants[].quotaPerS", "must not be negative")


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list."""

    endpoint: str
    zone: int
    kind: int
    destination: int
    availability: Availability
    rate: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A destination's report of its own limit: the share that remains, and the limit in calls a second
    (0: no limit)."""

    remaining: float
    limit: float


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A snapshot or a delta of the endpoint list, a list known before the first subscription (CACHED: stored
    by an earlier process or from the configuration), or a lost or failed subscription (FAILED)."""

    scope: UpdateScope
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class DestinationLoaded:
    """A destination is in use from now on; ``entries`` are its endpoints. Earlier deltas need not have
    contained them, and an earlier snapshot did not."""

    destination: int
    entries: tuple[EndpointEntry, ...]


class HealthState(Enum):
    """Health of a destination as its calls have shown it."""

    HEALTHY = "well"
    # A call failed, or was throttled without a limit that explains it; none has succeeded since then or since
    # the end of slow start.
    SUSPECT = "suspect"
    OUTAGE = "out"  # most calls fail: one trial call at a time
    RECOVERING = "recovering"  # slow start


@dataclass(frozen=True, slots=True)
class HealthRecord:
    """The health of an unhealthy or recovering destination, kept across processes. Times are nanoseconds of
    the machine's monotonic clock, or None. The destination is healthy if ``unhealthy_since`` is None."""

    destination: int
    # An endpoint that it has or had: the name of the record. Identifies the route where routes are separate.
    endpoint: str
    failure_rate: float  # share of bad outcomes, weighted towards the newest
    in_outage: bool
    unhealthy_since: int | None
    last_bad_outcome_at: int
    last_failure_at: int
    slow_start_began_at: int | None
    slow_start_ends_at: int
    unconfirmed: bool
    rate_before_outage: float  # calls a second


@dataclass(frozen=True, slots=True)
class HealthRestored:
    """Health records of a previous process, for destinations that are in use from now on."""

    records: tuple[HealthRecord, ...]


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A client has sent a new message."""

    message_id: str
    tenant: int
    class_index: int
    destination: int
    key: str | None
    time_left: int
    storable: bool = True  # whether the journal has room for it


@dataclass(frozen=True, slots=True)
class MessageRecovered:
    """A message that a previous process accepted and did not finish.

    ``possible_run_age`` is the time since its first attempt that may have been executed, or None if there was
    no such attempt; ``possible_run_zone`` is that attempt's zone.
    """

    message_id: str
    class_index: int
    destination: int
    key: str | None
    time_left: int  # negative if its deadline passed while the relay was down
    attempts: int
    possible_run_age: int | None
    possible_run_zone: int


@dataclass(frozen=True, slots=True)
class PredecessorState:
    """The state that the predecessor handed over when it released the right to send.

    ``facts`` is the result of its ``Pacer.handover_state()``.
    """

    facts: dict[str, Any]


@dataclass(frozen=True, slots=True)
class PredecessorCallEnded:
    """The outcome of a call that the predecessor had in flight. Its message belongs to the predecessor."""

    endpoint: str
    status: Status
    sent_at: int
    duration: int
    retry_after: int
    stale: bool


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """An endpoint has asked for a wait, in a response that may not be complete yet."""

    message_id: str
    endpoint: str
    wait: int


@dataclass(frozen=True, slots=True)
class PredecessorCalls:
    """The number of calls that the predecessor has in flight. They count against ``Settings.max_calls``."""

    calls: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process will exit at ``at`` and cut off calls in flight. The next process may send from
    ``resumes_at``."""

    at: int
    resumes_at: int


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The message needs no further attempt and no answer from this process: the client gave it up, it could
    not be accepted, or another process has taken it over."""

    message_id: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of one attempt. ``retry_after`` is 0 if the endpoint asked for no wait; ``stale`` marks
    an outcome that is no sign of the endpoint's health: the endpoint had closed the idle connection, or the
    local machine failed."""

    message_id: str
    attempt: int
    endpoint: str
    status: Status
    duration: int
    finished: bool
    retry_after: int
    no_slot: bool
    report: LoadReport | None
    stale: bool = False


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The outcome of a probe."""

    endpoint: str
    status: Status
    duration: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set by ``SetTimer`` has expired."""

    token: int


Event = (
    EndpointUpdate
    | DestinationLoaded
    | MessageArrived
    | MessageRecovered
    | PredecessorState
    | HealthRestored
    | PredecessorCallEnded
    | RetryAfter
    | PredecessorCalls
    | ShutdownStarted
    | MessageWithdrawn
    | AttemptEnded
    | ProbeEnded
    | TimerExpired
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an endpoint.

    Sends to one endpoint in one result of ``handle`` share a call, up to the kind's ``max_batch_size``.
    """

    message_id: str
    endpoint: str
    deadline: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Return a message to its client undelivered; the client may send it again."""

    message_id: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """End a message without delivery. It may have been executed."""

    message_id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    message_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a health check to an endpoint."""

    endpoint: str
    deadline: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class EvictDestination:
    """Drop a destination from memory. It must be loaded again before its next use. Only for destinations that
    ``DestinationLoaded`` has loaded."""

    destination: int


@dataclass(frozen=True, slots=True)
class PersistHealth:
    """Persist health records, so that the next process continues from what this one has seen."""

    records: tuple[HealthRecord, ...]


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a ``TimerExpired`` event after a delay."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log for the operators."""

    text: str


Action = (
    Send
    | Reject
    | Fail
    | Cancel
    | Probe
    | CloseIdleConnections
    | EvictDestination
    | PersistHealth
    | SetTimer
    | Subscribe
    | Log
)
