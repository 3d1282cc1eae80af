"""The tables of docs/CAPACITY.md, from what the slopes were measured to be: nothing in them is typed.

    python -m fleetlab.capacity PAGE BEFORE.json [AFTER.json]

writes them between the marks that the page holds. ``python -m fleetlab slopes --json`` makes the files.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from fleetlab.fit import Fit
from fleetlab.slopes import Results, shown

RELAYS = 2_400
DESTINATIONS = 160_000
ENDPOINTS = 224_000
DOWN = 0.041 * DESTINATIONS  # destinations at any time
RATE = 500  # messages a second for a relay
PATIENCE = 24.0  # seconds that a message may be held
TROUBLE = DOWN * PATIENCE * RATE / DESTINATIONS  # destinations down for which a relay holds a message
HELD = 3_100_000  # messages a relay
ZONE, REGION, RESTARTS = 160, 480, 880  # relays
CHANGES = 4_600 / 86_400  # a second
IN_FORCE = 17.0  # seconds for a change
CORE, MEMORY, BYTES = 0.032, 128.0, 4_096.0  # for control: of a core, 10^6 bytes, bytes a second
MACHINES = 8  # for discovery
SLOTS = 300  # calls out at once, of a relay
ANSWER = 0.4  # seconds that a client waits for an answer
TODAY = 1_600  # destinations: figures up to here are today's fleets


@dataclass(frozen=True, slots=True)
class Row:
    """A figure at the target: ``times`` the line of one measurement's figure at ``size``."""

    role: str
    what: str
    run: str
    figure: str
    size: float
    unit: str
    times: float = 1.0
    limit: float | None = None  # in the same unit
    limit_is: str = ""
    alone: bool = False  # the slope's part alone: what stands at size 0 is another row's, or noise


