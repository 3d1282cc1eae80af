"""Generate the tables of docs/CAPACITY.md from measured slopes; no figure in them is entered by hand.

    python -m fleetlab.capacity PAGE BEFORE.json [AFTER.json]

writes the tables between the marks of the page. ``python -m fleetlab slopes --json`` writes the JSON files.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from fleetlab.fit import Fit
from fleetlab.slopes import Results, format_figure

TARGET_RELAYS = 2_400
TARGET_DESTINATIONS = 160_000
TARGET_ENDPOINTS = 224_000
DESTINATIONS_DOWN = 0.041 * TARGET_DESTINATIONS  # at any time
MESSAGES_PER_SECOND = 500  # per relay
MAX_HOLD_SECONDS = 24.0  # of a message
# Destinations down for which a relay holds a message.
DOWN_WITH_MESSAGE_HELD = DESTINATIONS_DOWN * MAX_HOLD_SECONDS * MESSAGES_PER_SECOND / TARGET_DESTINATIONS
MESSAGES_HELD = 3_100_000  # per relay
RELAYS_PER_ZONE, RELAYS_PER_REGION, RESTARTS_PER_DAY = 160, 480, 880
CHANGES_PER_SECOND = 4_600 / 86_400  # changes of the endpoint list
IN_FORCE_SECONDS = 17.0  # limit until a change is in force
# Allowance of a relay for control work: share of a core, 10^6 bytes, bytes per second.
CONTROL_CORE_SHARE, CONTROL_MEMORY_MB, CONTROL_BYTES_PER_SECOND = (
    0.032,
    128.0,
    4_096.0,
)
DISCOVERY_MACHINES = 8
CALL_SLOTS = 300  # calls in flight, per relay
ANSWER_TIMEOUT_SECONDS = 0.4  # how long a client waits for an answer
TODAY_DESTINATIONS = 1_600  # figures up to this size are those of present fleets


@dataclass(frozen=True, slots=True)
class Row:
    """A figure at the target: ``factor`` times the value at ``size`` of the line of a measured figure."""

    role: str
    description: str
    measurement: str
    figure: str
    size: float
    unit: str
    factor: float = 1.0
    limit: float | None = None  # in ``unit``
    limit_text: str = ""
    slope_only: bool = False  # without the intercept, which belongs to another row or is noise


ROLE_ROWS = (
    Row(
        "relay",
        "memory, list from its configuration",
        "list-known",
        "resident_mb",
        TARGET_DESTINATIONS,
        "MB",
        limit=CONTROL_MEMORY_MB,
        limit_text="128 MB",
    ),
    Row(
        "relay",
        "memory, list from its watch",
        "list-watch",
        "resident_mb",
        TARGET_DESTINATIONS,
        "MB",
        limit=CONTROL_MEMORY_MB,
        limit_text="128 MB",
    ),
    Row(
        "relay",
        "the same at its peak",
        "list-watch",
        "peak_mb",
        TARGET_DESTINATIONS,
        "MB",
        limit=CONTROL_MEMORY_MB,
        limit_text="128 MB",
    ),
    Row("relay", "disk, the list that it keeps", "list-watch", "disk_mb", TARGET_DESTINATIONS, "MB"),
    Row(
        "relay",
        "processor of a start with the watch's list",
        "list-watch",
        "processor_s",
        TARGET_DESTINATIONS,
        "s",
    ),
    Row(
        "relay",
        "processor, nothing to do",
        "list-known",
        "idle_share",
        TARGET_DESTINATIONS,
        "of a core",
        limit=CONTROL_CORE_SHARE,
        limit_text="3.2%",
    ),
    Row(
        "relay",
        "processor, 4,600 changes a day",
        "changes",
        "processor_share",
        CHANGES_PER_SECOND,
        "of a core",
        limit=CONTROL_CORE_SHARE,
        limit_text="3.2%",
        slope_only=True,
    ),
    Row(
        "relay",
        "bytes, 4,600 changes a day",
        "changes",
        "bytes_a_second",
        CHANGES_PER_SECOND,
        "B/s",
        limit=CONTROL_BYTES_PER_SECOND,
        limit_text="4 KB/s",
        slope_only=True,
    ),
    Row(
        "relay",
        "time of a whole list at 4 KB a second",
        "list-watch",
        "list_mb",
        TARGET_DESTINATIONS,
        "s",
        factor=1e6 / CONTROL_BYTES_PER_SECOND,
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "relay",
        "start with the list in its configuration",
        "list-known",
        "wall_ready_s",
        TARGET_DESTINATIONS,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "relay",
        "start until the watch's list is in force",
        "list-watch",
        "wall_in_force_s",
        TARGET_DESTINATIONS,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "relay",
        "a later start until its list is in force",
        "list-again",
        "wall_in_force_s",
        TARGET_DESTINATIONS,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "relay",
        "what a later start is told, at 4 KB a second",
        "list-again",
        "told_mb",
        TARGET_DESTINATIONS,
        "s",
        factor=1e6 / CONTROL_BYTES_PER_SECOND,
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "relay",
        "a change until it is in force, median",
        "change-at-size",
        "wall_median_ms",
        TARGET_DESTINATIONS,
        "ms",
        limit=IN_FORCE_SECONDS * 1e3,
        limit_text="17 s",
    ),
    Row(
        "relay",
        "processor, 500 messages a second, none held",
        "rate",
        "processor_share",
        MESSAGES_PER_SECOND,
        "of a core",
        limit=1.0,
        limit_text="a core",
    ),
    Row(
        "relay",
        "processor at rest, one message held for each of 492 down",
        "trouble",
        "idle_share",
        DOWN_WITH_MESSAGE_HELD,
        "of a core",
        limit=1.0,
        limit_text="a core",
    ),
    Row(
        "relay",
        "a message's processor time, one held for each of 492 down",
        "trouble",
        "message_ms",
        DOWN_WITH_MESSAGE_HELD,
        "ms",
        limit=1e3 / MESSAGES_PER_SECOND,
        limit_text="2 ms (500 a second)",
    ),
    Row(
        "relay",
        "a turn of decisions, 3.1 million held",
        "turn",
        "turn_ms",
        MESSAGES_HELD,
        "ms",
        limit=1e3 / MESSAGES_PER_SECOND,
        limit_text="2 ms (500 a second)",
    ),
    Row(
        "relay",
        "a message's processor time, 3.1 million held",
        "held",
        "message_ms",
        MESSAGES_HELD,
        "ms",
        limit=1e3 / MESSAGES_PER_SECOND,
        limit_text="2 ms (500 a second)",
    ),
    Row("relay", "memory, 3.1 million held", "held", "resident_mb", MESSAGES_HELD, "MB"),
    Row("journal", "disk, 3.1 million held", "journal", "disk_mb", MESSAGES_HELD, "MB"),
    Row(
        "journal",
        "memory of what it reads, 3.1 million held",
        "journal",
        "loaded_resident_mb",
        MESSAGES_HELD,
        "MB",
    ),
    Row(
        "journal",
        "reading it, 3.1 million held",
        "journal",
        "load_s",
        MESSAGES_HELD,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s, as for a change",
    ),
    Row(
        "journal",
        "writing it anew, in one turn, 3.1 million held",
        "journal",
        "rewrite_s",
        MESSAGES_HELD,
        "s",
        limit=ANSWER_TIMEOUT_SECONDS,
        limit_text="0.4 s (a client waits)",
    ),
    Row(
        "journal",
        "processor, 500 messages a second",
        "journal",
        "message_us",
        320_000,
        "of a core",
        factor=MESSAGES_PER_SECOND / 1e6,
        limit=1.0,
        limit_text="a core",
    ),
    Row(
        "journal",
        "bytes written, 500 messages a second",
        "journal",
        "written_bytes_each",
        320_000,
        "MB/s",
        factor=MESSAGES_PER_SECOND / 1e6,
    ),
    Row(
        "journal",
        "start of a relay, 3.1 million held",
        "restart",
        "wall_ready_s",
        MESSAGES_HELD,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s, as for a change",
    ),
    Row(
        "discovery",
        "whole lists for all relays, bytes a machine",
        "list-watch",
        "list_mb",
        TARGET_DESTINATIONS,
        "MB",
        factor=TARGET_RELAYS / DISCOVERY_MACHINES,
    ),
    Row(
        "discovery",
        "changes for all relays, bytes a machine",
        "changes",
        "bytes_a_second",
        CHANGES_PER_SECOND,
        "B/s",
        factor=TARGET_RELAYS / DISCOVERY_MACHINES,
        slope_only=True,
    ),
    Row(
        "discovery",
        "all watches, one call at a time on each machine",
        "come-back-in-turn",
        "wall_list_s",
        TARGET_RELAYS / DISCOVERY_MACHINES,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "discovery",
        "all watches, one call at a time in all",
        "come-back-in-turn",
        "wall_list_s",
        TARGET_RELAYS,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "destination",
        "calls a second while it refuses connections",
        "down",
        "calls_a_second_down",
        TARGET_RELAYS,
        "calls/s",
    ),
    Row(
        "destination",
        "calls a second while it never answers",
        "down-silent",
        "calls_a_second_down",
        TARGET_RELAYS,
        "calls/s",
    ),
    Row(
        "destination",
        "busiest second once it is back",
        "down",
        "calls_busiest_second_back",
        TARGET_RELAYS,
        "calls",
    ),
    Row(
        "relay",
        "calls a second to destinations that refuse",
        "down",
        "calls_a_second_down",
        TARGET_RELAYS,
        "calls/s",
        factor=DESTINATIONS_DOWN / TARGET_RELAYS,
    ),
    Row(
        "relay",
        "slots held by destinations that never answer",
        "down-silent",
        "slots_down",
        TARGET_RELAYS,
        "slots",
        factor=DESTINATIONS_DOWN / TARGET_RELAYS,
        limit=CALL_SLOTS,
        limit_text="300 slots",
    ),
    Row(
        "platform",
        "notices of messages for destinations that are down",
        "down",
        "undelivered_a_second_down",
        TARGET_RELAYS,
        "notices/s",
        factor=DESTINATIONS_DOWN,
    ),
)

EVENT_ROWS = (
    Row(
        "a machine: one relay",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        1,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "a machine: one relay",
        "whole list, where none is kept",
        "list-watch",
        "list_mb",
        TARGET_DESTINATIONS,
        "MB",
    ),
    Row(
        "a rack: 20 relays",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        20,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "a rack: 20 relays",
        "whole lists, where none is kept",
        "list-watch",
        "list_mb",
        TARGET_DESTINATIONS,
        "MB",
        factor=20,
    ),
    Row(
        "a zone: 160 relays",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        RELAYS_PER_ZONE,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "a zone: 160 relays",
        "whole lists, where none is kept",
        "list-watch",
        "list_mb",
        TARGET_DESTINATIONS,
        "MB",
        factor=RELAYS_PER_ZONE,
    ),
    Row(
        "a region cut: 480 relays",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        RELAYS_PER_REGION,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "a region cut: 480 relays",
        "whole lists, where none is kept",
        "list-watch",
        "list_mb",
        TARGET_DESTINATIONS,
        "MB",
        factor=RELAYS_PER_REGION,
    ),
    Row(
        "880 restarts in a day",
        "whole lists, where none is kept",
        "list-watch",
        "list_mb",
        TARGET_DESTINATIONS,
        "MB",
        factor=RESTARTS_PER_DAY,
    ),
    Row(
        "880 restarts in a day",
        "processor of the starts",
        "list-watch",
        "processor_s",
        TARGET_DESTINATIONS,
        "s",
        factor=RESTARTS_PER_DAY,
    ),
    Row(
        "880 restarts at once",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        RESTARTS_PER_DAY,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
    Row(
        "each relay's start",
        "journal with 3.1 million held",
        "restart",
        "wall_ready_s",
        MESSAGES_HELD,
        "s",
        limit=IN_FORCE_SECONDS,
        limit_text="17 s",
    ),
)


def estimate_at_target(row: Row, results: Results) -> tuple[float, Fit, float] | None:
    """Return the figure, its line, and the factor by which it was extrapolated.

    A size that was itself measured has its measured value and the factor 1. Returns None if the figure was
    not measured.
    """
    result = results.get(row.measurement)
    if result is None or row.figure not in result["fits"]:
        return None
    fit = Fit(**result["fits"][row.figure])
    for point in result["points"]:
        if point["size"] == row.size and point["figures"].get(row.figure) is not None:
            return row.factor * point["figures"][row.figure], fit, 1.0
    figure = fit.slope * row.size if row.slope_only else fit.at(row.size)
    return row.factor * figure, fit, fit.extrapolation_factor(row.size)


def rows_table(rows: tuple[Row, ...], before: Results, after: Results) -> str:
    """Return the table that compares each row with its limit, before and after."""
    lines = [
        "| role | figure at the target | before | after | allowed | before: within, or missing |"
        " after: the same | line | extrapolated |",
        "| --- | --- | ---: | ---: |" + " --- |" * 5,
    ]
    for row in rows:
        before_estimate, after_estimate = estimate_at_target(row, before), estimate_at_target(row, after)
        extrapolation = (
            " / ".join(
                dict.fromkeys(
                    _format_extrapolation(estimate)
                    for estimate in (before_estimate, after_estimate)
                    if estimate
                )
            )
            or "-"
        )
        lines.append(
            f"| {row.role} | {row.description} | {_format_amount(before_estimate, row)} |"
            f" {_format_amount(after_estimate, row)} | {row.limit_text or '-'} |"
            f" {_format_verdict(before_estimate, row)} | {_format_verdict(after_estimate, row)} |"
            f" `{row.measurement}` {row.figure} | {extrapolation} |"
        )
    return "\n".join(lines)


def missing_table(before: Results, after: Results) -> str:
    """Return the table of figures over their limit, sorted by the excess in the newest results."""
    over_limit = []
    for row in (*ROLE_ROWS, *EVENT_ROWS):
        before_estimate, after_estimate = (estimate_at_target(row, results) for results in (before, after))
        if row.limit is not None and any(
            item is not None and item[0] > row.limit for item in (before_estimate, after_estimate)
        ):
            newest = after_estimate or before_estimate
            assert newest is not None
            over_limit.append((newest[0] / row.limit, row, before_estimate, after_estimate))
    over_limit.sort(key=lambda item: -item[0])
    lines = ["| role or event | figure at the target | allowed | before | after |", "| --- |" + " --- |" * 4]
    for _, row, before_estimate, after_estimate in over_limit:
        lines.append(
            f"| {row.role} | {row.description} | {row.limit_text} | {_format_verdict(before_estimate, row)} |"
            f" {_format_verdict(after_estimate, row)} |"
        )
    return "\n".join(lines)


def _format_amount(estimate: tuple[float, Fit, float] | None, row: Row) -> str:
    """Format the estimated figure with its unit."""
    return "not measured" if estimate is None else f"{format_figure(estimate[0])} {row.unit}"


def _format_extrapolation(estimate: tuple[float, Fit, float]) -> str:
    """Format the factor by which the figure was extrapolated."""
    return "no" if estimate[2] == 1 else f"by {format_figure(estimate[2])}"


def _format_verdict(estimate: tuple[float, Fit, float] | None, row: Row) -> str:
    """Format whether the figure is within the limit of its row, and its ratio to the limit."""
    if estimate is None or row.limit is None:
        return "-"
    limit_ratio = estimate[0] / row.limit
    return (
        f"**missing, by {format_figure(limit_ratio)}**"
        if limit_ratio > 1
        else f"within ({format_figure(limit_ratio)} of it)"
    )


def fits_table(before: Results, after: Results) -> str:
    """Return the table of fitted lines, with the ratio of the slopes after and before."""
    lines = [
        "| run | figure | sizes | slope | intercept | R^2 | residual | slope after | R^2 | residual |"
        " after to before |",
        "| --- | --- | --- |" + " ---: |" * 8,
    ]
    for name, figure in _list_figures(before, after):
        before_fit, after_fit = _find_fit(before, name, figure), _find_fit(after, name, figure)
        sizes = " / ".join(
            dict.fromkeys(
                f"{fit.smallest:,.0f} to {fit.largest:,.0f}"
                for fit in (before_fit, after_fit)
                if fit is not None
            )
        )
        if not sizes:
            continue
        unit = (before.get(name) or after[name])["unit"]
        ratio = (
            format_figure(after_fit.slope / before_fit.slope)
            if before_fit and after_fit and before_fit.slope
            else "-"
        )
        lines.append(
            f"| `{name}` | {figure} | {sizes} {unit} |"
            f" {_format_line(before_fit)} | {format_figure(after_fit.slope) if after_fit else '-'} |"
            f" {format_figure(after_fit.r2) if after_fit else '-'} |"
            f" {format_figure(after_fit.residual) if after_fit else '-'} | {ratio} |"
        )
    return "\n".join(lines)


def _format_line(fit: Fit | None) -> str:
    if fit is None:
        return "- | - | - | -"
    return (
        f"{format_figure(fit.slope)} | {format_figure(fit.intercept)} |"
        f" {format_figure(fit.r2)} | {format_figure(fit.residual)}"
    )


def points_table(before: Results, after: Results) -> str:
    """Return the table of every figure at every size."""
    lines = ["| run | figure | size | before | after | after to before |", "| --- | --- |" + " ---: |" * 4]
    for name, figure in _list_figures(before, after):
        before_points, after_points = _find_points(before, name, figure), _find_points(after, name, figure)
        for size in sorted(before_points.keys() | after_points.keys()):
            before_value, after_value = before_points.get(size), after_points.get(size)
            ratio = (
                format_figure(after_value / before_value) if before_value and after_value is not None else "-"
            )
            lines.append(
                f"| `{name}` | {figure} | {size:,} | {format_figure(before_value)} |"
                f" {format_figure(after_value)} | {ratio} |"
            )
    return "\n".join(lines)


def _list_figures(before: Results, after: Results) -> list[tuple[str, str]]:
    """Return every pair of measurement and figure name, without repeats."""
    return list(
        dict.fromkeys(
            (name, figure)
            for results in (before, after)
            for name, result in results.items()
            for point in result["points"]
            for figure in point["figures"]
        )
    )


def _find_fit(results: Results, name: str, figure: str) -> Fit | None:
    fit = results.get(name, {}).get("fits", {}).get(figure)
    return None if fit is None else Fit(**fit)


def _find_points(results: Results, name: str, figure: str) -> dict[int, float | None]:
    return {
        point["size"]: point["figures"].get(figure)
        for point in results.get(name, {}).get("points", [])
        if figure in point["figures"]
    }


def runs_table(before: Results, after: Results) -> str:
    """Return the table of the measurements: what they measure, and the program and load of each run."""
    lines = [
        "| run | what it measures | of its repeats | program | begun | load, start and end |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for period, results in (("before", before), ("after", after)):
        for name, result in results.items():
            machine = result["machine"]
            description = result["what"] if period == "before" or name not in before else "the same"
            repeats = max(len(point["repeats"]) for point in result["points"])
            changed = ", with changes" if machine["changed"] else ""
            lines.append(
                f"| `{name}` | {description} | the {result['counts']} of {repeats}, seed {result['seed']} |"
                f" {period}: {machine['commit']}{changed} | {machine['started']} |"
                f" {machine['load']:.0f}, {machine['load_at_end']:.0f} |"
            )
    return "\n".join(lines)


def machine_line(results: Results) -> str:
    """Return the sentence that describes the machine of the first result."""
    machine: dict[str, Any] = next(iter(results.values()))["machine"]
    return (
        f"Machine: {machine['processor']}, {machine['cores']} cores shared with other work, Python"
        f" {machine['python']}, Linux {machine['kernel']}."
    )


def tables(before: Results, after: Results) -> dict[str, str]:
    """Return the tables by the name in the marks of the page."""
    return {
        "missing": missing_table(before, after),
        "roles": rows_table(ROLE_ROWS, before, after),
        "events": rows_table(EVENT_ROWS, before, after),
        "lines": fits_table(before, after),
        "points": points_table(before, after),
        "runs": machine_line(before) + "\n\n" + runs_table(before, after),
    }


def fill_tables(page: str, before: Results, after: Results) -> str:
    """Return the page with its tables filled in. Raises ValueError if a mark is missing."""
    for name, text in tables(before, after).items():
        start_text, end_text = f"<!-- {name} -->\n", f"<!-- end of {name} -->"
        head, start_mark, rest = page.partition(start_text)
        _, end_mark, tail = rest.partition(end_text)
        if not start_mark or not end_mark:
            raise ValueError(f"the page has no mark {name}")
        page = f"{head}{start_text}{text}\n{end_text}{tail}"
    return page


def fill(
    page: Annotated[Path, typer.Argument(help="page with the marks of the tables")],
    before: Annotated[Path, typer.Argument(help="JSON file of python -m fleetlab slopes")],
    after: Annotated[Path | None, typer.Argument(help="the same for a later version of the program")] = None,
) -> None:
    """Write the tables into the page."""
    results_before: Results = json.loads(before.read_text())
    results_after: Results = json.loads(after.read_text()) if after is not None else {}
    page.write_text(fill_tables(page.read_text(), results_before, results_after))


if __name__ == "__main__":
    typer.run(fill)
