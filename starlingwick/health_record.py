"""Between a destination's health in memory and the record of it that outlasts the process."""

from __future__ import annotations

from starlingwick.interface import HealthRecord, HealthState
from starlingwick.slow_start import SlowStart
from starlingwick.state import Destination


def health_state(dest: Destination, slow_start: SlowStart, now: int) -> HealthState:
    """What calls have shown of the destination by ``now``."""
    if dest.in_outage:
        return HealthState.OUTAGE
    if slow_start.is_active(dest, now):
        return HealthState.RECOVERING
    return HealthState.HEALTHY if dest.unhealthy_since is None else HealthState.SUSPECT


def to_record(dest: Destination) -> HealthRecord:
    """What is to outlast the process. The destination has at least one endpoint."""
    return HealthRecord(
        destination=dest.number,
        endpoint=dest.endpoints[0].name,
        failure_rate=dest.failure_rate,
        in_outage=dest.in_outage,
        unhealthy_since=dest.unhealthy_since,
        last_bad_outcome_at=dest.last_bad_outcome_at,
        last_failure_at=dest.last_failure_at,
        slow_start_began_at=dest.slow_start_began_at,
        slow_start_ends_at=dest.slow_start_ends_at,
        unconfirmed=dest.unconfirmed,
        rate_before_outage=dest.rate_before_outage,
    )


def restore_health(dest: Destination, record: HealthRecord) -> None:
    """Go on where the process that left the record was."""
    dest.failure_rate, dest.in_outage = record.failure_rate, record.in_outage
    dest.unhealthy_since, dest.last_bad_outcome_at, dest.last_failure_at = (
        record.unhealthy_since,
        record.last_bad_outcome_at,
        record.last_failure_at,
    )
    dest.slow_start_began_at, dest.slow_start_ends_at, dest.unconfirmed = (
        record.slow_start_began_at,
        record.slow_start_ends_at,
        record.unconfirmed,
    )
    dest.rate_before_outage = record.rate_before_outage
