"""Conversion between the health of a destination in memory and its persistent record."""

from __future__ import annotations

from dataclasses import replace

from starlingwick.interface import HealthRecord, HealthState
from starlingwick.slow_start import SlowStart
from starlingwick.state import Destination


def health_state(destination: Destination, slow_start: SlowStart, now: int) -> HealthState:
    """Return the health of the destination at ``now``, as its calls have shown it."""
    if destination.in_outage:
        return HealthState.OUTAGE
    if slow_start.is_active(destination, now):
        return HealthState.RECOVERING
    return HealthState.HEALTHY if destination.unhealthy_since is None else HealthState.SUSPECT


def to_record(destination: Destination) -> HealthRecord:
    """Return the record to persist. The list may have taken away all endpoints of the destination."""
    return HealthRecord(
        destination=destination.number,
        endpoint=destination.record_name,
        failure_rate=destination.failure_rate,
        in_outage=destination.in_outage,
        unhealthy_since=destination.unhealthy_since,
        last_bad_outcome_at=destination.last_bad_outcome_at,
        last_failure_at=destination.last_failure_at,
        slow_start_began_at=destination.slow_start_began_at,
        slow_start_ends_at=destination.slow_start_ends_at,
        unconfirmed=destination.unconfirmed,
        rate_before_outage=destination.rate_before_outage,
    )


def restore_health(destination: Destination, record: HealthRecord) -> None:
    """Set the health of the destination from the record of a previous process, and take over its name."""
    destination.record_name = record.endpoint
    destination.failure_rate, destination.in_outage = record.failure_rate, record.in_outage
    destination.unhealthy_since, destination.last_bad_outcome_at, destination.last_failure_at = (
        record.unhealthy_since,
        record.last_bad_outcome_at,
        record.last_failure_at,
    )
    destination.slow_start_began_at, destination.slow_start_ends_at, destination.unconfirmed = (
        record.slow_start_began_at,
        record.slow_start_ends_at,
        record.unconfirmed,
    )
    destination.rate_before_outage = record.rate_before_outage


def healthy_record(record: HealthRecord) -> HealthRecord:
    """Return the record under the same name that says that the destination is healthy: it is not kept."""
    return replace(record, unhealthy_since=None)
