"""Every decision of a relay: when each held message is sent, where, how often, and how it ends.

The types it is told and answers with stand in ``interface.py``. The mechanism is that of "Adaptive
Architecture": a rate ceiling for each destination, cut to 0.75 on runs of refusals and climbing back more
slowly along an exponential curve, and calls out sized by Little's Law (rate times mean response time).
Order of work in one turn: take in all events, end what must end, then one planning pass sends.
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

from starlingwick.interface import (
    Action,
    TimerExpired,
    MessageArrived,
    Availability,
    CloseIdleConnections,
    ValueDecay,
    DiscoveryMode,
    PredecessorCalls,
    Event,
    Fail,
    HealthRestored,
    HealthState,
    EndpointEntry,
    DestinationLoaded,
    PersistHealth,
    PredecessorState,
    UpdateScope,
    Log,
    PredecessorCallEnded,
    Probe,
    ProbeEnded,
    MessageRecovered,
    Reject,
    EvictDestination,
    Idempotency,
    LoadReport,
    EndpointUpdate,
    KeyScope,
    Send,
    Settings,
    Status,
    ShutdownStarted,
    Subscribe,
    RetryAfter,
    AttemptEnded,
    SetTimer,
    MessageWithdrawn,
)
from starlingwick.health_record import to_record, restore_health, health_state
from starlingwick.listed_rate import call_interval, max_limit_wait
from starlingwick.slow_start import SlowStart
from starlingwick.state import (
    HANDOVER_ENDPOINT_ATTRIBUTES,
    HANDOVER_NAMES,
    HANDOVER_TIME_LISTS,
    NEVER,
    SECOND,
    Call,
    Destination,
    Endpoint,
    Message,
)

# The design's own figures.
CUT = 0.75  # what a cut leaves of the ceiling
CUT_AFTER = 3  # refusals within CUT_SPAN that cut
CUT_SPAN = 2 * SECOND
CLIMB_EVERY = 2 * SECOND
CLIMB_SHARE = 0.25  # of the gap to the target, each climb
REACHED = 0.95  # an exponential never arrives: this near the target, the ceiling is dropped
SENT_SPAN = 4 * SECOND  # "the last few seconds": two climbs
SLOT_SHARE = 0.75  # of the slots, for one destination

# Ours.
BAD_WEIGHT = 0.3  # of the newest outcome in a host's share of bad ones: two bad in a row pass one half
SUSPECT = 0.25  # a share of bad outcomes that one bad outcome passes and one good one after it undoes
OUT = 0.5  # most calls fail: the rules' own word for an outage
MEAN_WEIGHT = 0.1  # of the newest response time in the mean
LATE = 4  # mean response times after which a call is overdue: few of a skewed lot run so long
HALF_LEFT = 0.5  # of a limit: no reason to hold back, nor to refuse
SPENT = 0.1  # this little left, noisy as it is told: the next call is refused as likely as not
REST = SECOND // 4  # first pause of our own after a refusal or a failure; it grows with the trouble
ASK_APART = SECOND // 10  # of a fleet's calls for the list, where its watches all break at once
ASK_SOON = SECOND  # for the first call behind a lost watch: its silence has lasted, and news is due
ASK_LATEST = 4 * SECOND  # for each further one: news counts as told 6 s after it came up
ASK_WITHIN = 11 * SECOND // 2  # from a call that came to nothing to the next, which is answered before that
PROBE_TIME = 3 * SECOND // 2  # for a probe's answer
STORE_AGAIN = SECOND  # until a disk that is full or fails may have room again
# destinations that are known without need: some seconds' traffic of a relay that sees many
MAX_LOADED_DESTINATIONS = 1024
LOOKS = 4  # at what may be let go, each turn

HEALTH_LOG_WORDS = {  # the first word of the line in the log
    HealthState.HEALTHY: "well",
    HealthState.SUSPECT: "suspect",
    HealthState.OUTAGE: "outage",
    HealthState.RECOVERING: "back",
}
POSSIBLY_EXECUTED = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)
FAILED = (Status.ERROR, Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED)
MAY_STILL_RUN = (Status.TIMEOUT, Status.RESET, Status.CANCELLED)


class Pacer:
    """The decisions of one relay. Feed it events; carry out what it answers."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.slow_start = SlowStart(settings)
        self.now = 0
        self.started: int | None = None
        self.actions: list[Action] = []
        self.messages: dict[str, Message] = {}
        # by destination number: held, no attempt out
        self.waiting_messages: dict[int, dict[str, Message]] = {}
        self.held_count = 0
        self.owed: dict[str, Message] = {}  # picked up, and no call of theirs has been written yet
        self.owed_at: Counter[int] = Counter()  # those, by destination number
        self.ordered_queues: dict[str, deque[Message]] = {}
        self.turn_rest: dict[str, int] = {}
        self.expiry: list[tuple[int, str]] = []
        self.routes: dict[int, list[Destination]] = {}  # by destination number
        self.endpoints: dict[str, tuple[Destination, Endpoint]] = {}
        # destinations known only while used, longest unused first
        self.loaded_destinations: dict[int, None] = {}
        self.freed: list[Endpoint] = []  # hosts whose call ended this turn
        self.calls: dict[Call, None] = {}  # out, oldest first: each holds a slot
        self.predecessor_calls = 0  # calls out in another process of this relay: they hold slots too
        self.tenant_due = [0] * len(settings.tenant_quotas)  # when the next message is within the share
        self.changed: dict[Destination, None] = {}  # whose health has changed in this turn
        self.subscribe_at = NEVER
        self.asks_failed = 0  # in a row
        self.asked_at = NEVER  # when the last call for the list began
        self.subscribed = False
        self.stopping_at = NEVER  # when the process ends
        self.back_at = NEVER  # when the next one may send
        self.alarm = 0  # the newest alarm asked for; older ones need no answer
        self.alarm_at = NEVER
        self.wake_at = NEVER

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Take in a batch of events, then plan; the actions take effect at ``now``."""
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
                    self.on_arrived(event)
                case AttemptEnded():
                    self.on_verdict(event)
                case MessageRecovered():
                    self.on_recovered(event)
                case ShutdownStarted():
                    self.stopping_at, self.back_at = event.at, event.resumes_at
                case PredecessorState():
                    self.on_predecessor_state(event.facts)
                case HealthRestored():
                    self.on_health_restored(event)
                case PredecessorCallEnded():
                    self.on_overheard(event)
                case RetryAfter():
                    self.on_told(event)
                case PredecessorCalls():
                    self.predecessor_calls = event.calls
                case MessageWithdrawn():
                    if event.message_id in self.messages:
                        self.finish(self.messages[event.message_id])
                case EndpointUpdate():
                    self.on_roster(event)
                case DestinationLoaded():
                    self.loaded_destinations[event.destination] = None
                    for entry in event.entries:
                        self.on_entry(entry)
                case ProbeEnded():
                    self.on_probed(event)
                case TimerExpired():  # a coarser clock may bring it a moment early: it is spent all the same
                    if event.token == self.alarm:
                        self.alarm_at = NEVER
        if self.alarm_at <= now:
            self.alarm_at = NEVER
        self.ask()
        self.blame_overdue()
        self.expire()
        self.shed()
        self.plan()
        self.close_idle()
        self.let_go()
        self.keep_health()
        if self.wake_at < self.alarm_at:
            self.alarm_at = max(self.wake_at, now + 1)
            self.alarm += 1
            self.actions.append(SetTimer(self.alarm_at - now, self.alarm))
        return self.actions

    # ---- the list of hosts

    def ask(self) -> None:
        """Subscribe; what comes of it says when to ask again."""
        if self.now >= self.subscribe_at and not self.subscribed:
            self.actions.append(Subscribe())
            self.subscribe_at, self.asked_at = NEVER, self.now
        if not self.subscribed:
            self.wake_at = min(self.wake_at, self.subscribe_at)

    def ask_span(self) -> int:
        """Over what time to spread the next call for the list. All relays lose their watches at once, and
        calls that discovery turns away keep it busy too: they ask more seldom each time that it fails, but no
        more seldom than what it has to tell allows."""
        if not self.asks_failed:
            return ASK_SOON
        return min(ASK_LATEST, max(SECOND, ASK_APART * self.settings.relays << min(self.asks_failed, 8)))

    def on_roster(self, event: EndpointUpdate) -> None:
        if event.scope is UpdateScope.FAILED:
            if self.settings.discovery is DiscoveryMode.SUBSCRIBE:
                least = SECOND // 2 if self.asks_failed else 0
                self.subscribe_at = self.now + least + round(self.random.random() * self.ask_span())
                if not self.subscribed:  # discovery may be back since the call began: its wait counts too
                    self.subscribe_at = max(self.now, min(self.subscribe_at, self.asked_at + ASK_WITHIN))
                self.asks_failed += 1
            self.subscribed = False
            return
        if event.scope is not UpdateScope.CACHED:
            self.subscribed = True
            self.asks_failed = 0
        for entry in event.entries:
            self.on_entry(entry)
        if event.scope is not UpdateScope.DELTA:
            named = {entry.endpoint for entry in event.entries}
            for name in [name for name in self.endpoints if name not in named]:
                self.forget(name)

    def on_entry(self, entry: EndpointEntry) -> None:
        if entry.availability is Availability.DELETED:
            self.forget(entry.endpoint)
            return
        known = self.endpoints.get(entry.endpoint)
        if known is not None and (known[0].number, known[1].kind) != (entry.destination, entry.kind):
            self.forget(entry.endpoint)  # another destination's from now on: its messages must not go there
        if entry.endpoint not in self.endpoints:
            kind = self.settings.kinds[entry.kind]
            routes = self.routes.setdefault(entry.destination, [])
            if kind.separate_routes or not routes:
                routes.append(Destination(entry.destination, kind.max_batch_size))
            self.endpoints[entry.endpoint] = (
                routes[-1],
                Endpoint(entry.endpoint, entry.zone, entry.kind, entry.rate),
            )
            routes[-1].endpoints.append(self.endpoints[entry.endpoint][1])
        dest, host = self.endpoints[entry.endpoint]
        host.available = entry.availability is Availability.RUNNING
        if self.settings.uses_listed_rates and (not dest.listed_rate or host.listed_rate != entry.rate):
            self.slow_start.set_listed_rate(dest, entry.rate)
        host.zone, host.listed_rate = entry.zone, entry.rate

    def forget(self, name: str) -> None:
        """A host that is gone; its calls run on. A route goes with its last host: memory stays bounded."""
        if name in self.endpoints:
            dest, host = self.endpoints.pop(name)
            host.available = False  # for a call on its way there: see may_send
            dest.endpoints.remove(host)
            if not dest.endpoints and len(self.routes[dest.number]) > 1:
                self.routes[dest.number].remove(dest)

    def use(self, number: int) -> None:
        """A message has come for it: it is the last that would be let go."""
        if number in self.loaded_destinations:
            del self.loaded_destinations[number]
            self.loaded_destinations[number] = None

    def let_go(self) -> None:
        """A fleet's relay meets more destinations than it has room for, each seldom: what it knows of one
        that is well is out of date before it is used again."""
        for number in list(
            islice(
                self.loaded_destinations,
                min(LOOKS, max(0, len(self.loaded_destinations) - MAX_LOADED_DESTINATIONS)),
            )
        ):
            if self.can_evict(number):
                del self.loaded_destinations[number]
                for dest in self.routes.pop(number, ()):
                    for host in dest.endpoints:
                        del self.endpoints[host.name]
                self.actions.append(EvictDestination(number))
            else:
                self.use(number)

    def can_evict(self, number: int) -> bool:
        """Whether nothing waits for it or is out there, and nothing known of it binds: told waits and cold
        partners do (rules 4 and 6), and so do our own pace and a doubt of its health."""
        settled = self.now - max(SENT_SPAN, self.settings.rules.slow_start_duration)
        return number not in self.waiting_messages and not any(
            dest.calls
            or dest.failure_rate > SUSPECT
            or dest.rate_limit is not None
            or self.slow_start.is_active(dest, self.now)
            or max(dest.retry_after_until, dest.backoff_until, dest.next_call_at, dest.next_trial_at)
            > self.now
            or dest.throttled_since is not None
            and dest.backoff_changed_at > settled
            or any(host.probing for host in dest.endpoints)
            for dest in self.routes.get(number, ())
        )

    # ---- messages come and go

    def within_share(self, tenant: int) -> bool:
        """Whether a tenant's message is within its share; two seconds' worth, or two, may come at once."""
        if tenant >= len(self.tenant_due):
            return True
        gap = round(SECOND * self.settings.relays / max(self.settings.tenant_quotas[tenant], 1e-9))
        due = max(self.tenant_due[tenant], self.now - max(2 * SECOND, 2 * gap))
        self.tenant_due[tenant] = due + gap if due <= self.now else due
        return due <= self.now

    def on_arrived(self, event: MessageArrived) -> None:
        if not event.storable:  # what cannot be kept is not taken on
            self.actions.append(Reject(event.message_id, self.storage_retry_after()))
            return
        klass = self.settings.classes[event.class_index]
        worth = klass.value
        if not self.within_share(event.tenant):
            worth *= self.settings.over_quota_value
        message = Message(
            event.message_id,
            klass,
            event.destination,
            event.key if klass.ordered else None,
            worth,
            self.now,
            self.now + event.time_left,
        )
        self.messages[event.message_id] = message
        self.use(event.destination)
        self.waiting_messages.setdefault(event.destination, {})[event.message_id] = message
        self.held_count += 1
        heapq.heappush(self.expiry, (message.deadline - 2 * self.settings.tick, event.message_id))
        if message.key is not None:
            self.ordered_queues.setdefault(message.key, deque()).append(message)
        for route in self.routes.get(event.destination, ()):
            self.mark(route.arrival_times, SENT_SPAN)

    def storage_retry_after(self) -> int:
        """After how long a client may come again whose message could not be kept; 0 where none is told."""
        limits = self.settings.limits
        return min(STORE_AGAIN, limits.max_retry_after) if limits.retry_after else 0

    def on_recovered(self, r: MessageRecovered) -> None:
        """Take up again what an earlier life held: its attempts count on, and so does what may have run."""
        klass = self.settings.classes[r.class_index]
        m = Message(
            r.message_id,
            klass,
            r.destination,
            r.key if klass.ordered else None,
            klass.value,
            self.now,
            self.now + r.time_left,
            attempts=r.attempts,
        )
        if r.possible_run_age is not None:
            m.possible_run_at, m.possible_run_zone = self.now - r.possible_run_age, r.possible_run_zone
        if not r.attempts and m.possible_run_at is None:
            m.unattempted = True
            self.owed[m.message_id] = m
            self.owed_at[m.destination] += 1
        self.messages[r.message_id] = m
        self.use(r.destination)
        self.held_count += 1
        if m.key is not None:
            self.ordered_queues.setdefault(m.key, deque()).append(m)
            if m.possible_run_at is not None:
                self.turn_rest[m.key] = self.now + self.settings.rules.ordering_gap
        if self.is_spent(m):
            self.end(m)
        else:
            self.waiting_messages.setdefault(m.destination, {})[m.message_id] = m
            heapq.heappush(self.expiry, (m.deadline - 2 * self.settings.tick, m.message_id))

    def is_spent(self, m: Message) -> bool:
        """Whether no further attempt is open to a message that has none out."""
        tries = m.attempts - m.unsent_attempts
        return (
            tries >= self.settings.limits.max_attempts
            or not self.may_repeat(m, None)
            or self.now >= m.deadline - 2 * self.settings.tick
        )

    def worth_at(self, m: Message, when: int) -> float:
        """What a message earns if it is delivered then."""
        late = when - m.target_at
        if when >= m.deadline:
            return 0.0
        if late <= 0:
            return m.value
        if self.settings.value_decay is ValueDecay.HALVING:
            halves: float = 0.5 ** (late / m.message_class.target_latency)
            return m.value * max(m.message_class.late_value, halves)
        return m.value * (1 - (1 - m.message_class.late_value) * late / (m.deadline - m.target_at))

    def may_refuse(self, m: Message) -> bool:
        """Rule 2: a refusal promises that trying again is harmless."""
        if m.possible_run_at is None and m.call is None:
            return True
        if m.message_class.idempotency is Idempotency.KEYED:
            return m.message_class.key_scope is KeyScope.ALL
        return m.message_class.idempotency is Idempotency.SAFE

    def may_repeat(self, m: Message, host: Endpoint | None) -> bool:
        """Rule 2: whether a message may be sent (to that host, or to any) after what may have run."""
        if m.possible_run_at is None or m.message_class.idempotency is Idempotency.SAFE:
            return True
        if (
            m.message_class.idempotency is Idempotency.UNSAFE
            or self.now >= m.possible_run_at + m.message_class.deduplication_window
        ):
            return False
        return (
            host is None
            or m.message_class.key_scope is KeyScope.ALL
            or (m.message_class.key_scope is KeyScope.ZONE and host.zone == m.possible_run_zone)
        )

    def end(self, m: Message, opens: int = 0) -> None:
        """The one place where this relay ends a message: refused where that is legal, failed where not. At
        once, and never held back to keep the client away: it is told when to come again, if that is known."""
        if m.finished:
            return
        limits = self.settings.limits
        hold_off = max(0, min(opens - self.now, limits.max_retry_after)) if limits.retry_after else 0
        self.actions.append(Reject(m.message_id, hold_off) if self.may_refuse(m) else Fail(m.message_id))
        self.finish(m)

    def finish(self, m: Message) -> None:
        """A message is over; it stays known until its last attempt has an outcome."""
        if not m.finished:
            m.finished = True
            self.held_count -= 1
            self.pay(m)
        self.leave(m)
        if m.call is None:
            self.messages.pop(m.message_id, None)
            turn = self.ordered_queues.get(m.key) if m.key is not None else None
            if turn is not None and m.key is not None:
                turn.remove(m)
                if not turn:
                    del self.ordered_queues[m.key]

    def pay(self, m: Message) -> None:
        """It has had its call, or is over."""
        m.unattempted = False
        if self.owed.pop(m.message_id, None) is not None:
            self.owed_at[m.destination] -= 1

    def leave(self, m: Message) -> None:
        """Out of the hold; a destination that nothing waits for is not looked at each turn."""
        waiting = self.waiting_messages.get(m.destination, {})
        if m.message_id in waiting:
            del waiting[m.message_id]
            if not waiting:
                del self.waiting_messages[m.destination]

    def expire(self) -> None:
        """End what is held at its deadline, with time left for the answer."""
        while self.expiry and self.expiry[0][0] <= self.now:
            m = self.messages.get(heapq.heappop(self.expiry)[1])
            if m is not None and m.call is None:
                self.end(m)
        if self.expiry:
            self.wake_at = min(self.wake_at, self.expiry[0][0])

    def shed(self) -> None:
        """A full hold turns newcomers away unseen: keep room by refusing what earns least by its turn."""
        room = max(1, self.settings.limits.max_held // 16)
        if self.held_count <= self.settings.limits.max_held - room:
            return
        ranked = []
        for number, waiting in self.waiting_messages.items():
            pace = sum(self.rate(r.send_times, SENT_SPAN) for r in self.routes.get(number, ()))
            turn = self.now + round(len(waiting) * SECOND / max(pace, SECOND / CUT_SPAN))
            ranked += [
                (self.worth_at(m, turn), self.worth_at(m, self.now), -m.arrived_at, m.message_id, turn)
                for m in waiting.values()
                if self.may_refuse(m) and not m.unattempted
            ]
        for *_, name, turn in sorted(ranked)[: self.held_count + room - self.settings.limits.max_held]:
            self.end(self.messages[name], turn)

    # ---- outcomes

    def on_verdict(self, v: AttemptEnded) -> None:
        m = self.messages.get(v.message_id)
        if m is None or m.call is None or v.attempt != m.attempts - 1:
            return
        call, m.call = m.call, None
        if m.unattempted and v.status not in (
            Status.ABANDONED,
            Status.CONNECT_FAILED,
        ):  # a call has been written
            self.pay(m)
        if v.status is Status.ABANDONED:
            m.unsent_attempts += 1
        call.unsettled_messages -= 1
        if call.unsettled_messages == 0:
            call.destination.calls.remove(call)
            call.endpoint.calls_in_flight -= 1
            del self.calls[call]
            self.freed.append(call.endpoint)
        if not call.outcome_recorded:
            call.outcome_recorded = True
            if not v.stale:  # an idle connection's end says nothing of who is behind it
                self.learn(call, v.status, v.duration, v.retry_after, v.report)
        if v.retry_after:  # rule 6; every outcome may tell a wait, also the others of one call
            call.destination.retry_after_until = max(
                call.destination.retry_after_until, self.now + v.retry_after
            )
        if v.status in POSSIBLY_EXECUTED and m.possible_run_at is None:
            m.possible_run_at, m.possible_run_zone = call.sent_at, call.endpoint.zone
        if v.status in MAY_STILL_RUN and m.key is not None:
            self.turn_rest.pop(m.key, None)  # the oldest first: those that are over are dropped
            self.turn_rest[m.key] = self.now + self.settings.rules.ordering_gap
            while self.turn_rest and self.turn_rest[next(iter(self.turn_rest))] <= self.now:
                del self.turn_rest[next(iter(self.turn_rest))]
        if v.finished or m.finished or v.status is Status.OK:
            self.finish(m)
        elif self.is_spent(m) or v.status is Status.MOOT and not v.no_slot:
            self.end(m)  # moot, but not for want of a slot: no further attempt would go out either
        else:  # back into the hold, on a timer that grows with its attempts
            tries = max(1, m.attempts - m.unsent_attempts)
            pause = min(REST << min(tries - 1, 8), m.message_class.target_latency)
            m.not_before = self.now + round(pause * self.random.uniform(0.5, 1.0))
            self.waiting_messages.setdefault(m.destination, {})[m.message_id] = m
            heapq.heappush(self.expiry, (m.deadline - 2 * self.settings.tick, m.message_id))

    def on_probed(self, event: ProbeEnded) -> None:
        if event.endpoint in self.endpoints:
            dest, host = self.endpoints[event.endpoint]
            host.probing = False
            call = Call(dest, host, self.now - event.duration, [])
            self.learn(call, event.status, 0, 0, event.report)

    def handover_state(self) -> dict[str, Any]:
        """All that a process that goes on in our place must know, as JSON holds it: of destinations by one of
        their hosts, of hosts by name. Times are the machine's, the same for both."""
        dests = {}
        for name, (dest, _) in self.endpoints.items():
            if dest.endpoints[0].name == name:
                facts = {
                    outer_name: getattr(dest, attribute)
                    for attribute, outer_name in HANDOVER_NAMES.items()
                    if attribute not in HANDOVER_TIME_LISTS
                }
                dests[name] = facts | {
                    HANDOVER_NAMES[attribute]: list(getattr(dest, attribute))
                    for attribute in HANDOVER_TIME_LISTS
                }
        hosts = {
            name: [getattr(host, fact) for fact in HANDOVER_ENDPOINT_ATTRIBUTES]
            for name, (_, host) in self.endpoints.items()
        }
        return {"started": self.started, "dests": dests, "hosts": hosts}

    def on_predecessor_state(self, facts: dict[str, Any]) -> None:
        """Go on where another process of this relay left off, perhaps of another version: what it says of
        hosts or of facts unknown to us is moot."""
        self.started = min(self.started or self.now, facts["started"] or self.now)
        for name, known in facts["dests"].items():
            if name in self.endpoints:
                dest = self.endpoints[name][0]
                for attribute, outer_name in HANDOVER_NAMES.items():
                    if outer_name in known.keys():
                        value = known[outer_name]
                        setattr(dest, attribute, list(value) if attribute in HANDOVER_TIME_LISTS else value)
        for name, values in facts["hosts"].items():
            if name in self.endpoints:
                for fact, value in zip(
                    HANDOVER_ENDPOINT_ATTRIBUTES, values, strict=False
                ):  # a later one adds to the end
                    setattr(self.endpoints[name][1], fact, value)

    def on_health_restored(self, event: HealthRestored) -> None:
        """What this relay saw in an earlier life binds it: it had been told."""
        for record in event.records:
            if record.endpoint in self.endpoints:
                dest = self.endpoints[record.endpoint][0]
                restore_health(dest, record)
                dest.next_trial_at = self.slow_start.budget_available_at(
                    dest, self.random.uniform(0.1, 1.0), self.now, self.now
                )

    def keep_health(self) -> None:
        """Ask for what has changed in this turn to outlast the process."""
        if records := tuple(to_record(dest) for dest in self.changed if dest.endpoints):
            self.actions.append(PersistHealth(records))
        self.changed.clear()

    def health_counts(self) -> Counter[HealthState]:
        """How many of the destinations that are known in detail are in which state."""
        return Counter(
            health_state(dest, self.slow_start, self.now)
            for routes in self.routes.values()
            for dest in routes
        )

    def on_overheard(self, o: PredecessorCallEnded) -> None:
        if o.endpoint in self.endpoints:
            dest, host = self.endpoints[o.endpoint]
            if not o.stale:
                self.learn(Call(dest, host, o.sent_at, []), o.status, o.duration, o.retry_after, None)
            if o.retry_after:
                dest.retry_after_until = max(dest.retry_after_until, self.now + o.retry_after)

    def on_told(self, event: RetryAfter) -> None:
        """Rule 6: a wait binds from here on, whatever becomes of the answer that told it."""
        m = self.messages.get(event.message_id)
        call = m.call if m is not None else None
        if call is not None or event.endpoint in self.endpoints:
            dest = call.destination if call is not None else self.endpoints[event.endpoint][0]
            dest.retry_after_until = max(dest.retry_after_until, self.now + event.wait)

    def learn(self, call: Call, status: Status, cost: int, wait: int, report: LoadReport | None) -> None:
        """What one call's outcome says of its destination and host."""
        dest, host = call.destination, call.endpoint
        left: float | None = None  # share of the limit, where one is reported
        if report is not None and report.limit > 0:
            dest.listed_rate, dest.rate_is_reported, left = report.limit, True, report.remaining
        if status is Status.OK:
            dest.throttled_since = None
            self.update_backoff(dest, False, left)
            host.last_success_sent_at = max(host.last_success_sent_at, call.sent_at)
            self.mark(dest.success_times, self.settings.rules.slow_start_duration)
            if cost:
                dest.mean_response_time += (cost - dest.mean_response_time) * (
                    MEAN_WEIGHT if dest.mean_response_time else 1.0
                )
            self.judge(call, True, "answered")
        elif status is Status.FULL:
            self.on_refused(call, wait, left)
        elif status in FAILED:
            self.on_failed(call, status)

    def on_failed(self, call: Call, status: Status) -> None:
        """A call that failed, or was given up."""
        dest = call.destination
        dest.last_failure_at = self.now
        if (
            call.counted_overdue
        ):  # it counted when it was overdue; now it tells how long the trouble has lasted
            if dest.unhealthy_since is not None:
                self.changed[dest] = None
                dest.last_bad_outcome_at = self.now
                # A partner that is back resets what hung there at all relays at once.
                trial = self.slow_start.budget_available_at(
                    dest, self.random.uniform(0.1, 1.0), self.now, self.now
                )
                dest.next_trial_at = max(dest.next_trial_at, trial)
        elif status in (Status.RESET, Status.TIMEOUT) and self.answers(dest):
            self.distrust(call.endpoint)
        else:
            self.judge(call, False, status.name.lower())

    def distrust(self, host: Endpoint) -> None:
        """One connection broke or fell silent; the destination is well."""
        host.failure_rate += BAD_WEIGHT * (1.0 - host.failure_rate)
        host.retry_at = self.now + REST

    def answers(self, dest: Destination) -> bool:
        """Whether a call there was answered well so lately that the next may just be on its way. Connections
        may break or fall silent one by one between us; where a destination goes down, its answers end too."""
        return bool(dest.success_times) and self.now - dest.success_times[-1] < self.late_after(dest)

    def on_refused(self, call: Call, wait: int, left: float | None) -> None:
        """The design's signal. A refusal that no limit explains, for long, is a shut destination."""
        dest = call.destination
        if dest.throttled_since is None:
            dest.throttled_since = self.now
        if (
            call.sent_at >= dest.rate_decreased_at
        ):  # what went out before a cut says nothing of the new ceiling
            dest.throttle_times.append(self.now)
        del dest.throttle_times[: bisect_right(dest.throttle_times, self.now - CUT_SPAN)]
        if len(dest.throttle_times) >= CUT_AFTER:
            dest.throttle_times.clear()
            dest.rate_before_decrease = dest.rate_limit or self.rate(dest.send_times, SENT_SPAN)
            least = min(1.0, SECOND / max(1, self.call_interval(dest))) / 2
            dest.rate_limit = max(CUT * dest.rate_before_decrease, least)
            dest.rate_limit_changed_at = dest.rate_decreased_at = self.now
            dest.next_call_at = max(dest.next_call_at, self.now)  # no credit from before the cut
            self.log(f"cut dest={dest.number} ceiling={dest.rate_limit:.3f}/s")
        if call.sent_at >= dest.backoff_changed_at:
            self.update_backoff(dest, True, left)
            dest.backoff_until += wait
        # A limit says that it is spent. Told to wait longer than one would make, the destination is shut and
        # says when it opens; untold, refusals that last with room left mean the same.
        limit_wait = max_limit_wait(dest)
        if wait > limit_wait:
            before = health_state(dest, self.slow_start, self.now)
            self.size_up(dest, dest.throttled_since)
            dest.last_bad_outcome_at = dest.slow_start_began_at = self.now + wait
            dest.slow_start_ends_at = dest.slow_start_began_at + self.settings.rules.slow_start_duration
            dest.next_trial_at = self.slow_start.budget_available_at(
                dest, self.random.random(), dest.slow_start_began_at, self.now
            )
            self.log_health(dest, call.endpoint, before, "told to wait")
        if not wait and (left is None or left > HALF_LEFT):  # shut, perhaps: see SlowStart.may_begin
            self.size_up(dest, dest.throttled_since)
            dest.last_bad_outcome_at = self.now
        rare = self.call_interval(dest) > CUT_SPAN  # two in a row are enough then
        lasts = 0 if rare else limit_wait - wait
        room_left = left is None or left > HALF_LEFT
        if wait <= limit_wait and room_left and self.now - dest.throttled_since > lasts:
            dest.last_failure_at = self.now
            self.judge(call, False, "refused")

    def update_backoff(self, dest: Destination, refused: bool, left: float | None) -> None:
        """Own rest after a call, for relays that see too few refusals to cut a rate. Grows by refusals (also
        from a told wait's end: all were told it) or with the limit all but spent; ends with half of it left,
        shrinks like a ceiling in between, halves with time. As many refusals as make a cut take it to three
        turns where turns are rare: refused calls may use up the limit too."""
        rare = self.call_interval(dest) > CLIMB_EVERY
        most = 3 * self.call_interval(dest) if rare else CLIMB_EVERY
        dest.backoff *= 0.5 ** ((self.now - dest.backoff_changed_at) / most)
        if refused or rare and left is not None and left < SPENT:
            # None told: perhaps shut. Nothing at all left: refused calls use it up. Both rest longer at once.
            step = (most / REST) ** ((1 if left else 1.5) / CUT_AFTER)
            grown = step * max(REST if rare else 0.0, dest.backoff)
            dest.backoff = min(max(REST, grown), most)
        else:
            ends = not rare or left is not None and left > HALF_LEFT or CUT * dest.backoff < REST
            dest.backoff = 0.0 if ends else CUT * dest.backoff
        dest.backoff_changed_at = self.now
        dest.backoff_until = self.now + round(dest.backoff * self.random.uniform(0.5, 1.5))

    def size_up(self, dest: Destination, since: int) -> None:
        """Trouble: at the first sign of it, what was answered well until now."""
        self.changed[dest] = None
        if dest.unhealthy_since is None:
            dest.unhealthy_since = since
            served = self.rate(dest.success_times, self.settings.rules.slow_start_duration)
            self.slow_start.record_baseline(dest, served, self.now - (self.started or self.now))

    def judge(self, call: Call, good: bool, reason: str) -> None:
        """Health from outcomes, and when to try again after a bad one; ``reason`` is for the log."""
        dest, host = call.destination, call.endpoint
        before = health_state(dest, self.slow_start, self.now)
        for one in (dest, host):
            one.failure_rate += BAD_WEIGHT * ((0.0 if good else 1.0) - one.failure_rate)
        was, dest.in_outage = dest.in_outage, dest.failure_rate > OUT
        if (
            good
            and not dest.in_outage
            and (was or dest.unconfirmed or self.slow_start.may_begin(dest, self.now))
        ):
            self.slow_start.begin(dest, self.now)
            self.changed[dest] = None
            # The trial was a call of the ramp. Where this relay sends more than a few, one is within chance.
            spent = 1.0 if self.slow_start.has_little_traffic(dest) else self.random.random()
            dest.next_trial_at = self.slow_start.budget_available_at(dest, spent, self.now, self.now)
        elif good and not dest.in_outage and not self.slow_start.is_active(dest, self.now):
            if dest.unhealthy_since is not None:
                self.changed[dest] = None
            dest.unhealthy_since = None
        elif not good:
            self.size_up(dest, self.now)
            dest.last_bad_outcome_at = self.now
            self.mark(dest.failure_times, self.settings.rules.slow_start_duration)
            if dest.in_outage:
                dest.slow_start_began_at = None
            elif self.slow_start.is_active(dest, self.now) and self.slow_start.on_failure(dest, self.now):
                self.log(f"slow start anew dest={dest.number} host={host.name}")
            host.retry_at = self.slow_start.budget_available_at(
                dest, self.random.uniform(0.1, 1.0), self.now, self.now
            )
            sent_since = any(other.sent_at > call.sent_at for other in dest.calls)  # and paces the next
            dest.next_trial_at = max(dest.next_trial_at, host.retry_at) if sent_since else host.retry_at
        self.log_health(dest, host, before, reason)

    def log_health(self, dest: Destination, host: Endpoint, before: HealthState, reason: str) -> None:
        """One line for each change of state, with what the destination may get from here and what it got."""
        state = health_state(dest, self.slow_start, self.now)
        if state is before:
            return
        interval = max(1, self.slow_start.budget_available_at(dest, 1.0, self.now, self.now) - self.now)
        self.log(
            f"{HEALTH_LOG_WORDS[state]} dest={dest.number} host={host.name} was={before.value}"
            f" reason={reason}"
            f" part={self.slow_start.share_of_rate(dest):.3f}/s budget={SECOND / interval:.3f}/s"
            f" sent={self.rate(dest.send_times, SENT_SPAN):.2f}/s"
        )

    def late_after(self, dest: Destination) -> int:
        return round(LATE * dest.mean_response_time) or min(c.target_latency for c in self.settings.classes)

    def blame_overdue(self) -> None:
        """A silent host sends no outcome at all. A call much over the mean counts as bad, once, unless one
        sent after it has been answered: that is a heavy tail, not a sick host."""
        for call in self.calls:
            if call.counted_overdue or call.endpoint.last_success_sent_at >= call.sent_at:
                continue
            due = call.sent_at + self.late_after(call.destination)
            if due <= self.now:
                call.counted_overdue = True
                call.destination.last_failure_at = self.now
                if self.answers(call.destination):
                    self.distrust(call.endpoint)
                else:
                    self.judge(call, False, "overdue")
            else:
                self.wake_at = min(self.wake_at, due)

    # ---- sending

    def rate(self, times: list[int], span: int) -> float:
        """Events a second over the last ``span``."""
        del times[: bisect_right(times, self.now - span)]
        return len(times) * SECOND / max(SECOND, min(span, self.now - (self.started or 0)))

    def mark(self, times: list[int], span: int) -> None:
        """Note an event for a rate over ``span``."""
        times.append(self.now)
        self.rate(times, span)  # drops what is older

    def call_interval(self, dest: Destination) -> int:
        """The time in which this relay's part of a known limit is one call; 0: no limit is known."""
        return call_interval(dest, self.settings.relays)

    def climb(self, dest: Destination) -> None:
        """The slower, exponential way back to the target; a ceiling that reaches it is dropped."""
        while dest.rate_limit is not None and self.now >= dest.rate_limit_changed_at + CLIMB_EVERY:
            if (
                dest.listed_rate
            ):  # traffic is uneven: what was cut may lie above an even part, and climbs back
                target = max(dest.listed_rate / self.settings.relays, dest.rate_before_decrease)
            else:
                target = 2 * self.rate(dest.arrival_times, SENT_SPAN)
            dest.rate_limit_changed_at += CLIMB_EVERY
            dest.rate_limit += CLIMB_SHARE * max(0.0, target - dest.rate_limit)
            if dest.rate_limit >= REACHED * target:
                dest.rate_limit = None
                self.log(f"ceiling dropped dest={dest.number}")

    def has_slot(self) -> bool:
        return len(self.calls) + self.predecessor_calls < self.settings.max_calls

    def max_calls_in_flight(self, dest: Destination, paced: bool = True) -> int:
        """Calls out at once: Little's Law, capped. The cap alone, where our pace does not hold."""
        slots = self.settings.max_calls
        most = max(1, int(SLOT_SHARE * slots))
        if dest.rate_limit is not None and paced:
            most = min(most, max(1, round(2 * dest.rate_limit * dest.mean_response_time / SECOND)))
        if dest.failure_rate > SUSPECT:
            most = min(most, max(1, slots // 2))  # a sick destination holds half at most
        return most

    def earliest_send_time(self, dest: Destination, host: Endpoint, m: Message | None) -> int:
        """The one gate: may this be sent now? The time to look again if not, NEVER if only an event can tell.
        Without a message: whether the host is open for any."""
        if not host.available or not self.has_slot():
            return NEVER
        if m is not None and self.is_for_the_next_life(m, dest):
            return NEVER
        last = NEVER if m is None or not m.unattempted else m.deadline - self.last_turn(dest)
        freed = last if last > self.now else NEVER  # what is owed a call is freed of our own pace by then
        alone = dest.throttled_since is not None or dest.failure_rate > SUSPECT and last == NEVER
        if alone and last > self.now and (dest.calls or host.probing):
            return freed  # in trouble or refused since the last success: one at a time
        if len(dest.calls) >= self.max_calls_in_flight(dest, last > self.now):
            return freed
        when = (
            dest.retry_after_until
            if last <= self.now
            else max(dest.retry_after_until, min(self.paced(dest), last))
        )
        here = sum(len(route.calls) for route in self.routes[dest.number])
        if here >= max(1, int(SLOT_SHARE * self.settings.max_calls)):
            return NEVER  # routes apart are one destination where slots are shared out
        if dest.failure_rate > SUSPECT or self.recovers(dest):
            when = max(when, dest.next_trial_at)
        if m is not None:
            when = max(when, m.not_before)
            if m.key is not None:
                if self.ordered_queues[m.key][0] is not m:
                    return NEVER
                when = max(when, self.turn_rest.get(m.key, 0))
            if not self.may_repeat(m, host):
                return NEVER
            if (
                m.message_class.idempotency is Idempotency.UNSAFE
                and dest.failure_rate > SUSPECT
                and self.settings.limits.probes
            ):
                when = max(when, m.deadline - self.last_call(m, dest))  # let others or a probe try first
        return when

    def recovers(self, dest: Destination) -> bool:
        """Whether the budget of a destination that recovers spaces the calls there."""
        waiting = len(self.waiting_messages.get(dest.number, ()))
        return self.slow_start.is_limiting(dest, waiting, self.now)

    def paced(self, dest: Destination) -> int:
        """When our own pace lets the next call go there: no rule asks for it."""
        return dest.backoff_until if dest.rate_limit is None else max(dest.backoff_until, dest.next_call_at)

    def last_turn(self, dest: Destination) -> int:
        """How long before its end a message that is owed a call takes it whatever our pace: early enough for
        all that are owed one there."""
        owed, mean = self.owed_at[dest.number], dest.mean_response_time or self.late_after(dest) / LATE
        needs = round(mean * max(LATE, owed / self.max_calls_in_flight(dest, False)))
        if dest.failure_rate > SUSPECT or self.recovers(dest):
            needs = max(needs, self.slow_start.budget_available_at(dest, owed, self.now, self.now) - self.now)
        return needs

    def is_for_the_next_life(self, m: Message, dest: Destination) -> bool:
        """Cut off by the end of the process it might have run: the next life sends it, if it still can."""
        late = self.late_after(dest)
        return self.now >= self.stopping_at or (
            self.now + late > self.stopping_at and m.deadline > self.back_at + late
        )

    def last_call(self, m: Message, dest: Destination) -> int:
        """How long before its end an unsafe message goes also to a suspect host: with many that are owed a
        call there, early enough for all of them."""
        if not m.unattempted:
            return m.message_class.target_latency
        rounds = math.ceil(self.owed_at[m.destination] / self.max_calls_in_flight(dest))
        return rounds * max(2 * self.late_after(dest), m.message_class.target_latency)

    def may_send(self, now: int, call: str | None, name: str) -> bool:
        """The last look, just before a call's first byte (a probe's, without ``call``): a connection may
        have taken long to come up, and what was learned since binds it (rules 2, 3 and 6)."""
        self.now = now
        if now >= self.stopping_at:
            return False
        m = self.messages.get(call) if call is not None else None
        if m is not None and m.call is not None:
            dest, host = m.call.destination, m.call.endpoint
            if m.finished or now >= m.deadline or not self.may_repeat(m, host):
                return False
        elif call is None and name in self.endpoints:
            dest, host = self.endpoints[name]
        else:
            return False
        return host.available and now >= dest.retry_after_until

    def urgency(self, m: Message) -> float:
        """What is lost if the message waits another aim, for each second of slot time it takes."""
        means = [r.mean_response_time for r in self.routes[m.destination] if r.mean_response_time]
        cost = min(means) if means else m.message_class.target_latency / 4
        then = self.now + round(cost)
        return (self.worth_at(m, then) - self.worth_at(m, then + m.message_class.target_latency)) / cost

    def plan(self) -> None:
        """One pass over all that could go now, most urgent first."""
        ready: list[Message] = []
        hopeless: list[tuple[Message, int]] = []
        for number, waiting in self.waiting_messages.items():
            for dest in self.routes.get(number, ()):
                self.climb(dest)
            opens = self.opens(number)
            if opens <= self.now:
                ready += waiting.values()
            elif opens < NEVER:
                self.wake_at = min(self.wake_at, opens)
                hopeless += [
                    (m, opens)
                    for m in waiting.values()
                    if opens >= m.deadline and self.may_refuse(m) and not m.unattempted
                ]
            if opens > self.now and self.owed and number in self.routes:
                # What is owed a call waits for its pace, not for a call's end.
                ready += [m for m in waiting.values() if m.unattempted]
        for m, opens in hopeless:  # handed back at once: the client may come to a relay that may try sooner
            self.end(m, opens)
        if self.stopping_at < NEVER:
            ready = [
                m
                for m in ready
                if not all(self.is_for_the_next_life(m, dest) for dest in self.routes[m.destination])
            ]
        # Of those owed a call, one that could not connect stands back for who has had no try at all.
        ready.sort(
            key=lambda m: (
                not m.unattempted,
                m.attempts if m.unattempted else -self.urgency(m),
                m.deadline,
                m.arrived_at,
            )
        )
        shut: set[int] = set()  # with hundreds held, a look at each one's gate takes a relay's whole CPU
        for m in ready:
            if not self.has_slot():
                break
            if m.call is None and not m.finished and m.destination not in shut and not self.place(m):
                opens = self.opens(m.destination)
                if opens > self.now and not m.unattempted:
                    shut.add(m.destination)
                    self.wake_at = min(self.wake_at, opens)
        if self.settings.limits.probes:
            self.probe()

    def opens(self, number: int) -> int:
        """When a destination next takes any message, NEVER if only an event can tell."""
        return min(
            (
                self.earliest_send_time(dest, host, None)
                for dest in self.routes.get(number, ())
                for host in dest.endpoints
            ),
            default=NEVER,
        )

    def place(self, m: Message) -> bool:
        """Send a message by the best host that the gate lets it use; others for that host fill the call.
        Whether it went out."""
        fees = self.settings.zone_fees
        best: tuple[Destination, Endpoint] | None = None
        best_rank: tuple[float, ...] = ()
        for dest in self.routes[m.destination]:
            for host in dest.endpoints:
                when = self.earliest_send_time(dest, host, m)
                if when > self.now:
                    if when < NEVER:
                        self.wake_at = min(self.wake_at, when)
                    continue
                fee = (
                    fees[host.zone] if host.zone < len(fees) and len(self.routes[m.destination]) > 1 else 0.0
                )
                rank = (self.is_sick(host, self.now), fee, host.calls_in_flight, host.last_sent_at)
                if best is None or rank < best_rank:
                    best, best_rank = (dest, host), rank
        if best is None:
            return False
        dest, host = best
        fill = [m]
        if dest.max_batch_size > 1 and not dest.in_outage:
            others = [
                o
                for o in self.waiting_messages[m.destination].values()
                if o is not m and self.earliest_send_time(dest, host, o) <= self.now
            ]
            others.sort(key=lambda o: (-self.urgency(o), o.deadline, o.arrived_at))
            fill += others[: dest.max_batch_size - 1]
        call = Call(dest, host, self.now, fill)
        self.count_call(dest, host)
        self.calls[call] = None
        host.calls_in_flight += 1
        dest.calls.append(call)
        for one in fill:
            one.call = call
            one.attempts += 1
            call.unsettled_messages += 1
            self.leave(one)
            self.actions.append(Send(one.message_id, host.name, self.give_up_at(one, dest)))
        return True

    def count_call(self, dest: Destination, host: Endpoint) -> None:
        """Spend what paces the next call there; a ceiling lets at most one second's calls catch up."""
        self.mark(dest.send_times, SENT_SPAN)
        host.last_send_interval = self.now - host.last_sent_at
        host.last_sent_at = self.now
        if dest.rate_limit is not None:
            dest.next_call_at = max(dest.next_call_at, self.now - SECOND) + round(SECOND / dest.rate_limit)
        if dest.failure_rate > SUSPECT or self.recovers(dest):
            dest.next_trial_at = self.slow_start.budget_available_at(dest, 1.0, self.now, self.now)

    def close_idle(self) -> None:
        """A connection is kept only where the next call comes soon: idle ones of many relays fill a host's
        table, and are dropped unseen. All relays together hold one no longer than a single relay might."""
        for host in self.freed:
            if (
                not host.calls_in_flight
                and host.last_send_interval
                > self.settings.limits.connection_idle_timeout // self.settings.relays
            ):
                self.actions.append(CloseIdleConnections(host.name))
        self.freed.clear()

    def give_up_at(self, m: Message, dest: Destination) -> int:
        """A time-out can only help what may be sent again, or others that are owed a call, and so a slot."""
        others = any(o is not m and o.call is None for o in self.owed.values())
        if m.message_class.idempotency is Idempotency.UNSAFE and not others:
            return m.deadline
        return min(m.deadline, self.now + max(2 * self.late_after(dest), m.message_class.target_latency))

    def probe(self) -> None:
        """Where only messages that cannot be repeated wait on a suspect host, a probe tries first."""
        if self.stopping_at < NEVER:
            return
        for number, waiting in self.waiting_messages.items():
            if not any(m.message_class.idempotency is Idempotency.UNSAFE for m in waiting.values()):
                continue
            for dest in self.routes.get(number, ()):
                for host in dest.endpoints:
                    if (
                        dest.failure_rate > SUSPECT
                        and not host.probing
                        and not host.calls_in_flight
                        and self.earliest_send_time(dest, host, None) <= self.now
                    ):
                        host.probing = True
                        self.count_call(dest, host)
                        self.actions.append(Probe(host.name, self.now + PROBE_TIME))

    def is_sick(self, host: Endpoint, now: int) -> bool:
        """A worse choice than others for now."""
        return host.failure_rate > SUSPECT and host.retry_at > now

    def endpoint_counts(self, now: int) -> tuple[int, int]:
        """The endpoints that the list names, and how many of them are avoided: those that drain, that are the
        worse choice, or whose destination is in an outage."""
        return len(self.endpoints), sum(
            not host.available or dest.in_outage or self.is_sick(host, now)
            for dest, host in self.endpoints.values()
        )

    def backlog_lines(self, most: int) -> list[str]:
        """What holds up the destinations that most messages wait for: for the people on call."""
        lines = []
        for number in sorted(self.waiting_messages, key=lambda number: -len(self.waiting_messages[number]))[
            :most
        ]:
            for dest in self.routes.get(number, ()):
                pause = (
                    max(dest.retry_after_until, dest.backoff_until, dest.next_call_at, self.now) - self.now
                )
                lines.append(
                    f"dest={number} waiting={len(self.waiting_messages[number])} out={len(dest.calls)}"
                    f" most={self.max_calls_in_flight(dest)} ceiling={dest.rate_limit or 0:.2f}/s"
                    f" part={self.slow_start.share_of_rate(dest):.2f}/s"
                    f" listed={dest.listed_rate:.2f}/s mean={dest.mean_response_time / SECOND:.3f}s"
                    f" bad={dest.failure_rate:.2f}"
                    f" pause={pause / SECOND:.2f}s cold={self.slow_start.is_active(dest, self.now)}"
                )
        return lines

    def log(self, text: str) -> None:
        self.actions.append(Log(text))
