"""All troubles of slow start, alone and with a crowd, on four fleets: the table of the incident page.

By hand: ``python -m tests.slow_start_grid``. Some minutes on five cores; CI plays a share of it.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from typing import Any

from tests.test_slow_start import CAPACITIES, CROWD, FLEETS, KINDS, TROUBLES, broken_plays

JOBS = 5
PLAYS = len(FLEETS) * len(CAPACITIES) * len(KINDS)  # a row
NOT_BOUND = {  # what the folder does not carry over
    "some killed, their folder lost": {"killed": "lost"},
    "some killed, their health forgotten": {"killed": "forgotten"},
}


def broken(trouble: dict[str, Any]) -> int:
    return broken_plays(FLEETS, **trouble)


def main() -> None:
    alone = TROUBLES | NOT_BOUND
    rows = alone | {f"{name}, with a crowd": CROWD | trouble for name, trouble in alone.items()}
    with ProcessPoolExecutor(JOBS) as workers:
        for name, count in zip(rows, workers.map(broken, rows.values()), strict=True):
            print(f"{count:3d} of {PLAYS}  {name}", flush=True)


if __name__ == "__main__":
    main()
