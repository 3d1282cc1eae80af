"""Conversion between the state of destinations in memory and the facts that an upgrade hands over.

The facts go out under names of their own, which every version knows. A process ignores facts that it does not
know, and keeps its own value of those that are missing.
"""

from __future__ import annotations

from typing import Any

from starlingwick.state import Destination, Endpoint

# Attributes of Destination that a process hands over to its successor, with their names in the hand-over.
HANDOVER_NAMES = {
    "listed_rate": "listed",
    "rate_is_reported": "reported",
    "rate_limit": "ceiling",
    "rate_limit_changed_at": "ceiling_at",
    "rate_decreased_at": "cut_at",
    "rate_before_decrease": "cut_from",
    "next_call_at": "next_call",
    "mean_response_time": "mean",
    "retry_after_until": "wait_until",
    "backoff": "rest",
    "backoff_until": "rest_until",
    "backoff_changed_at": "pause_at",
    "throttled_since": "refused_from",
    "failure_rate": "bad",
    "unhealthy_since": "bad_from",
    "last_bad_outcome_at": "bad_at",
    "last_failure_at": "failed_at",
    "in_outage": "out",
    "slow_start_began_at": "ramp_from",
    "unconfirmed": "unproved",
    "slow_start_ends_at": "warm_at",
    "rate_before_outage": "served_before",
    "next_trial_at": "next_at",
    "throttle_times": "refusals",
    "send_times": "sent",
    "arrival_times": "arrived",
    "success_times": "served",
    "failure_times": "failures",
}
# Those of them that hold lists of times.
HANDOVER_TIME_LISTS = ("throttle_times", "send_times", "arrival_times", "success_times", "failure_times")
# Attributes of Endpoint that are handed over, as a list of values in this order.
HANDOVER_ENDPOINT_ATTRIBUTES = (
    "last_sent_at",
    "last_send_interval",
    "last_success_sent_at",
    "failure_rate",
    "retry_at",
)


def collect_facts(started: int | None, destinations: list[Destination], is_complete: bool) -> dict[str, Any]:
    """Return the facts of destinations, which must have endpoints, by the name of their first endpoint, and
    those of all their endpoints. ``started`` is when the first process of the relay started."""
    return {
        "started": started,
        "dests": {
            destination.endpoints[0].name: _destination_facts(destination, is_complete)
            for destination in destinations
        },
        "hosts": {
            endpoint.name: [getattr(endpoint, attribute) for attribute in HANDOVER_ENDPOINT_ATTRIBUTES]
            for destination in destinations
            for endpoint in destination.endpoints
        },
    }


def restore_facts(facts: dict[str, Any], endpoints: dict[str, tuple[Destination, Endpoint]]) -> None:
    """Set the state of the destinations and endpoints that are known by name from their facts."""
    for name, destination_facts in facts["dests"].items():
        if name in endpoints:
            _restore_destination(endpoints[name][0], destination_facts)
    for name, values in facts["hosts"].items():
        if name in endpoints:
            for attribute, value in zip(HANDOVER_ENDPOINT_ATTRIBUTES, values, strict=False):
                setattr(endpoints[name][1], attribute, value)


def _destination_facts(destination: Destination, is_complete: bool) -> dict[str, Any]:
    """Return all facts of a destination, or only those that differ from a new destination's."""
    new = Destination(destination.number, destination.max_batch_size)
    facts = {}
    for attribute, outer_name in HANDOVER_NAMES.items():
        value = getattr(destination, attribute)
        if is_complete or value != getattr(new, attribute):
            facts[outer_name] = list(value) if attribute in HANDOVER_TIME_LISTS else value
    return facts


def _restore_destination(destination: Destination, facts: dict[str, Any]) -> None:
    for attribute, outer_name in HANDOVER_NAMES.items():
        if outer_name in facts:
            value = facts[outer_name]
            setattr(destination, attribute, list(value) if attribute in HANDOVER_TIME_LISTS else value)
