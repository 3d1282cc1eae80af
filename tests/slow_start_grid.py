"""Prints how many simulations break the slow-start rule, for each fault alone and with a traffic surge.

Run it by hand: ``python -m tests.slow_start_grid``. It takes some minutes on five cores; CI runs part of it.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from typing import Any

from tests.test_slow_start import CAPACITIES, TRAFFIC_SURGE, FLEETS, KINDS, FAULTS, count_violations

JOBS = 5
SIMULATIONS = len(FLEETS) * len(CAPACITIES) * len(KINDS)  # in each row
STATE_LOST = {  # no state is carried over by the folder
    "some killed, their folder lost": {"killed": "lost"},
    "some killed, their health forgotten": {"killed": "forgotten"},
}


def violations(fault: dict[str, Any]) -> int:
    return count_violations(FLEETS, **fault)


def main() -> None:
    single_faults = FAULTS | STATE_LOST
    rows = single_faults | {
        f"{name}, with a crowd": TRAFFIC_SURGE | fault for name, fault in single_faults.items()
    }
    with ProcessPoolExecutor(JOBS) as workers:
        for name, count in zip(rows, workers.map(violations, rows.values()), strict=True):
            print(f"{count:3d} of {SIMULATIONS}  {name}", flush=True)


if __name__ == "__main__":
    main()
