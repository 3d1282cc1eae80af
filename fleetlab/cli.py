"""``python -m fleetlab``: a scale run by default, or one of the laboratory's other measurements."""

from __future__ import annotations

import asyncio
import importlib
import inspect
import json
import logging
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table
from typer.exceptions import TyperException

from fleetlab.fleet import Plan, PlanError, read_plan
from fleetlab.realrelays import run_command
from fleetlab.result import Result
from fleetlab.scale import Options, ScaleRun

# By name of the command: the module that has a function of that name.
OTHERS = {"slopes": "fleetlab.slopes", "soak": "fleetlab.soak"}
SHOWN = (
    "offered",
    "delivered",
    "delivered_share",
    "in_time_share",
    "delivery_p50",
    "delivery_p99",
    "answer_p99",
    "hollow_delivered",
    "changes",
    "change_told_everywhere_max",
    "outages",
    "restarts",
    "memory",
    "processes",
)
BAD_ARGUMENTS = 2
INTERRUPTED = 130


def run(
    config: Annotated[Path | None, typer.Option(help="TOML file with any of these values")] = None,
    out: Annotated[Path, typer.Option(help="file for the result as JSON")] = Path("fleetlab-result.json"),
    logs: Annotated[Path | None, typer.Option(help="empty folder that keeps logs and journals")] = None,
    command: Annotated[str | None, typer.Option(help="starts a real relay; the deploy file's 'run'")] = None,
    judge_time: Annotated[bool, typer.Option("--judge-time", help="judge rules of time as well")] = False,
    quiet: Annotated[bool, typer.Option("--quiet", help="no progress")] = False,
    **values: Any,
) -> None:
    """Play a fleet against real relays and hollow ones, and write what came of it."""
    plan = read_plan(config, {name: value for name, value in values.items() if value is not None})
    try:
        out.open("a").close()
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            if any(logs.iterdir()):  # a relay would pick up what it finds in its folder
                raise PlanError(f"{logs}: not empty")
    except OSError as error:
        raise PlanError(f"{error.filename}: {error.strerror}") from None
    options = Options(command or run_command(), logs, judge_time, quiet)
    played = asyncio.run(play(plan, options))
    out.write_text(json.dumps(played.model_dump(), indent=1) + "\n")
    show(played)
    print(f"fleetlab: all figures are in {out}", file=sys.stderr)
    raise typer.Exit(INTERRUPTED if played.interrupted else 0 if played.passed else 1)


def laboratory() -> None:
    """A laboratory for fleets. With no command it plays a scale run."""


async def play(plan: Plan, options: Options) -> Result:
    """One run in the present event loop."""
    return await ScaleRun(plan, options).play()


def with_plan_options(function: Callable[..., None]) -> Callable[..., None]:
    """The function with one more option for each value of a plan."""
    fixed = [
        parameter
        for parameter in inspect.signature(function, eval_str=True).parameters.values()
        if parameter.kind is not inspect.Parameter.VAR_KEYWORD
    ]
    added = []
    for name, value in Plan.model_fields.items():
        text = f"{value.description + '; ' if value.description else ''}{value.default} by default"
        added.append(
            inspect.Parameter(
                name,
                inspect.Parameter.KEYWORD_ONLY,
                annotation=value.annotation,
                default=typer.Option(None, help=text),
            )
        )

    def wrapped(**values: Any) -> None:
        function(**values)

    signature = inspect.Signature([p.replace(kind=inspect.Parameter.KEYWORD_ONLY) for p in fixed] + added)
    wrapped.__signature__ = signature  # type: ignore[attr-defined]
    wrapped.__annotations__ = {p.name: p.annotation for p in signature.parameters.values()}
    wrapped.__doc__ = function.__doc__
    return wrapped


def show(played: Result) -> None:
    """The figures that matter most, for people."""
    console = Console(stderr=True)
    table = Table("figure", "value", "unit")
    for name in SHOWN:
        figure = played.figures.get(name)
        if figure is not None and figure.value is not None:
            table.add_row(
                name,
                f"{figure.value:g}" if isinstance(figure.value, float) else str(figure.value),
                figure.unit,
            )
    console.print(table)
    for line in played.why_not:
        console.print(f"not passed: {line}", markup=False, highlight=False)
    for name, count in played.timed.items():
        console.print(f"timed rule {name}: {count} times", markup=False, highlight=False)
    if played.passed:
        console.print("passed: every message that was taken on has its end, and no counted rule was broken")


def main(words: Sequence[str] | None = None) -> int:
    """The exit status: 0 passed, 1 not, 2 for arguments or files that can't be used, 130 interrupted."""
    words = list(sys.argv[1:] if words is None else words)
    logging.basicConfig(level=logging.WARNING, format="fleetlab: %(message)s")
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False, no_args_is_help=False)
    app.callback()(laboratory)
    app.command("run")(with_plan_options(run))
    for name, module in OTHERS.items():
        try:
            app.command(name)(getattr(importlib.import_module(module), name))
        except ModuleNotFoundError as error:
            if error.name != module:
                raise
    if not words or words[0].startswith("-") and words[0] != "--help":
        words = ["run", *words]
    try:
        status = app(words, standalone_mode=False, prog_name="python -m fleetlab")
    except PlanError as error:
        return complain(str(error))
    except TyperException as error:
        return complain(" ".join(str(error.format_message()).split()))
    except (KeyboardInterrupt, typer.Abort):
        return INTERRUPTED
    return status if isinstance(status, int) else 0


def complain(text: str) -> int:
    print(f"fleetlab: {text}", file=sys.stderr)
    return BAD_ARGUMENTS