ROLES = (
    Row(
        "relay",
        "memory, list from its configuration",
        "list-known",
        "resident_mb",
        DESTINATIONS,
        "MB",
        limit=MEMORY,
        limit_is="128 MB",
    ),
    Row(
        "relay",
        "memory, list from its watch",
        "list-watch",
        "resident_mb",
        DESTINATIONS,
        "MB",
        limit=MEMORY,
        limit_is="128 MB",
    ),
    Row(
        "relay",
        "the same at its peak",
        "list-watch",
        "peak_mb",
        DESTINATIONS,
        "MB",
        limit=MEMORY,
        limit_is="128 MB",
    ),
    Row("relay", "disk, the list that it keeps", "list-watch", "disk_mb", DESTINATIONS, "MB"),
    Row(
        "relay", "processor of a start with the watch's list", "list-watch", "processor_s", DESTINATIONS, "s"
    ),
    Row(
        "relay",
        "processor, nothing to do",
        "list-known",
        "idle_share",
        DESTINATIONS,
        "of a core",
        limit=CORE,
        limit_is="3.2%",
    ),
    Row(
        "relay",
        "processor, 4,600 changes a day",
        "changes",
        "processor_share",
        CHANGES,
        "of a core",
        limit=CORE,
        limit_is="3.2%",
        alone=True,
    ),
    Row(
        "relay",
        "bytes, 4,600 changes a day",
        "changes",
        "bytes_a_second",
        CHANGES,
        "B/s",
        limit=BYTES,
        limit_is="4 KB/s",
        alone=True,
    ),
    Row(
        "relay",
        "time of a whole list at 4 KB a second",
        "list-watch",
        "list_mb",
        DESTINATIONS,
        "s",
        times=1e6 / BYTES,
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "relay",
        "start with the list in its configuration",
        "list-known",
        "wall_ready_s",
        DESTINATIONS,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "relay",
        "start until the watch's list is in force",
        "list-watch",
        "wall_in_force_s",
        DESTINATIONS,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "relay",
        "a later start until its list is in force",
        "list-again",
        "wall_in_force_s",
        DESTINATIONS,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "relay",
        "what a later start is told, at 4 KB a second",
        "list-again",
        "told_mb",
        DESTINATIONS,
        "s",
        times=1e6 / BYTES,
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "relay",
        "a change until it is in force, median",
        "change-at-size",
        "wall_median_ms",
        DESTINATIONS,
        "ms",
        limit=IN_FORCE * 1e3,
        limit_is="17 s",
    ),
    Row(
        "relay",
        "processor, 500 messages a second, none held",
        "rate",
        "processor_share",
        RATE,
        "of a core",
        limit=1.0,
        limit_is="a core",
    ),
    Row(
        "relay",
        "processor at rest, one message held for each of 492 down",
        "trouble",
        "idle_share",
        TROUBLE,
        "of a core",
        limit=1.0,
        limit_is="a core",
    ),
    Row(
        "relay",
        "a message's processor time, one held for each of 492 down",
        "trouble",
        "message_ms",
        TROUBLE,
        "ms",
        limit=1e3 / RATE,
        limit_is="2 ms (500 a second)",
    ),
    Row(
        "relay",
        "a turn of decisions, 3.1 million held",
        "turn",
        "turn_ms",
        HELD,
        "ms",
        limit=1e3 / RATE,
        limit_is="2 ms (500 a second)",
    ),
    Row(
        "relay",
        "a message's processor time, 3.1 million held",
        "held",
        "message_ms",
        HELD,
        "ms",
        limit=1e3 / RATE,
        limit_is="2 ms (500 a second)",
    ),
    Row("relay", "memory, 3.1 million held", "held", "resident_mb", HELD, "MB"),
    Row("journal", "disk, 3.1 million held", "journal", "disk_mb", HELD, "MB"),
    Row("journal", "memory of what it reads, 3.1 million held", "journal", "loaded_resident_mb", HELD, "MB"),
    Row(
        "journal",
        "reading it, 3.1 million held",
        "journal",
        "load_s",
        HELD,
        "s",
        limit=IN_FORCE,
        limit_is="17 s, as for a change",
    ),
    Row(
        "journal",
        "writing it anew, in one turn, 3.1 million held",
        "journal",
        "rewrite_s",
        HELD,
        "s",
        limit=ANSWER,
        limit_is="0.4 s (a client waits)",
    ),
    Row(
        "journal",
        "processor, 500 messages a second",
        "journal",
        "message_us",
        320_000,
        "of a core",
        times=RATE / 1e6,
        limit=1.0,
        limit_is="a core",
    ),
    Row(
        "journal",
        "bytes written, 500 messages a second",
        "journal",
        "written_bytes_each",
        320_000,
        "MB/s",
        times=RATE / 1e6,
    ),
    Row(
        "journal",
        "start of a relay, 3.1 million held",
        "restart",
        "wall_ready_s",
        HELD,
        "s",
        limit=IN_FORCE,
        limit_is="17 s, as for a change",
    ),
    Row(
        "discovery",
        "whole lists for all relays, bytes a machine",
        "list-watch",
        "list_mb",
        DESTINATIONS,
        "MB",
        times=RELAYS / MACHINES,
    ),
    Row(
        "discovery",
        "changes for all relays, bytes a machine",
        "changes",
        "bytes_a_second",
        CHANGES,
        "B/s",
        times=RELAYS / MACHINES,
        alone=True,
    ),
    Row(
        "discovery",
        "all watches, one call at a time on each machine",
        "come-back-in-turn",
        "wall_list_s",
        RELAYS / MACHINES,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "discovery",
        "all watches, one call at a time in all",
        "come-back-in-turn",
        "wall_list_s",
        RELAYS,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "destination",
        "calls a second while it refuses connections",
        "down",
        "calls_a_second_down",
        RELAYS,
        "calls/s",
    ),
    Row(
        "destination",
        "calls a second while it never answers",
        "down-silent",
        "calls_a_second_down",
        RELAYS,
        "calls/s",
    ),
    Row(
        "destination", "busiest second once it is back", "down", "calls_busiest_second_back", RELAYS, "calls"
    ),
    Row(
        "relay",
        "calls a second to destinations that refuse",
        "down",
        "calls_a_second_down",
        RELAYS,
        "calls/s",
        times=DOWN / RELAYS,
    ),
    Row(
        "relay",
        "slots held by destinations that never answer",
        "down-silent",
        "slots_down",
        RELAYS,
        "slots",
        times=DOWN / RELAYS,
        limit=SLOTS,
        limit_is="300 slots",
    ),
    Row(
        "platform",
        "notices of messages for destinations that are down",
        "down",
        "undelivered_a_second_down",
        RELAYS,
        "notices/s",
        times=DOWN,
    ),
)

