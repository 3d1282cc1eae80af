"""In-memory state of the pacer: endpoints, destinations, calls in flight and held messages."""

from __future__ import annotations

from dataclasses import dataclass, field

from starlingwick.interface import MessageClass

SECOND = 1_000_000_000
NEVER = 1 << 62  # a time that no timer reaches: only an event can change the condition


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint of a destination: availability, calls in flight and health."""

    name: str
    zone: int
    kind: int = 0
    listed_rate: float = 0.0  # calls a second, from the endpoint list
    available: bool = True
    calls_in_flight: int = 0
    probing: bool = False
    last_sent_at: int = 0
    last_send_interval: int = NEVER  # nanoseconds between the last two sends, calls or probes
    last_success_sent_at: int = -1  # send time of the newest call that succeeded
    failure_rate: float = 0.0  # share of bad outcomes, weighted towards the newest
    retry_at: int = 0  # until then other endpoints are preferred if this one is suspect


@dataclass(slots=True, eq=False)
class Destination:
    """A unit of pacing: a destination, or one route of it where the kind has separate routes."""

    number: int
    max_batch_size: int
    # the name of its first endpoint, which its health record keeps although that endpoint may be replaced
    record_name: str = ""
    is_separate_route: bool = False  # one of several destinations of its number, each with one endpoint
    endpoints: list[Endpoint] = field(default_factory=list)
    listed_rate: float = 0.0  # calls a second from all relays, listed or reported; 0: unknown
    rate_is_reported: bool = False  # listed_rate is the destination's own report, not the list's figure
    rate_limit: float | None = None  # calls a second of this relay
    rate_limit_changed_at: int = 0  # when the rate limit last changed
    rate_decreased_at: int = 0  # when it was last decreased
    rate_before_decrease: float = 0.0  # calls a second before that: the limit, or the send rate if none
    next_call_at: int = 0  # earliest time of the next call under the rate limit
    mean_response_time: float = 0.0  # nanoseconds; 0: unknown
    retry_after_until: int = 0  # the end of the wait that an endpoint asked for
    backoff: float = 0.0  # this relay's own pause after a call, nanoseconds
    backoff_until: int = 0
    backoff_changed_at: int = 0  # when the backoff was last set
    throttled_since: int | None = None  # when the current run of throttled calls began
    failure_rate: float = 0.0  # share of bad outcomes at all its endpoints, weighted towards the newest
    unhealthy_since: int | None = None  # the first bad outcome since it was healthy
    # time of the latest bad outcome, or the future end of a retry-after wait that no limit explains
    last_bad_outcome_at: int = 0
    last_failure_at: int = 0  # the latest failure, or throttled call that no limit explains
    in_outage: bool = False  # most calls fail (half-open): one trial call at a time
    # estimated time of its return (the end of a long retry-after wait), or time of a restart of slow start;
    # None: slow start has not begun, or the destination is in an outage
    slow_start_began_at: int | None = None
    unconfirmed: bool = False  # a failure restarted slow start, and no call has succeeded since
    slow_start_ends_at: int = 0  # the end of slow start if it returned as late as possible
    rate_before_outage: float = 0.0  # successful calls a second of this relay before the outage
    next_trial_at: int = 0  # earliest time of the next trial call, or of the next call in slow start
    throttle_times: list[int] = field(default_factory=list)  # oldest first, as in all these lists
    send_times: list[int] = field(default_factory=list)
    arrival_times: list[int] = field(default_factory=list)
    success_times: list[int] = field(default_factory=list)
    # failed calls, and throttled ones that no limit explains
    failure_times: list[int] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Call:
    """A call in flight. It takes one slot and has one outcome, and may carry several messages.

    Also describes a probe or a predecessor's call while its outcome is recorded, then without messages.
    """

    destination: Destination
    endpoint: Endpoint
    sent_at: int
    messages: list[Message]
    unsettled_messages: int = 0  # messages without an outcome
    outcome_recorded: bool = False  # the health of the destination reflects its outcome
    counted_overdue: bool = False  # already counted as a bad outcome because it was overdue


@dataclass(slots=True, eq=False)
class Message:
    """A held message: its attempts, whether one may have been executed, and its times."""

    message_id: str
    message_class: MessageClass
    destination: int
    key: str | None
    value: float
    arrived_at: int
    deadline: int
    attempts: int = 0
    unsent_attempts: int = 0  # attempts of which no byte was written
    call: Call | None = None
    not_before: int = 0
    possible_run_at: int | None = None  # send time of the first attempt that may have been executed
    possible_run_zone: int = 0
    finished: bool = False
    # accepted by a previous process and never sent: it gets a call before it is given up
    unattempted: bool = False

    @property
    def target_at(self) -> int:
        """When the target latency ends; the value decays from then on."""
        return self.deadline - self.message_class.deadline + self.message_class.target_latency
