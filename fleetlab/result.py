"""The JSON result of a run: its arguments, the machine, and every figure with its unit."""

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

SCHEMA_VERSION = 1
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Figure(BaseModel):
    """One measured value. ``value`` is None where nothing was measured."""

    model_config = ConfigDict(frozen=True)

    value: float | int | None
    unit: str


class Result(BaseModel):
    """The result of a run. Rules in ``broken`` fail it, those in ``timed`` only with ``judge_time``."""

    schema_version: int = SCHEMA_VERSION
    passed: bool
    why_not: list[str]  # reasons for a failure, one line each
    seed: int
    commit: str
    changed: bool  # the working tree differs from the commit
    started: str  # ISO 8601, UTC
    machine: dict[str, Any]
    arguments: dict[str, Any]
    command: str  # started each real relay
    interrupted: bool
    figures: dict[str, Figure]
    broken: dict[str, int]  # rules judged by counts
    timed: dict[str, int]  # rules that depend on a clock
    violations: list[str]  # descriptions of the first few
    relays: dict[str, dict[str, Figure]]  # by real relay


def machine() -> dict[str, Any]:
    """Describe the machine. ``load`` is the one-minute load average before the run, in runnable processes."""
    return {
        "system": platform.platform(),
        "python": platform.python_version(),
        "processor": platform.machine(),
        "cores": os.cpu_count(),
        "memory_mb": round(psutil.virtual_memory().total / 1e6),
        "load": round(os.getloadavg()[0], 2),
    }


def git_state(root: Path) -> tuple[str, bool]:
    """Return the commit checked out in ``root``, or ``unknown``, and whether files differ from it."""

    def git(*arguments: str) -> str:
        return subprocess.run(
            ["git", "-C", str(root), *arguments], capture_output=True, text=True, check=True, timeout=20
        ).stdout

    try:
        return git("rev-parse", "HEAD").strip(), bool(git("status", "--porcelain").strip())
    except (OSError, subprocess.SubprocessError):
        return "unknown", False


def utc_now() -> str:
    """Return the present time, in ISO 8601."""
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")


def quantiles(name: str, histogram: HdrHistogram) -> dict[str, Figure]:
    """Return the percentiles and the maximum of a histogram of microseconds, in milliseconds."""
    has_values = histogram.get_total_count() > 0
    figures_by_name = {
        f"{name}_p{percent:g}": Figure(
            value=round(histogram.get_value_at_percentile(percent) / 1000, 3) if has_values else None,
            unit="ms",
        )
        for percent in PERCENTILES
    }
    figures_by_name[f"{name}_max"] = Figure(
        value=round(histogram.get_max_value() / 1000, 3) if has_values else None, unit="ms"
    )
    return figures_by_name


def median_and_max(name: str, values: Iterable[float], unit: str) -> dict[str, Figure]:
    """Return the median and the maximum of some values."""
    sorted_values = sorted(values)
    median = round(statistics.median(sorted_values), 4) if sorted_values else None
    return {
        f"{name}_median": Figure(value=median, unit=unit),
        f"{name}_max": Figure(value=round(sorted_values[-1], 4) if sorted_values else None, unit=unit),
    }


def count_figures(values: Mapping[str, int], unit: str) -> dict[str, Figure]:
    """Return a figure for each count."""
    return {name: Figure(value=value, unit=unit) for name, value in values.items()}
