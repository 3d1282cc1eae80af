"""Between a destination's health in memory and the record of it that outlasts the process."""

from __future__ import annotations

from starlingwick.interface import HealthRecord, HealthState
from starlingwick.slow_start import SlowStart
from starlingwick.state import Destination


def state_of(dest: Destination, slow_start: SlowStart, now: int) -> HealthState:
    """What calls have shown of the destination by ``now``."""
    if dest.out:
        return HealthState.OUT
    if slow_start.is_on(dest, now):
        return HealthState.RECOVERING
    return HealthState.WELL if dest.bad_from is None else HealthState.SUSPECT


def record_of(dest: Destination) -> HealthRecord:
    """What is to outlast the process. The destination has at least one endpoint."""
    return HealthRecord(
        dest=dest.number,
        host=dest.hosts[0].name,
        bad=dest.bad,
        out=dest.out,
        bad_from=dest.bad_from,
        bad_at=dest.bad_at,
        failed_at=dest.failed_at,
        ramp_from=dest.ramp_from,
        warm_at=dest.warm_at,
        unproved=dest.unproved,
        served_before=dest.served_before,
    )


def restore(dest: Destination, record: HealthRecord) -> None:
    """Go on where the process that left the record was."""
    dest.bad, dest.out = record.bad, record.out
    dest.bad_from, dest.bad_at, dest.failed_at = record.bad_from, record.bad_at, record.failed_at
    dest.ramp_from, dest.warm_at, dest.unproved = record.ramp_from, record.warm_at, record.unproved
    dest.served_before = record.served_before
