"""The command line, ``python -m fleetlab``: a scale run by default, or another command of the laboratory."""

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

# Further commands, each with the module that defines a function of the same name.
SUBCOMMANDS = {"slopes": "fleetlab.slopes", "soak": "fleetlab.soak"}
SUMMARY_FIGURES = (
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
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


def run(
    config: Annotated[
        Path | None, typer.Option(help="TOML file with values for any of these options")
    ] = None,
    out: Annotated[Path, typer.Option(help="file that the JSON result is written to")] = Path(
        "fleetlab-result.json"
    ),
    logs: Annotated[
        Path | None, typer.Option(help="empty folder in which logs and journals are kept")
    ] = None,
    command: Annotated[
        str | None, typer.Option(help="command that starts a real relay; 'run' of the deploy file by default")
    ] = None,
    judge_time: Annotated[
        bool, typer.Option("--judge-time", help="also judge rules that depend on a clock")
    ] = False,
    quiet: Annotated[bool, typer.Option("--quiet", help="show no progress")] = False,
    **values: Any,
) -> None:
    """Play a fleet with real and hollow relays and write the result."""
    plan = read_plan(config, {name: value for name, value in values.items() if value is not None})
    try:
        out.open("a").close()
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            if any(logs.iterdir()):  # a relay would recover state that it finds in its folder
                raise PlanError(f"{logs}: not empty")
    except OSError as error:
        raise PlanError(f"{error.filename}: {error.strerror}") from None
    options = Options(command or run_command(), logs, judge_time, quiet)
    result = asyncio.run(play(plan, options))
    out.write_text(json.dumps(result.model_dump(), indent=1) + "\n")
    print_summary(result)
    print(f"fleetlab: all figures are in {out}", file=sys.stderr)
    raise typer.Exit(EXIT_INTERRUPTED if result.interrupted else 0 if result.passed else 1)


def laboratory() -> None:
    """Test laboratory for fleets of relays. Plays a scale run if no command is given."""


async def play(plan: Plan, options: Options) -> Result:
    """Play one run in the current event loop."""
    return await ScaleRun(plan, options).play()


def with_plan_options(function: Callable[..., None]) -> Callable[..., None]:
    """Return the function with an additional option for each field of ``Plan``."""
    own_parameters = [
        parameter
        for parameter in inspect.signature(function, eval_str=True).parameters.values()
        if parameter.kind is not inspect.Parameter.VAR_KEYWORD
    ]
    plan_parameters = []
    for name, field_info in Plan.model_fields.items():
        help_text = (
            f"{field_info.description + '; ' if field_info.description else ''}"
            f"{field_info.default} by default"
        )
        plan_parameters.append(
            inspect.Parameter(
                name,
                inspect.Parameter.KEYWORD_ONLY,
                annotation=field_info.annotation,
                default=typer.Option(None, help=help_text),
            )
        )

    def wrapper(**values: Any) -> None:
        function(**values)

    signature = inspect.Signature(
        [p.replace(kind=inspect.Parameter.KEYWORD_ONLY) for p in own_parameters] + plan_parameters
    )
    wrapper.__signature__ = signature  # type: ignore[attr-defined]
    wrapper.__annotations__ = {p.name: p.annotation for p in signature.parameters.values()}
    wrapper.__doc__ = function.__doc__
    return wrapper


def print_summary(result: Result) -> None:
    """Print the most important figures, and the reasons for a failure, to standard error."""
    console = Console(stderr=True)
    table = Table("figure", "value", "unit")
    for name in SUMMARY_FIGURES:
        figure = result.figures.get(name)
        if figure is not None and figure.value is not None:
            table.add_row(
                name,
                f"{figure.value:g}" if isinstance(figure.value, float) else str(figure.value),
                figure.unit,
            )
    console.print(table)
    for line in result.why_not:
        console.print(f"not passed: {line}", markup=False, highlight=False)
    for name, count in result.timed.items():
        console.print(f"timed rule {name}: {count} times", markup=False, highlight=False)
    if result.passed:
        console.print("passed: every accepted message has ended, and no counted rule was broken")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command.

    Returns its exit status: 0 passed, 1 failed, 2 unusable arguments or files, 130 interrupted.
    """
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    logging.basicConfig(level=logging.WARNING, format="fleetlab: %(message)s")
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False, no_args_is_help=False)
    app.callback()(laboratory)
    app.command("run")(with_plan_options(run))
    for name, module in SUBCOMMANDS.items():
        try:
            app.command(name)(getattr(importlib.import_module(module), name))
        except ModuleNotFoundError as error:
            if error.name != module:
                raise
    if not arguments or arguments[0].startswith("-") and arguments[0] != "--help":
        arguments = ["run", *arguments]
    try:
        status = app(arguments, standalone_mode=False, prog_name="python -m fleetlab")
    except PlanError as error:
        return report_error(str(error))
    except TyperException as error:
        return report_error(" ".join(str(error.format_message()).split()))
    except (KeyboardInterrupt, typer.Abort):
        return EXIT_INTERRUPTED
    return status if isinstance(status, int) else 0


def report_error(text: str) -> int:
    """Print a one-line error message. Return the exit status for unusable arguments."""
    print(f"fleetlab: {text}", file=sys.stderr)
    return EXIT_USAGE