EVENTS = (
    Row(
        "a machine: one relay",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        1,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "a machine: one relay", "whole list, where none is kept", "list-watch", "list_mb", DESTINATIONS, "MB"
    ),
    Row(
        "a rack: 20 relays",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        20,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "a rack: 20 relays",
        "whole lists, where none is kept",
        "list-watch",
        "list_mb",
        DESTINATIONS,
        "MB",
        times=20,
    ),
    Row(
        "a zone: 160 relays",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        ZONE,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "a zone: 160 relays",
        "whole lists, where none is kept",
        "list-watch",
        "list_mb",
        DESTINATIONS,
        "MB",
        times=ZONE,
    ),
    Row(
        "a region cut: 480 relays",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        REGION,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "a region cut: 480 relays",
        "whole lists, where none is kept",
        "list-watch",
        "list_mb",
        DESTINATIONS,
        "MB",
        times=REGION,
    ),
    Row(
        "880 restarts in a day",
        "whole lists, where none is kept",
        "list-watch",
        "list_mb",
        DESTINATIONS,
        "MB",
        times=RESTARTS,
    ),
    Row(
        "880 restarts in a day",
        "processor of the starts",
        "list-watch",
        "processor_s",
        DESTINATIONS,
        "s",
        times=RESTARTS,
    ),
    Row(
        "880 restarts at once",
        "watches, discovery one call at a time",
        "come-back-in-turn",
        "wall_list_s",
        RESTARTS,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
    Row(
        "each relay's start",
        "journal with 3.1 million held",
        "restart",
        "wall_ready_s",
        HELD,
        "s",
        limit=IN_FORCE,
        limit_is="17 s",
    ),
)


def at_target(row: Row, results: Results) -> tuple[float, Fit, float] | None:
    """The figure, its line, and how far it was extrapolated; a size that was measured itself needs no line.
    None where it was not measured."""
    result = results.get(row.run)
    if result is None or row.figure not in result["fits"]:
        return None
    line = Fit(**result["fits"][row.figure])
    for point in result["points"]:
        if point["size"] == row.size and point["figures"].get(row.figure) is not None:
            return row.times * point["figures"][row.figure], line, 1.0
    value = line.slope * row.size if row.alone else line.at(row.size)
    return row.times * value, line, line.extrapolation_factor(row.size)


def rows_table(rows: tuple[Row, ...], before: Results, after: Results) -> str:
    out = [
        "| role | figure at the target | before | after | allowed | before: within, or missing |"
        " after: the same | line | extrapolated |",
        "| --- | --- | ---: | ---: |" + " --- |" * 5,
    ]
    for row in rows:
        old, new = at_target(row, before), at_target(row, after)
        stretched = " / ".join(dict.fromkeys(_stretched(found) for found in (old, new) if found)) or "-"
        out.append(
            f"| {row.role} | {row.what} | {_amount(old, row)} | {_amount(new, row)} | {row.limit_is or '-'} |"
            f" {_verdict(old, row)} | {_verdict(new, row)} | `{row.run}` {row.figure} | {stretched} |"
        )
    return "\n".join(out)


def missing_table(before: Results, after: Results) -> str:
    """What is over its limit, the worst first, as the newest program has it."""
    found = []
    for row in (*ROLES, *EVENTS):
        old, new = (at_target(row, results) for results in (before, after))
        if row.limit is not None and any(one is not None and one[0] > row.limit for one in (old, new)):
            newest = new or old
            assert newest is not None
            found.append((newest[0] / row.limit, row, old, new))
    found.sort(key=lambda one: -one[0])
    out = ["| role or event | figure at the target | allowed | before | after |", "| --- |" + " --- |" * 4]
    for _, row, old, new in found:
        out.append(
            f"| {row.role} | {row.what} | {row.limit_is} | {_verdict(old, row)} |" f" {_verdict(new, row)} |"
        )
    return "\n".join(out)


def _amount(found: tuple[float, Fit, float] | None, row: Row) -> str:
    return "not measured" if found is None else f"{shown(found[0])} {row.unit}"


def _stretched(found: tuple[float, Fit, float]) -> str:
    return "no" if found[2] == 1 else f"by {shown(found[2])}"


def _verdict(found: tuple[float, Fit, float] | None, row: Row) -> str:
    if found is None or row.limit is None:
        return "-"
    over = found[0] / row.limit
    return f"**missing, by {shown(over)}**" if over > 1 else f"within ({shown(over)} of it)"


def lines_table(before: Results, after: Results) -> str:
    """Each figure's line, and how much flatter or steeper it has become."""
    out = [
        "| run | figure | sizes | slope | intercept | R^2 | residual | slope after | R^2 | residual |"
        " after to before |",
        "| --- | --- | --- |" + " ---: |" * 8,
    ]
    for name, figure in _figures(before, after):
        old, new = _fit(before, name, figure), _fit(after, name, figure)
        sizes = " / ".join(
            dict.fromkeys(
                f"{line.smallest:,.0f} to {line.largest:,.0f}" for line in (old, new) if line is not None
            )
        )
        if not sizes:
            continue
        unit = (before.get(name) or after[name])["unit"]
        ratio = shown(new.slope / old.slope) if old and new and old.slope else "-"
        out.append(
            f"| `{name}` | {figure} | {sizes} {unit} |"
            f" {_line(old)} | {shown(new.slope) if new else '-'} | {shown(new.r2) if new else '-'} |"
            f" {shown(new.residual) if new else '-'} | {ratio} |"
        )
    return "\n".join(out)


def _line(line: Fit | None) -> str:
    if line is None:
        return "- | - | - | -"
    return f"{shown(line.slope)} | {shown(line.intercept)} | {shown(line.r2)} | {shown(line.residual)}"


def points_table(before: Results, after: Results) -> str:
    """Every figure at every size."""
    out = ["| run | figure | size | before | after | after to before |", "| --- | --- |" + " ---: |" * 4]
    for name, figure in _figures(before, after):
        old, new = _points(before, name, figure), _points(after, name, figure)
        for size in sorted(old.keys() | new.keys()):
            a, b = old.get(size), new.get(size)
            ratio = shown(b / a) if a and b is not None else "-"
            out.append(f"| `{name}` | {figure} | {size:,} | {shown(a)} | {shown(b)} | {ratio} |")
    return "\n".join(out)


def _figures(before: Results, after: Results) -> list[tuple[str, str]]:
    return list(
        dict.fromkeys(
            (name, figure)
            for results in (before, after)
            for name, result in results.items()
            for point in result["points"]
            for figure in point["figures"]
        )
    )


def _fit(results: Results, name: str, figure: str) -> Fit | None:
    found = results.get(name, {}).get("fits", {}).get(figure)
    return None if found is None else Fit(**found)


def _points(results: Results, name: str, figure: str) -> dict[int, float | None]:
    return {
        point["size"]: point["figures"].get(figure)
        for point in results.get(name, {}).get("points", [])
        if figure in point["figures"]
    }


def runs_table(before: Results, after: Results) -> str:
    """Where each was run, and what it does."""
    out = [
        "| run | what it measures | of its repeats | program | begun | load, start and end |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for when, results in (("before", before), ("after", after)):
        for name, result in results.items():
            about = result["machine"]
            what = result["what"] if when == "before" or name not in before else "the same"
            repeats = max(len(point["repeats"]) for point in result["points"])
            changed = ", with changes" if about["changed"] else ""
            out.append(
                f"| `{name}` | {what} | the {result['counts']} of {repeats}, seed {result['seed']} |"
                f" {when}: {about['commit']}{changed} | {about['started']} |"
                f" {about['load']:.0f}, {about['load_at_end']:.0f} |"
            )
    return "\n".join(out)


def machine_line(results: Results) -> str:
    about: dict[str, Any] = next(iter(results.values()))["machine"]
    return (
        f"Machine: {about['processor']}, {about['cores']} cores shared with other work, Python"
        f" {about['python']}, Linux {about['kernel']}."
    )


def tables(before: Results, after: Results) -> dict[str, str]:
    """By the name that the page's marks give."""
    return {
        "missing": missing_table(before, after),
        "roles": rows_table(ROLES, before, after),
        "events": rows_table(EVENTS, before, after),
        "lines": lines_table(before, after),
        "points": points_table(before, after),
        "runs": machine_line(before) + "\n\n" + runs_table(before, after),
    }


def filled(page: str, before: Results, after: Results) -> str:
    """The page with its tables as measured. ValueError where one of the marks is missing."""
    for name, text in tables(before, after).items():
        start, end = f"<!-- {name} -->\n", f"<!-- end of {name} -->"
        head, found, rest = page.partition(start)
        _, closed, tail = rest.partition(end)
        if not found or not closed:
            raise ValueError(f"the page has no mark {name}")
        page = f"{head}{start}{text}\n{end}{tail}"
    return page


def fill(
    page: Annotated[Path, typer.Argument(help="with the marks of the tables")],
    before: Annotated[Path, typer.Argument(help="JSON of python -m fleetlab slopes")],
    after: Annotated[Path | None, typer.Argument(help="the same, of a later program")] = None,
) -> None:
    """Write the tables of the page."""
    old: Results = json.loads(before.read_text())
    new: Results = json.loads(after.read_text()) if after is not None else {}
    page.write_text(filled(page.read_text(), old, new))


if __name__ == "__main__":
    typer.run(fill)
