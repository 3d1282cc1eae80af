"""Decides when and where each held message is sent, how often it is attempted, and how it ends.

The input and output types are in ``interface.py``. The mechanism is that of "Adaptive Architecture": a rate
limit for each destination, which a run of throttled calls decreases to 0.75 and which recovers more slowly on
an exponential curve, and a number of calls in flight by Little's Law (rate times mean response time).
A planning pass takes in all events, ends the messages that must end, and then sends.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Iterable
from itertools import islice
from typing import Any

from starlingwick.handover_facts import collect_facts, restore_facts
from starlingwick.health_record import health_state, healthy_record, restore_health, to_record
from starlingwick.interface import (
    Action,
    AttemptEnded,
    Availability,
    CloseIdleConnections,
    DestinationLoaded,
    DiscoveryMode,
    EndpointEntry,
    EndpointUpdate,
    Event,
    EvictDestination,
    Fail,
    HealthRecord,
    HealthRestored,
    HealthState,
    Idempotency,
    KeyScope,
    LoadReport,
    Log,
    MessageArrived,
    MessageRecovered,
    MessageWithdrawn,
    PersistHealth,
    PredecessorCallEnded,
    PredecessorCalls,
    PredecessorState,
    Probe,
    ProbeEnded,
    Reject,
    RetryAfter,
    Send,
    SetTimer,
    Settings,
    ShutdownStarted,
    Status,
    Subscribe,
    TimerExpired,
    UpdateScope,
    ValueDecay,
)
from starlingwick.listed_rate import call_interval, max_limit_wait
from starlingwick.slow_start import SlowStart
from starlingwick.state import (
    NEVER,
    SECOND,
    Call,
    Destination,
    Endpoint,
    Message,
)

# Figures of "Adaptive Architecture". Times are nanoseconds.
DECREASE_FACTOR = 0.75  # share of the rate limit that remains after a decrease
THROTTLE_THRESHOLD = 3  # throttled calls within THROTTLE_WINDOW that cause a decrease
THROTTLE_WINDOW = 2 * SECOND
RECOVERY_INTERVAL = 2 * SECOND  # between two steps of the recovery
RECOVERY_SHARE = 0.25  # of the gap to the target, at each step
RECOVERED_SHARE = 0.95  # of the target, where the limit is dropped: an exponential never reaches it
RATE_WINDOW = 4 * SECOND  # for measuring rates: two recovery steps
MAX_SLOT_SHARE = 0.75  # of the slots, for one destination

# Figures that it leaves open.
OUTCOME_WEIGHT = 0.3  # of the newest outcome in a failure rate: two bad outcomes in a row exceed one half
SUSPECT_THRESHOLD = 0.25  # of a failure rate: one bad outcome exceeds it, a success after it undoes that
OUTAGE_THRESHOLD = 0.5  # of a failure rate: most calls fail, which is how the rules define an outage
RESPONSE_TIME_WEIGHT = 0.1  # of the newest response time in the mean
OVERDUE_FACTOR = 4  # mean response times until a call is overdue: rare, even in a skewed distribution
AMPLE_LIMIT_SHARE = 0.5  # of a limit: no reason to hold calls back, nor to throttle them
EXHAUSTED_LIMIT_SHARE = 0.1  # of a limit, as reported with noise: the next call is as likely throttled as not
INITIAL_BACKOFF = SECOND // 4  # after throttling or a failure; grows with further ones
RELAY_SPACING = SECOND // 10  # between the subscriptions of relays that all lose their watches at once
FIRST_JITTER = SECOND  # spread of the first after a lost watch: it had been silent, changes may be missing
MAX_JITTER = 4 * SECOND  # maximum spread of later ones: a change must be known within 6 s
# from the start of a failed subscription to that of the next, which is answered within those 6 s
MAX_SUBSCRIBE_INTERVAL = 11 * SECOND // 2
PROBE_TIMEOUT = 3 * SECOND // 2
STORAGE_RETRY_AFTER = SECOND  # until a full or failing disk may have room again
# beyond it, unused ones are evicted: some seconds' traffic of a relay that serves many
MAX_LOADED_DESTINATIONS = 1024
MAX_EVICTION_CHECKS = 4  # in each planning pass

HEALTH_LOG_WORDS = {  # first word of the log line
    HealthState.HEALTHY: "well",
    HealthState.SUSPECT: "suspect",
    HealthState.OUTAGE: "outage",
    HealthState.RECOVERING: "back",
}
POSSIBLY_EXECUTED = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)
FAILED = (Status.ERROR, Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED)
MAY_STILL_RUN = (Status.TIMEOUT, Status.RESET, Status.CANCELLED)


class Pacer:
    """Makes the decisions of one relay: ``handle`` takes events and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.slow_start = SlowStart(settings)
        self.now = 0
        self.started: int | None = None
        self.actions: list[Action] = []
        self.messages: dict[str, Message] = {}
        # by destination number: held messages without an attempt in flight
        self.waiting_messages: dict[int, dict[str, Message]] = {}
        self.held_count = 0
        self.unattempted_by_id: dict[str, Message] = {}  # see Message.unattempted
        self.unattempted_counts: Counter[int] = Counter()  # of those, by destination number
        self.ordered_queues: dict[str, deque[Message]] = {}
        self.ordering_gaps: dict[str, int] = {}  # by key: when the gap after its last possible run ends
        self.expiry_queue: list[tuple[int, str]] = []
        self.routes: dict[int, list[Destination]] = {}  # by destination number
        self.endpoints: dict[str, tuple[Destination, Endpoint]] = {}
        # destinations that can be evicted, least recently used first
        self.loaded_destinations: dict[int, None] = {}
        self.freed_endpoints: list[Endpoint] = []  # whose call ended in this planning pass
        self.calls: dict[Call, None] = {}  # in flight, oldest first: each takes a slot
        self.predecessor_calls = 0  # in flight in another process of this relay: they take slots too
        self.quota_due_at = [0] * len(settings.tenant_quotas)  # by tenant: when a message is within quota
        self.dirty: dict[Destination, None] = {}  # their health has changed in this planning pass
        # of a previous process, by destination number: the list does not name their destination at present
        self.unplaced_records: dict[int, list[HealthRecord]] = {}
        self.obsolete_records: list[HealthRecord] = []  # replaced by another record of their destination
        self.subscribe_at = NEVER
        self.subscribe_failures = 0  # in a row
        self.subscribe_started_at = NEVER  # when the last subscription began
        self.subscribed = False
        self.stopping_at = NEVER  # when this process exits
        self.resumes_at = NEVER  # when the next process may send
        self.timer_token = 0  # of the newest timer; older ones are ignored
        self.timer_at = NEVER
        self.wake_at = NEVER

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Process a batch of events, then plan the sends. The returned actions take effect at ``now``."""
        self.now = now
        self.actions = []
        self.wake_at = NEVER
        if self.started is None:
            self.started = now
            if self.settings.discovery is DiscoveryMode.SUBSCRIBE:
                self.subscribe_at = now
        for event in events:
            match event:
                case MessageArrived():
                    self.on_message_arrived(event)
                case AttemptEnded():
                    self.on_attempt_ended(event)
                case MessageRecovered():
                    self.on_message_recovered(event)
                case ShutdownStarted():
                    self.stopping_at, self.resumes_at = event.at, event.resumes_at
                case PredecessorState():
                    self.on_predecessor_state(event.facts)
                case HealthRestored():
                    self.on_health_restored(event)
                case PredecessorCallEnded():
                    self.on_predecessor_call_ended(event)
                case RetryAfter():
                    self.on_retry_after(event)
                case PredecessorCalls():
                    self.predecessor_calls = event.calls
                case MessageWithdrawn():
                    if event.message_id in self.messages:
                        self.finish(self.messages[event.message_id])
                case EndpointUpdate():
                    self.on_endpoint_update(event)
                case DestinationLoaded():
                    self.loaded_destinations[event.destination] = None
                    for entry in event.entries:
                        self.apply_endpoint_entry(entry)
                case ProbeEnded():
                    self.on_probe_ended(event)
                case TimerExpired():  # with a coarser clock perhaps early, but it will not expire again
                    if event.token == self.timer_token:
                        self.timer_at = NEVER
        if self.timer_at <= now:
            self.timer_at = NEVER
        self.subscribe_if_due()
        self.count_overdue_calls()
        self.end_expired()
        self.shed_load()
        self.plan_sends()
        self.close_idle_connections()
        self.evict_destinations()
        self.persist_health()
        if self.wake_at < self.timer_at:
            self.timer_at = max(self.wake_at, now + 1)
            self.timer_token += 1
            self.actions.append(SetTimer(self.timer_at - now, self.timer_token))
        return self.actions

    # ---- endpoint list

    def subscribe_if_due(self) -> None:
        """Subscribe to the endpoint list when it is time; the result of the call decides about the next."""
        if self.now >= self.subscribe_at and not self.subscribed:
            self.actions.append(Subscribe())
            self.subscribe_at, self.subscribe_started_at = NEVER, self.now
        if not self.subscribed:
            self.wake_at = min(self.wake_at, self.subscribe_at)

    def subscribe_jitter(self) -> int:
        """Return the time over which to spread the next subscription. All relays lose their watches at once,
        and calls that discovery turns away keep it busy too. The time therefore doubles with each failure, up
        to what the delivery of changes allows."""
        if not self.subscribe_failures:
            return FIRST_JITTER
        return min(
            MAX_JITTER, max(SECOND, RELAY_SPACING * self.settings.relays << min(self.subscribe_failures, 8))
        )

    def on_endpoint_update(self, event: EndpointUpdate) -> None:
        """Apply a snapshot or a delta, or schedule the next subscription after the watch has failed."""
        if event.scope is UpdateScope.FAILED:
            if self.settings.discovery is DiscoveryMode.SUBSCRIBE:
                minimum = SECOND // 2 if self.subscribe_failures else 0
                self.subscribe_at = self.now + minimum + round(self.random.random() * self.subscribe_jitter())
                if not self.subscribed:  # the time since the call began counts: discovery may be back
                    self.subscribe_at = max(
                        self.now, min(self.subscribe_at, self.subscribe_started_at + MAX_SUBSCRIBE_INTERVAL)
                    )
                self.subscribe_failures += 1
            self.subscribed = False
            return
        if event.scope is not UpdateScope.CACHED:
            self.subscribed = True
            self.subscribe_failures = 0
        for entry in event.entries:
            self.apply_endpoint_entry(entry)
        if event.scope is not UpdateScope.DELTA:
            listed = {entry.endpoint for entry in event.entries}
            for name in [name for name in self.endpoints if name not in listed]:
                self.remove_endpoint(name)

    def apply_endpoint_entry(self, entry: EndpointEntry) -> None:
        """Add, update or remove the endpoint of an entry."""
        if entry.availability is Availability.DELETED:
            self.remove_endpoint(entry.endpoint)
            return
        known = self.endpoints.get(entry.endpoint)
        if known is not None and (known[0].number, known[1].kind) != (entry.destination, entry.kind):
            self.remove_endpoint(entry.endpoint)  # must not get messages of its former destination
        if entry.endpoint not in self.endpoints:
            kind = self.settings.kinds[entry.kind]
            routes = self.routes.setdefault(entry.destination, [])
            if kind.separate_routes or not routes:
                routes.append(
                    Destination(entry.destination, kind.max_batch_size, entry.endpoint, kind.separate_routes)
                )
            self.endpoints[entry.endpoint] = (
                routes[-1],
                Endpoint(entry.endpoint, entry.zone, entry.kind, entry.rate),
            )
            routes[-1].endpoints.append(self.endpoints[entry.endpoint][1])
            for record in self.unplaced_records.pop(entry.destination, ()):
                self.restore_record(record)
        destination, endpoint = self.endpoints[entry.endpoint]
        endpoint.available = entry.availability is Availability.RUNNING
        if self.settings.uses_listed_rates and (
            not destination.listed_rate or endpoint.listed_rate != entry.rate
        ):
            self.slow_start.set_listed_rate(destination, entry.rate)
        endpoint.zone, endpoint.listed_rate = entry.zone, entry.rate

    def remove_endpoint(self, endpoint_name: str) -> None:
        """Remove an endpoint from the list; calls in flight to it go on. A separate route is removed with its
        last endpoint, which bounds the memory in use."""
        if endpoint_name in self.endpoints:
            destination, endpoint = self.endpoints.pop(endpoint_name)
            endpoint.available = False  # may_send stops calls that are about to begin
            destination.endpoints.remove(endpoint)
            if not destination.endpoints and len(self.routes[destination.number]) > 1:
                self.routes[destination.number].remove(destination)

    def mark_used(self, number: int) -> None:
        """Make a destination the last candidate for eviction: it has a message, or cannot be evicted now."""
        if number in self.loaded_destinations:
            del self.loaded_destinations[number]
            self.loaded_destinations[number] = None

    def evict_destinations(self) -> None:
        """Evict the least recently used destinations beyond the maximum. A relay of a large fleet uses many,
        each rarely: the state of a healthy one is out of date by its next use."""
        for number in list(
            islice(
                self.loaded_destinations,
                min(MAX_EVICTION_CHECKS, max(0, len(self.loaded_destinations) - MAX_LOADED_DESTINATIONS)),
            )
        ):
            if self.can_evict(number):
                del self.loaded_destinations[number]
                for route in self.routes.pop(number, ()):
                    for endpoint in route.endpoints:
                        del self.endpoints[endpoint.name]
                self.actions.append(EvictDestination(number))
            else:
                self.mark_used(number)

    def can_evict(self, number: int) -> bool:
        """Return whether a destination has no messages, no calls and no state to keep: retry-after waits and
        slow start (rules 4 and 6), this relay's own pacing, and signs of poor health."""
        settled_before = self.now - max(RATE_WINDOW, self.settings.rules.slow_start_duration)
        return number not in self.waiting_messages and not any(
            route.calls
            or route.failure_rate > SUSPECT_THRESHOLD
            or route.rate_limit is not None
            or self.slow_start.is_active(route, self.now)
            or max(route.retry_after_until, route.backoff_until, route.next_call_at, route.next_trial_at)
            > self.now
            or route.throttled_since is not None
            and route.backoff_changed_at > settled_before
            or any(endpoint.probing for endpoint in route.endpoints)
            for route in self.routes.get(number, ())
        )

    # ---- held messages

    def is_within_quota(self, tenant: int) -> bool:
        """Return whether a tenant's message is within its quota, and charge the quota if it is. A burst may
        have two seconds' worth of messages plus one, or three messages if that is more."""
        if tenant >= len(self.quota_due_at):
            return True
        interval = round(SECOND * self.settings.relays / max(self.settings.tenant_quotas[tenant], 1e-9))
        due_at = max(self.quota_due_at[tenant], self.now - max(2 * SECOND, 2 * interval))
        self.quota_due_at[tenant] = due_at + interval if due_at <= self.now else due_at
        return due_at <= self.now

    def on_message_arrived(self, event: MessageArrived) -> None:
        """Hold a new message, or reject it if it cannot be stored."""
        if not event.storable:
            self.actions.append(Reject(event.message_id, self.storage_retry_after()))
            return
        message_class = self.settings.classes[event.class_index]
        value = message_class.value
        if not self.is_within_quota(event.tenant):
            value *= self.settings.over_quota_value
        message = Message(
            event.message_id,
            message_class,
            event.destination,
            event.key if message_class.ordered else None,
            value,
            self.now,
            self.now + event.time_left,
        )
        self.messages[event.message_id] = message
        self.mark_used(event.destination)
        self.waiting_messages.setdefault(event.destination, {})[event.message_id] = message
        self.held_count += 1
        heapq.heappush(self.expiry_queue, (message.deadline - 2 * self.settings.tick, event.message_id))
        if message.key is not None:
            self.ordered_queues.setdefault(message.key, deque()).append(message)
        for route in self.routes.get(event.destination, ()):
            self.record_time(route.arrival_times, RATE_WINDOW)

    def storage_retry_after(self) -> int:
        """Return the retry-after time for a message that the journal has no room for; 0 if none is sent."""
        limits = self.settings.limits
        return min(STORAGE_RETRY_AFTER, limits.max_retry_after) if limits.retry_after else 0

    def on_message_recovered(self, event: MessageRecovered) -> None:
        """Hold a message of a previous process. Its attempts and a possible execution still count."""
        message_class = self.settings.classes[event.class_index]
        message = Message(
            event.message_id,
            message_class,
            event.destination,
            event.key if message_class.ordered else None,
            message_class.value,
            self.now,
            self.now + event.time_left,
            attempts=event.attempts,
        )
        if event.possible_run_age is not None:
            message.possible_run_at, message.possible_run_zone = (
                self.now - event.possible_run_age,
                event.possible_run_zone,
            )
        if not event.attempts and message.possible_run_at is None:
            message.unattempted = True
            self.unattempted_by_id[message.message_id] = message
            self.unattempted_counts[message.destination] += 1
        self.messages[event.message_id] = message
        self.mark_used(event.destination)
        self.held_count += 1
        if message.key is not None:
            self.ordered_queues.setdefault(message.key, deque()).append(message)
            if message.possible_run_at is not None:
                self.ordering_gaps[message.key] = self.now + self.settings.rules.ordering_gap
        if self.has_no_attempt_left(message):
            self.reject_or_fail(message)
        else:
            self.waiting_messages.setdefault(message.destination, {})[message.message_id] = message
            heapq.heappush(self.expiry_queue, (message.deadline - 2 * self.settings.tick, message.message_id))

    def has_no_attempt_left(self, message: Message) -> bool:
        """Return whether a message without an attempt in flight may not be attempted again."""
        attempts_made = message.attempts - message.unsent_attempts
        return (
            attempts_made >= self.settings.limits.max_attempts
            or not self.may_repeat(message, None)
            or self.now >= message.deadline - 2 * self.settings.tick
        )

    def value_at(self, message: Message, when: int) -> float:
        """Return the value of a message if it is delivered at that time."""
        lateness = when - message.target_at
        if when >= message.deadline:
            return 0.0
        if lateness <= 0:
            return message.value
        if self.settings.value_decay is ValueDecay.HALVING:
            halved: float = 0.5 ** (lateness / message.message_class.target_latency)
            return message.value * max(message.message_class.late_value, halved)
        return message.value * (
            1 - (1 - message.message_class.late_value) * lateness / (message.deadline - message.target_at)
        )

    def may_reject(self, message: Message) -> bool:
        """Rule 2: return whether the client may be told that sending the message again is harmless."""
        if message.possible_run_at is None and message.call is None:
            return True
        if message.message_class.idempotency is Idempotency.KEYED:
            return message.message_class.key_scope is KeyScope.ALL
        return message.message_class.idempotency is Idempotency.SAFE

    def may_repeat(self, message: Message, endpoint: Endpoint | None) -> bool:
        """Rule 2: return whether a message may be sent to the endpoint (None: to any) after an attempt that
        may have been executed."""
        if message.possible_run_at is None or message.message_class.idempotency is Idempotency.SAFE:
            return True
        if (
            message.message_class.idempotency is Idempotency.UNSAFE
            or self.now >= message.possible_run_at + message.message_class.deduplication_window
        ):
            return False
        return (
            endpoint is None
            or message.message_class.key_scope is KeyScope.ALL
            or (
                message.message_class.key_scope is KeyScope.ZONE
                and endpoint.zone == message.possible_run_zone
            )
        )

    def reject_or_fail(self, message: Message, opens_at: int = 0) -> None:
        """End a held message undelivered: reject it if rule 2 allows that, otherwise fail it. The answer goes
        out at once and is never delayed to hold the client back; a rejection carries the retry-after time if
        ``opens_at`` gives one."""
        if message.finished:
            return
        limits = self.settings.limits
        retry_after = max(0, min(opens_at - self.now, limits.max_retry_after)) if limits.retry_after else 0
        self.actions.append(
            Reject(message.message_id, retry_after) if self.may_reject(message) else Fail(message.message_id)
        )
        self.finish(message)

    def finish(self, message: Message) -> None:
        """Mark a message as finished. It is kept until its last attempt has an outcome."""
        if not message.finished:
            message.finished = True
            self.held_count -= 1
            self.mark_attempted(message)
        self.remove_from_waiting(message)
        if message.call is None:
            self.messages.pop(message.message_id, None)
            queue = self.ordered_queues.get(message.key) if message.key is not None else None
            if queue is not None and message.key is not None:
                queue.remove(message)
                if not queue:
                    del self.ordered_queues[message.key]

    def mark_attempted(self, message: Message) -> None:
        """Stop counting a message as unattempted: a call for it has been written, or it has finished."""
        message.unattempted = False
        if self.unattempted_by_id.pop(message.message_id, None) is not None:
            self.unattempted_counts[message.destination] -= 1

    def remove_from_waiting(self, message: Message) -> None:
        """Remove a message from those that wait. A destination without any is not visited when planning."""
        waiting = self.waiting_messages.get(message.destination, {})
        if message.message_id in waiting:
            del waiting[message.message_id]
            if not waiting:
                del self.waiting_messages[message.destination]

    def end_expired(self) -> None:
        """End the waiting messages two ticks before their deadline, so that the answer arrives in time."""
        while self.expiry_queue and self.expiry_queue[0][0] <= self.now:
            message = self.messages.get(heapq.heappop(self.expiry_queue)[1])
            if message is not None and message.call is None:
                self.reject_or_fail(message)
        if self.expiry_queue:
            self.wake_at = min(self.wake_at, self.expiry_queue[0][0])

    def shed_load(self) -> None:
        """Reject the messages with the least value at their expected send time while the relay is nearly
        full. Headroom is kept because the host of a full relay may reject new messages of any value."""
        headroom = max(1, self.settings.limits.max_held // 16)
        if self.held_count <= self.settings.limits.max_held - headroom:
            return
        candidates = []
        for number, waiting in self.waiting_messages.items():
            rate = sum(
                self.event_rate(route.send_times, RATE_WINDOW) for route in self.routes.get(number, ())
            )
            expected_at = self.now + round(len(waiting) * SECOND / max(rate, SECOND / THROTTLE_WINDOW))
            candidates += [
                (
                    self.value_at(message, expected_at),
                    self.value_at(message, self.now),
                    -message.arrived_at,
                    message.message_id,
                    expected_at,
                )
                for message in waiting.values()
                if self.may_reject(message) and not message.unattempted
            ]
        for *_, message_id, expected_at in sorted(candidates)[
            : self.held_count + headroom - self.settings.limits.max_held
        ]:
            self.reject_or_fail(self.messages[message_id], expected_at)

    # ---- outcomes

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the outcome of an attempt, then finish the message or let it wait for the next attempt."""
        message = self.messages.get(event.message_id)
        if message is None or message.call is None or event.attempt != message.attempts - 1:
            return
        call, message.call = message.call, None
        if message.unattempted and event.status not in (Status.ABANDONED, Status.CONNECT_FAILED):
            self.mark_attempted(message)  # a call has been written
        if event.status is Status.ABANDONED:
            message.unsent_attempts += 1
        call.unsettled_messages -= 1
        if call.unsettled_messages == 0:
            call.destination.calls.remove(call)
            call.endpoint.calls_in_flight -= 1
            del self.calls[call]
            self.freed_endpoints.append(call.endpoint)
        if not call.outcome_recorded:
            call.outcome_recorded = True
            if not event.stale:  # the end of an idle connection is no sign of the endpoint's health
                self.record_call_outcome(call, event.status, event.duration, event.retry_after, event.report)
        if event.retry_after:  # rule 6: each outcome of a call may contain a wait
            call.destination.retry_after_until = max(
                call.destination.retry_after_until, self.now + event.retry_after
            )
        if event.status in POSSIBLY_EXECUTED and message.possible_run_at is None:
            message.possible_run_at, message.possible_run_zone = call.sent_at, call.endpoint.zone
        if event.status in MAY_STILL_RUN and message.key is not None:
            self.ordering_gaps.pop(message.key, None)  # keeps the oldest first, to drop those that are over
            self.ordering_gaps[message.key] = self.now + self.settings.rules.ordering_gap
            while self.ordering_gaps and self.ordering_gaps[next(iter(self.ordering_gaps))] <= self.now:
                del self.ordering_gaps[next(iter(self.ordering_gaps))]
        if event.finished or message.finished or event.status is Status.OK:
            self.finish(message)
        elif self.has_no_attempt_left(message) or event.status is Status.MOOT and not event.no_slot:
            self.reject_or_fail(message)  # MOOT for other reasons: a further attempt would not be sent either
        else:  # wait for the next attempt, with a backoff that grows with the number of attempts
            attempts_made = max(1, message.attempts - message.unsent_attempts)
            backoff = min(INITIAL_BACKOFF << min(attempts_made - 1, 8), message.message_class.target_latency)
            message.not_before = self.now + round(backoff * self.random.uniform(0.5, 1.0))
            self.waiting_messages.setdefault(message.destination, {})[message.message_id] = message
            heapq.heappush(self.expiry_queue, (message.deadline - 2 * self.settings.tick, message.message_id))

    def on_probe_ended(self, event: ProbeEnded) -> None:
        """Record the outcome of a probe."""
        if event.endpoint in self.endpoints:
            destination, endpoint = self.endpoints[event.endpoint]
            endpoint.probing = False
            call = Call(destination, endpoint, self.now - event.duration, [])
            self.record_call_outcome(call, event.status, 0, 0, event.report)

    def handover_state(self, max_destinations: int | None = None) -> dict[str, Any]:
        """Return the state that the successor needs, as JSON values: of destinations by the name of one
        endpoint, of endpoints by name. Times are those of the machine's clock, which both processes share.

        With ``max_destinations``, only that many of those that have a state to keep (see ``can_evict``), the
        longest retry-after wait first, and only what differs from the state of a new destination."""
        routes = [route for routes in self.routes.values() for route in routes if route.endpoints]
        if max_destinations is not None:
            routes = [route for route in routes if not self.can_evict(route.number)]
            routes.sort(key=lambda route: (-route.retry_after_until, not route.in_outage))
        return collect_facts(self.started, routes[:max_destinations], max_destinations is None)

    def on_predecessor_state(self, facts: dict[str, Any]) -> None:
        """Continue from the predecessor's state, perhaps of another version: unknown endpoints and facts are
        ignored, and a later version may append endpoint attributes."""
        self.started = min(self.started or self.now, facts["started"] or self.now)
        restore_facts(facts, self.endpoints)

    def on_health_restored(self, event: HealthRestored) -> None:
        """Restore the health that a previous process recorded. This process must respect it as well."""
        for record in event.records:
            self.restore_record(record)

    def restore_record(self, record: HealthRecord) -> None:
        """Restore the health of one destination, now or once the list names it. Since the record was made the
        endpoint of its name may have gone, or may have moved to another destination."""
        destination = self.find_recorded_destination(record)
        if destination is None:
            self.unplaced_records.setdefault(record.destination, []).append(record)
            return
        if destination.unhealthy_since is not None and destination.record_name != record.endpoint:
            self.obsolete_records.append(healthy_record(to_record(destination)))
        restore_health(destination, record)
        destination.next_trial_at = self.slow_start.budget_available_at(
            destination, self.random.uniform(0.1, 1.0), self.now, self.now
        )

    def find_recorded_destination(self, record: HealthRecord) -> Destination | None:
        """Return the destination that a record is about, or None if the list does not name it at present."""
        destination, _ = self.endpoints.get(record.endpoint, (None, None))
        if destination is not None and destination.number == record.destination:
            return destination
        routes = self.routes.get(record.destination, ())
        return next((route for route in routes if not route.is_separate_route), None)

    def persist_health(self) -> None:
        """Persist the health of the destinations for which it has changed in this planning pass."""
        if records := (*self.obsolete_records, *map(to_record, self.dirty)):
            self.actions.append(PersistHealth(records))
        self.obsolete_records.clear()
        self.dirty.clear()

    def health_counts(self) -> Counter[HealthState]:
        """Return the number of loaded destinations, or routes, in each health state."""
        return Counter(
            health_state(route, self.slow_start, self.now)
            for routes in self.routes.values()
            for route in routes
        )

    def on_predecessor_call_ended(self, event: PredecessorCallEnded) -> None:
        """Record the outcome of a call that the predecessor had in flight."""
        if event.endpoint in self.endpoints:
            destination, endpoint = self.endpoints[event.endpoint]
            if not event.stale:
                self.record_call_outcome(
                    Call(destination, endpoint, event.sent_at, []),
                    event.status,
                    event.duration,
                    event.retry_after,
                    None,
                )
            if event.retry_after:
                destination.retry_after_until = max(
                    destination.retry_after_until, self.now + event.retry_after
                )

    def on_retry_after(self, event: RetryAfter) -> None:
        """Rule 6: apply a retry-after wait at once, whatever becomes of the response that contains it."""
        message = self.messages.get(event.message_id)
        call = message.call if message is not None else None
        if call is not None or event.endpoint in self.endpoints:
            destination = call.destination if call is not None else self.endpoints[event.endpoint][0]
            destination.retry_after_until = max(destination.retry_after_until, self.now + event.wait)

    def record_call_outcome(
        self, call: Call, status: Status, duration: int, retry_after: int, report: LoadReport | None
    ) -> None:
        """Update the state of a destination and an endpoint with the outcome of one call."""
        destination, endpoint = call.destination, call.endpoint
        remaining: float | None = None  # share of the limit, where one is reported
        if report is not None and report.limit > 0:
            destination.listed_rate, destination.rate_is_reported, remaining = (
                report.limit,
                True,
                report.remaining,
            )
        if status is Status.OK:
            destination.throttled_since = None
            self.update_backoff(destination, False, remaining)
            endpoint.last_success_sent_at = max(endpoint.last_success_sent_at, call.sent_at)
            self.record_time(destination.success_times, self.settings.rules.slow_start_duration)
            if duration:
                destination.mean_response_time += (duration - destination.mean_response_time) * (
                    RESPONSE_TIME_WEIGHT if destination.mean_response_time else 1.0
                )
            self.update_health(call, True, "answered")
        elif status is Status.FULL:
            self.on_call_throttled(call, retry_after, remaining)
        elif status in FAILED:
            self.on_call_failed(call, status)

    def on_call_failed(self, call: Call, status: Status) -> None:
        """Handle a call that failed or was given up."""
        destination = call.destination
        destination.last_failure_at = self.now
        if call.counted_overdue:  # already counted; now it shows how long the destination has been unhealthy
            if destination.unhealthy_since is not None:
                self.dirty[destination] = None
                destination.last_bad_outcome_at = self.now
                # A destination that returns resets the stalled calls of all relays at once.
                trial_at = self.slow_start.budget_available_at(
                    destination, self.random.uniform(0.1, 1.0), self.now, self.now
                )
                destination.next_trial_at = max(destination.next_trial_at, trial_at)
        elif status in (Status.RESET, Status.TIMEOUT) and self.answered_recently(destination):
            self.record_endpoint_failure(call.endpoint)
        else:
            self.update_health(call, False, status.name.lower())

    def record_endpoint_failure(self, endpoint: Endpoint) -> None:
        """Record a reset, timed-out or overdue call to one endpoint, while other calls succeed."""
        endpoint.failure_rate += OUTCOME_WEIGHT * (1.0 - endpoint.failure_rate)
        endpoint.retry_at = self.now + INITIAL_BACKOFF

    def answered_recently(self, destination: Destination) -> bool:
        """Return whether a call succeeded so recently that the next response may be on its way. Single
        connections may break or stall in the network; if the destination goes down, all responses cease."""
        return bool(destination.success_times) and self.now - destination.success_times[
            -1
        ] < self.overdue_after(destination)

    def on_call_throttled(self, call: Call, retry_after: int, remaining: float | None) -> None:
        """Handle a throttled call, the signal for rate decreases. Throttling that goes on and that no limit
        explains means that the destination is unavailable."""
        destination = call.destination
        if destination.throttled_since is None:
            destination.throttled_since = self.now
        if call.sent_at >= destination.rate_decreased_at:  # earlier calls do not reflect the new rate limit
            destination.throttle_times.append(self.now)
        del destination.throttle_times[: bisect_right(destination.throttle_times, self.now - THROTTLE_WINDOW)]
        if len(destination.throttle_times) >= THROTTLE_THRESHOLD:
            destination.throttle_times.clear()
            destination.rate_before_decrease = destination.rate_limit or self.event_rate(
                destination.send_times, RATE_WINDOW
            )
            minimum = min(1.0, SECOND / max(1, self.call_interval(destination))) / 2
            destination.rate_limit = max(DECREASE_FACTOR * destination.rate_before_decrease, minimum)
            destination.rate_limit_changed_at = destination.rate_decreased_at = self.now
            destination.next_call_at = max(destination.next_call_at, self.now)  # drops earlier credit
            self.log(f"cut dest={destination.number} ceiling={destination.rate_limit:.3f}/s")
        if call.sent_at >= destination.backoff_changed_at:
            self.update_backoff(destination, True, remaining)
            destination.backoff_until += retry_after
        # A limit reports that it is exhausted. A wait longer than a limit would ask for means that the
        # destination is unavailable until then; lasting throttling without a wait and with some of the limit
        # left means the same.
        limit_wait = max_limit_wait(destination)
        if retry_after > limit_wait:
            previous_state = health_state(destination, self.slow_start, self.now)
            self.mark_unhealthy(destination, destination.throttled_since)
            destination.last_bad_outcome_at = destination.slow_start_began_at = self.now + retry_after
            destination.slow_start_ends_at = (
                destination.slow_start_began_at + self.settings.rules.slow_start_duration
            )
            destination.next_trial_at = self.slow_start.budget_available_at(
                destination, self.random.random(), destination.slow_start_began_at, self.now
            )
            self.log_health(destination, call.endpoint, previous_state, "told to wait")
        if not retry_after and (remaining is None or remaining > AMPLE_LIMIT_SHARE):
            self.mark_unhealthy(destination, destination.throttled_since)  # may be an outage: see may_begin
            destination.last_bad_outcome_at = self.now
        calls_are_rare = self.call_interval(destination) > THROTTLE_WINDOW  # then two in a row suffice
        min_duration = 0 if calls_are_rare else limit_wait - retry_after
        is_ample = remaining is None or remaining > AMPLE_LIMIT_SHARE
        if retry_after <= limit_wait and is_ample and self.now - destination.throttled_since > min_duration:
            destination.last_failure_at = self.now
            self.update_health(call, False, "refused")

    def update_backoff(self, destination: Destination, throttled: bool, remaining: float | None) -> None:
        """Update this relay's own backoff after a call; it serves relays that see too few throttled calls for
        a rate decrease. It grows with throttling (from the end of a retry-after wait, which all relays were
        sent) and halves over time. Where calls are frequent, a success ends it. Where they are rare, it also
        grows while the limit is nearly exhausted, ends when more than half of the limit remains, and is
        otherwise multiplied by DECREASE_FACTOR, to 0 below INITIAL_BACKOFF. There, THROTTLE_THRESHOLD
        throttled calls raise it to three call intervals, because throttled calls may use up the limit too."""
        calls_are_rare = self.call_interval(destination) > RECOVERY_INTERVAL
        max_backoff = 3 * self.call_interval(destination) if calls_are_rare else RECOVERY_INTERVAL
        destination.backoff *= 0.5 ** ((self.now - destination.backoff_changed_at) / max_backoff)
        if throttled or calls_are_rare and remaining is not None and remaining < EXHAUSTED_LIMIT_SHARE:
            # Faster without a report (perhaps unavailable) or with nothing left (throttled calls use it up).
            growth = (max_backoff / INITIAL_BACKOFF) ** ((1 if remaining else 1.5) / THROTTLE_THRESHOLD)
            grown = growth * max(INITIAL_BACKOFF if calls_are_rare else 0.0, destination.backoff)
            destination.backoff = min(max(INITIAL_BACKOFF, grown), max_backoff)
        else:
            is_over = (
                not calls_are_rare
                or remaining is not None
                and remaining > AMPLE_LIMIT_SHARE
                or DECREASE_FACTOR * destination.backoff < INITIAL_BACKOFF
            )
            destination.backoff = 0.0 if is_over else DECREASE_FACTOR * destination.backoff
        destination.backoff_changed_at = self.now
        destination.backoff_until = self.now + round(destination.backoff * self.random.uniform(0.5, 1.5))

    def mark_unhealthy(self, destination: Destination, since: int) -> None:
        """Mark a destination as unhealthy since ``since`` and record its rate of successful calls up to now,
        unless it is unhealthy already. The caller records the outcome itself."""
        self.dirty[destination] = None
        if destination.unhealthy_since is None:
            destination.unhealthy_since = since
            success_rate = self.event_rate(destination.success_times, self.settings.rules.slow_start_duration)
            self.slow_start.record_baseline(destination, success_rate, self.now - (self.started or self.now))

    def update_health(self, call: Call, succeeded: bool, reason: str) -> None:
        """Update failure rates and health state with an outcome, and set the next trial after a bad one.
        ``reason`` is for the log."""
        destination, endpoint = call.destination, call.endpoint
        previous_state = health_state(destination, self.slow_start, self.now)
        for tracked in (destination, endpoint):
            tracked.failure_rate += OUTCOME_WEIGHT * ((0.0 if succeeded else 1.0) - tracked.failure_rate)
        had_outage, destination.in_outage = destination.in_outage, destination.failure_rate > OUTAGE_THRESHOLD
        if (
            succeeded
            and not destination.in_outage
            and (had_outage or destination.unconfirmed or self.slow_start.may_begin(destination, self.now))
        ):
            self.slow_start.begin(destination, self.now)
            self.dirty[destination] = None
            # The trial call counts against the budget. For a relay with more traffic only a random part of it
            # does, since one call is within the variation by chance.
            spent_calls = 1.0 if self.slow_start.has_little_traffic(destination) else self.random.random()
            destination.next_trial_at = self.slow_start.budget_available_at(
                destination, spent_calls, self.now, self.now
            )
        elif succeeded and not destination.in_outage and not self.slow_start.is_active(destination, self.now):
            if destination.unhealthy_since is not None:
                self.dirty[destination] = None
            destination.unhealthy_since = None
        elif not succeeded:
            self.mark_unhealthy(destination, self.now)
            destination.last_bad_outcome_at = self.now
            self.record_time(destination.failure_times, self.settings.rules.slow_start_duration)
            if destination.in_outage:
                destination.slow_start_began_at = None
            elif self.slow_start.is_active(destination, self.now) and self.slow_start.on_failure(
                destination, self.now
            ):
                self.log(f"slow start anew dest={destination.number} host={endpoint.name}")
            endpoint.retry_at = self.slow_start.budget_available_at(
                destination, self.random.uniform(0.1, 1.0), self.now, self.now
            )
            # A call sent since then paces the next one.
            sent_since = any(other.sent_at > call.sent_at for other in destination.calls)
            destination.next_trial_at = (
                max(destination.next_trial_at, endpoint.retry_at) if sent_since else endpoint.retry_at
            )
        self.log_health(destination, endpoint, previous_state, reason)

    def log_health(
        self, destination: Destination, endpoint: Endpoint, previous_state: HealthState, reason: str
    ) -> None:
        """Log a change of the health state, with this relay's share of the rate, its budget and send rate."""
        state = health_state(destination, self.slow_start, self.now)
        if state is previous_state:
            return
        spacing = max(1, self.slow_start.budget_available_at(destination, 1.0, self.now, self.now) - self.now)
        self.log(
            f"{HEALTH_LOG_WORDS[state]} dest={destination.number} host={endpoint.name}"
            f" was={previous_state.value} reason={reason}"
            f" part={self.slow_start.share_of_rate(destination):.3f}/s budget={SECOND / spacing:.3f}/s"
            f" sent={self.event_rate(destination.send_times, RATE_WINDOW):.2f}/s"
        )

    def overdue_after(self, destination: Destination) -> int:
        """Return the time in flight after which a call to the destination is overdue."""
        return round(OVERDUE_FACTOR * destination.mean_response_time) or min(
            message_class.target_latency for message_class in self.settings.classes
        )

    def count_overdue_calls(self) -> None:
        """Count an overdue call as one bad outcome, because a stalled endpoint yields none. If a later call
        to it has succeeded, the response time is a heavy tail, not a fault."""
        for call in self.calls:
            if call.counted_overdue or call.endpoint.last_success_sent_at >= call.sent_at:
                continue
            overdue_at = call.sent_at + self.overdue_after(call.destination)
            if overdue_at <= self.now:
                call.counted_overdue = True
                call.destination.last_failure_at = self.now
                if self.answered_recently(call.destination):
                    self.record_endpoint_failure(call.endpoint)
                else:
                    self.update_health(call, False, "overdue")
            else:
                self.wake_at = min(self.wake_at, overdue_at)

    # ---- sending

    def event_rate(self, times: list[int], window: int) -> float:
        """Return the events per second over the last ``window``, and drop the times before it."""
        del times[: bisect_right(times, self.now - window)]
        return len(times) * SECOND / max(SECOND, min(window, self.now - (self.started or 0)))

    def record_time(self, times: list[int], window: int) -> None:
        """Record an event for a rate over ``window``."""
        times.append(self.now)
        self.event_rate(times, window)  # drops older times

    def call_interval(self, destination: Destination) -> int:
        """Return the time in which this relay's part of a known limit is one call; 0 if no limit is known."""
        return call_interval(destination, self.settings.relays)

    def recover_rate_limit(self, destination: Destination) -> None:
        """Raise the rate limit exponentially, more slowly than it decreases, and drop it at its target."""
        while (
            destination.rate_limit is not None
            and self.now >= destination.rate_limit_changed_at + RECOVERY_INTERVAL
        ):
            # Traffic is uneven: the rate before the decrease may exceed an equal share, and is recovered.
            if destination.listed_rate:
                target = max(destination.listed_rate / self.settings.relays, destination.rate_before_decrease)
            else:
                target = 2 * self.event_rate(destination.arrival_times, RATE_WINDOW)
            destination.rate_limit_changed_at += RECOVERY_INTERVAL
            destination.rate_limit += RECOVERY_SHARE * max(0.0, target - destination.rate_limit)
            if destination.rate_limit >= RECOVERED_SHARE * target:
                destination.rate_limit = None
                self.log(f"ceiling dropped dest={destination.number}")

    def has_slot(self) -> bool:
        return len(self.calls) + self.predecessor_calls < self.settings.max_calls

    def max_calls_in_flight(self, destination: Destination, apply_rate_limit: bool = True) -> int:
        """Return the maximum by Little's Law, capped; the cap alone if the rate limit does not apply."""
        slots = self.settings.max_calls
        maximum = max(1, int(MAX_SLOT_SHARE * slots))
        if destination.rate_limit is not None and apply_rate_limit:
            maximum = min(
                maximum, max(1, round(2 * destination.rate_limit * destination.mean_response_time / SECOND))
            )
        if destination.failure_rate > SUSPECT_THRESHOLD:
            maximum = min(maximum, max(1, slots // 2))  # an unhealthy destination gets at most half
        return maximum

    def earliest_send_time(
        self, destination: Destination, endpoint: Endpoint, message: Message | None
    ) -> int:
        """Return the earliest time to send a message to an endpoint; every send is checked here. A result
        after ``now`` is the time to check again, NEVER means that only an event can change the answer.
        Without a message, return the time from which the endpoint accepts any."""
        if not endpoint.available or not self.has_slot():
            return NEVER
        if message is not None and self.is_postponed(message, destination):
            return NEVER
        pacing_ends_at = (
            NEVER
            if message is None or not message.unattempted
            else message.deadline - self.unattempted_lead_time(destination)
        )
        # An unattempted message is exempt from this relay's own pacing from then on.
        next_check_at = pacing_ends_at if pacing_ends_at > self.now else NEVER
        one_at_a_time = (
            destination.throttled_since is not None
            or destination.failure_rate > SUSPECT_THRESHOLD
            and pacing_ends_at == NEVER
        )
        if one_at_a_time and pacing_ends_at > self.now and (destination.calls or endpoint.probing):
            return next_check_at  # suspect, or throttled since the last success
        if len(destination.calls) >= self.max_calls_in_flight(destination, pacing_ends_at > self.now):
            return next_check_at
        earliest = (
            destination.retry_after_until
            if pacing_ends_at <= self.now
            else max(destination.retry_after_until, min(self.pacing_allows_at(destination), pacing_ends_at))
        )
        calls_in_flight = sum(len(route.calls) for route in self.routes[destination.number])
        if calls_in_flight >= max(1, int(MAX_SLOT_SHARE * self.settings.max_calls)):
            return NEVER  # separate routes of a destination share its slots
        if destination.failure_rate > SUSPECT_THRESHOLD or self.is_slow_start_limiting(destination):
            earliest = max(earliest, destination.next_trial_at)
        if message is not None:
            earliest = max(earliest, message.not_before)
            if message.key is not None:
                if self.ordered_queues[message.key][0] is not message:
                    return NEVER
                earliest = max(earliest, self.ordering_gaps.get(message.key, 0))
            if not self.may_repeat(message, endpoint):
                return NEVER
            if (
                message.message_class.idempotency is Idempotency.UNSAFE
                and destination.failure_rate > SUSPECT_THRESHOLD
                and self.settings.limits.probes
            ):
                # Other messages or a probe go first.
                earliest = max(earliest, message.deadline - self.unsafe_lead_time(message, destination))
        return earliest

    def is_slow_start_limiting(self, destination: Destination) -> bool:
        """Return whether the slow start budget spaces the calls to a destination."""
        waiting = len(self.waiting_messages.get(destination.number, ()))
        return self.slow_start.is_limiting(destination, waiting, self.now)

    def pacing_allows_at(self, destination: Destination) -> int:
        """Return the time of the next call by this relay's own pacing, which no rule requires."""
        return (
            destination.backoff_until
            if destination.rate_limit is None
            else max(destination.backoff_until, destination.next_call_at)
        )

    def unattempted_lead_time(self, destination: Destination) -> int:
        """Return how long before its deadline an unattempted message is sent regardless of this relay's own
        pacing: long enough for all unattempted messages of the destination."""
        count, mean = (
            self.unattempted_counts[destination.number],
            destination.mean_response_time or self.overdue_after(destination) / OVERDUE_FACTOR,
        )
        needed = round(mean * max(OVERDUE_FACTOR, count / self.max_calls_in_flight(destination, False)))
        if destination.failure_rate > SUSPECT_THRESHOLD or self.is_slow_start_limiting(destination):
            needed = max(
                needed, self.slow_start.budget_available_at(destination, count, self.now, self.now) - self.now
            )
        return needed

    def is_postponed(self, message: Message, destination: Destination) -> bool:
        """Return whether a message is left to the next process, which can still send it: the exit of this
        process would cut off its call, and the call might have been executed."""
        overdue_after = self.overdue_after(destination)
        return self.now >= self.stopping_at or (
            self.now + overdue_after > self.stopping_at and message.deadline > self.resumes_at + overdue_after
        )

    def unsafe_lead_time(self, message: Message, destination: Destination) -> int:
        """Return how long before its deadline an unsafe message is sent to a suspect destination too: long
        enough for all unattempted messages of the destination."""
        if not message.unattempted:
            return message.message_class.target_latency
        rounds = math.ceil(
            self.unattempted_counts[message.destination] / self.max_calls_in_flight(destination)
        )
        return rounds * max(2 * self.overdue_after(destination), message.message_class.target_latency)

    def may_send(self, now: int, message_id: str | None, endpoint_name: str) -> bool:
        """Check a call again just before its first byte is written (a probe's if ``message_id`` is None).
        Connecting may have taken long, and what has been learned since applies (rules 2, 3 and 6)."""
        self.now = now
        if now >= self.stopping_at:
            return False
        message = self.messages.get(message_id) if message_id is not None else None
        if message is not None and message.call is not None:
            destination, endpoint = message.call.destination, message.call.endpoint
            if message.finished or now >= message.deadline or not self.may_repeat(message, endpoint):
                return False
        elif message_id is None and endpoint_name in self.endpoints:
            destination, endpoint = self.endpoints[endpoint_name]
        else:
            return False
        return endpoint.available and now >= destination.retry_after_until

    def urgency(self, message: Message) -> float:
        """Return the value lost in another target latency, per nanosecond of slot time of the message."""
        response_times = [
            route.mean_response_time for route in self.routes[message.destination] if route.mean_response_time
        ]
        duration = min(response_times) if response_times else message.message_class.target_latency / 4
        delivered_at = self.now + round(duration)
        return (
            self.value_at(message, delivered_at)
            - self.value_at(message, delivered_at + message.message_class.target_latency)
        ) / duration

    def plan_sends(self) -> None:
        """Send all messages that may go out now, in the order of urgency."""
        ready: list[Message] = []
        undeliverable: list[tuple[Message, int]] = []
        for number, waiting in self.waiting_messages.items():
            for route in self.routes.get(number, ()):
                self.recover_rate_limit(route)
            opens_at = self.earliest_opening(number)
            if opens_at <= self.now:
                ready += waiting.values()
            elif opens_at < NEVER:
                self.wake_at = min(self.wake_at, opens_at)
                undeliverable += [
                    (message, opens_at)
                    for message in waiting.values()
                    if opens_at >= message.deadline and self.may_reject(message) and not message.unattempted
                ]
            if opens_at > self.now and self.unattempted_by_id and number in self.routes:
                # An unattempted message waits for its pacing, not for the end of a call.
                ready += [message for message in waiting.values() if message.unattempted]
        # Rejected at once: the client may reach a relay that can send it sooner.
        for message, opens_at in undeliverable:
            self.reject_or_fail(message, opens_at)
        if self.stopping_at < NEVER:
            ready = [
                message
                for message in ready
                if not all(self.is_postponed(message, route) for route in self.routes[message.destination])
            ]
        # Among unattempted messages, those without any attempt precede those that could not connect.
        ready.sort(
            key=lambda message: (
                not message.unattempted,
                message.attempts if message.unattempted else -self.urgency(message),
                message.deadline,
                message.arrived_at,
            )
        )
        # Checking each of hundreds of held messages would take a relay's whole CPU.
        closed_destinations: set[int] = set()
        for message in ready:
            if not self.has_slot():
                break
            if (
                message.call is None
                and not message.finished
                and message.destination not in closed_destinations
                and not self.try_send(message)
            ):
                opens_at = self.earliest_opening(message.destination)
                if opens_at > self.now and not message.unattempted:
                    closed_destinations.add(message.destination)
                    self.wake_at = min(self.wake_at, opens_at)
        if self.settings.limits.probes:
            self.send_probes()

    def earliest_opening(self, number: int) -> int:
        """Return when a destination next accepts any message; NEVER if only an event can change that."""
        return min(
            (
                self.earliest_send_time(route, endpoint, None)
                for route in self.routes.get(number, ())
                for endpoint in route.endpoints
            ),
            default=NEVER,
        )

    def try_send(self, message: Message) -> bool:
        """Send a message to the best endpoint that may take it now, and fill the call's batch with others for
        that endpoint. Return whether it was sent."""
        zone_fees = self.settings.zone_fees
        best: tuple[Destination, Endpoint] | None = None
        best_rank: tuple[float, ...] = ()
        for destination in self.routes[message.destination]:
            for endpoint in destination.endpoints:
                earliest = self.earliest_send_time(destination, endpoint, message)
                if earliest > self.now:
                    if earliest < NEVER:
                        self.wake_at = min(self.wake_at, earliest)
                    continue
                fee = (
                    zone_fees[endpoint.zone]
                    if endpoint.zone < len(zone_fees) and len(self.routes[message.destination]) > 1
                    else 0.0
                )
                rank = (self.avoids(endpoint, self.now), fee, endpoint.calls_in_flight, endpoint.last_sent_at)
                if best is None or rank < best_rank:
                    best, best_rank = (destination, endpoint), rank
        if best is None:
            return False
        destination, endpoint = best
        batch = [message]
        if destination.max_batch_size > 1 and not destination.in_outage:
            others = [
                other
                for other in self.waiting_messages[message.destination].values()
                if other is not message and self.earliest_send_time(destination, endpoint, other) <= self.now
            ]
            others.sort(key=lambda other: (-self.urgency(other), other.deadline, other.arrived_at))
            batch += others[: destination.max_batch_size - 1]
        call = Call(destination, endpoint, self.now, batch)
        self.record_send(destination, endpoint)
        self.calls[call] = None
        endpoint.calls_in_flight += 1
        destination.calls.append(call)
        for item in batch:
            item.call = call
            item.attempts += 1
            call.unsettled_messages += 1
            self.remove_from_waiting(item)
            self.actions.append(Send(item.message_id, endpoint.name, self.give_up_at(item, destination)))
        return True

    def record_send(self, destination: Destination, endpoint: Endpoint) -> None:
        """Update the pacing state after a send. A rate limit lets calls of at most one second catch up."""
        self.record_time(destination.send_times, RATE_WINDOW)
        endpoint.last_send_interval = self.now - endpoint.last_sent_at
        endpoint.last_sent_at = self.now
        if destination.rate_limit is not None:
            destination.next_call_at = max(destination.next_call_at, self.now - SECOND) + round(
                SECOND / destination.rate_limit
            )
        if destination.failure_rate > SUSPECT_THRESHOLD or self.is_slow_start_limiting(destination):
            destination.next_trial_at = self.slow_start.budget_available_at(
                destination, 1.0, self.now, self.now
            )

    def close_idle_connections(self) -> None:
        """Close the idle connections to an endpoint whose last two sends were further apart than this relay's
        part of the idle timeout: those of many relays fill an endpoint's table and are dropped unnoticed."""
        for endpoint in self.freed_endpoints:
            if (
                not endpoint.calls_in_flight
                and endpoint.last_send_interval
                > self.settings.limits.connection_idle_timeout // self.settings.relays
            ):
                self.actions.append(CloseIdleConnections(endpoint.name))
        self.freed_endpoints.clear()

    def give_up_at(self, message: Message, destination: Destination) -> int:
        """Return when to give up an attempt. A timeout helps only if the message may be sent again, or if
        other unattempted messages need the slot."""
        others = any(other is not message and other.call is None for other in self.unattempted_by_id.values())
        if message.message_class.idempotency is Idempotency.UNSAFE and not others:
            return message.deadline
        return min(
            message.deadline,
            self.now + max(2 * self.overdue_after(destination), message.message_class.target_latency),
        )

    def send_probes(self) -> None:
        """Probe suspect destinations for which unsafe messages wait, before one of those is tried."""
        if self.stopping_at < NEVER:
            return
        for number, waiting in self.waiting_messages.items():
            if not any(
                message.message_class.idempotency is Idempotency.UNSAFE for message in waiting.values()
            ):
                continue
            for route in self.routes.get(number, ()):
                for endpoint in route.endpoints:
                    if (
                        route.failure_rate > SUSPECT_THRESHOLD
                        and not endpoint.probing
                        and not endpoint.calls_in_flight
                        and self.earliest_send_time(route, endpoint, None) <= self.now
                    ):
                        endpoint.probing = True
                        self.record_send(route, endpoint)
                        self.actions.append(Probe(endpoint.name, self.now + PROBE_TIMEOUT))

    def avoids(self, endpoint: Endpoint, now: int) -> bool:
        """Return whether other endpoints are preferred to this one for now."""
        return endpoint.failure_rate > SUSPECT_THRESHOLD and endpoint.retry_at > now

    def endpoint_counts(self, now: int) -> tuple[int, int]:
        """Return the number of listed endpoints, and of those that are avoided because they drain, are
        unhealthy, or belong to a destination in an outage."""
        return len(self.endpoints), sum(
            not endpoint.available or destination.in_outage or self.avoids(endpoint, now)
            for destination, endpoint in self.endpoints.values()
        )

    def backlog_lines(self, max_destinations: int) -> list[str]:
        """Return log lines, one for each route, for the ``max_destinations`` destinations with the most
        waiting messages, showing what delays them."""
        lines = []
        for number in sorted(self.waiting_messages, key=lambda number: -len(self.waiting_messages[number]))[
            :max_destinations
        ]:
            for route in self.routes.get(number, ()):
                wait = (
                    max(route.retry_after_until, route.backoff_until, route.next_call_at, self.now) - self.now
                )
                lines.append(
                    f"dest={number} waiting={len(self.waiting_messages[number])} out={len(route.calls)}"
                    f" most={self.max_calls_in_flight(route)} ceiling={route.rate_limit or 0:.2f}/s"
                    f" part={self.slow_start.share_of_rate(route):.2f}/s listed={route.listed_rate:.2f}/s"
                    f" mean={route.mean_response_time / SECOND:.3f}s bad={route.failure_rate:.2f}"
                    f" pause={wait / SECOND:.2f}s cold={self.slow_start.is_active(route, self.now)}"
                )
        return lines

    def log(self, text: str) -> None:
        self.actions.append(Log(text))
