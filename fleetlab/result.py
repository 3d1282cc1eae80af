"""The result of a run as JSON: what was played, on what machine, and every figure with its unit."""

from __future__ import annotations

import datetime
import os
import platform
import statistics
import subprocess
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import psutil
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict

SCHEMA = 1
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Figure(BaseModel):
    """One measured value. ``value`` is None where nothing was measured."""

    model_config = ConfigDict(frozen=True)

    value: float | int | None
    unit: str


class Result(BaseModel):
    """All of a run. ``broken`` fails it; ``timed`` does only where that was asked for."""

    schema_version: int = SCHEMA
    passed: bool
    why_not: list[str]  # one line each
    seed: int
    commit: str
    changed: bool  # files of the working tree differ from the commit
    started: str  # ISO 8601, UTC
    machine: dict[str, Any]
    arguments: dict[str, Any]
    command: str  # that started each real relay
    interrupted: bool
    figures: dict[str, Figure]
    broken: dict[str, int]  # rules judged by counts
    timed: dict[str, int]  # rules that depend on a clock
    violations: list[str]  # the first few, in words
    relays: dict[str, dict[str, Figure]]  # each real relay


def machine() -> dict[str, Any]:
    """What it ran on; ``load`` is the one-minute load average before the run, in runnable processes."""
    return {
        "system": platform.platform(),
        "python": platform.python_version(),
        "processor": platform.machine(),
        "cores": os.cpu_count(),
        "memory_mb": round(psutil.virtual_memory().total / 1e6),
        "load": round(os.getloadavg()[0], 2),
    }


def commit(root: Path) -> tuple[str, bool]:
    """The commit that is checked out there and whether files differ from it; ``unknown`` without git."""

    def git(*words: str) -> str:
        return subprocess.run(
            ["git", "-C", str(root), *words], capture_output=True, text=True, check=True, timeout=20
        ).stdout

    try:
        return git("rev-parse", "HEAD").strip(), bool(git("status", "--porcelain").strip())
    except (OSError, subprocess.SubprocessError):
        return "unknown", False


def now() -> str:
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")


def quantiles(name: str, histogram: HdrHistogram) -> dict[str, Figure]:
    """The usual quantiles of a histogram in microseconds, as milliseconds."""
    some = histogram.get_total_count() > 0
    made = {
        f"{name}_p{percent:g}": Figure(
            value=round(histogram.get_value_at_percentile(percent) / 1000, 3) if some else None, unit="ms"
        )
        for percent in PERCENTILES
    }
    made[f"{name}_max"] = Figure(
        value=round(histogram.get_max_value() / 1000, 3) if some else None, unit="ms"
    )
    return made


def spread(name: str, values: Iterable[float], unit: str) -> dict[str, Figure]:
    """Median and largest of some values."""
    ordered = sorted(values)
    middle = round(statistics.median(ordered), 4) if ordered else None
    return {
        f"{name}_median": Figure(value=middle, unit=unit),
        f"{name}_max": Figure(value=round(ordered[-1], 4) if ordered else None, unit=unit),
    }


def counted(values: Mapping[str, int], unit: str) -> dict[str, Figure]:
    return {name: Figure(value=value, unit=unit) for name, value in values.items()}
