"""``baobabwing bench``: load tests of a complete deployment of real processes."""

from __future__ import annotations

import json
import shutil
import signal
import sys
import time
from dataclasses import asdict
from pathlib import Path
from types import FrameType
from typing import Annotated

import typer

from baobabwing.bench.demo import demo_faults, safety_faults
from baobabwing.bench.faults import fault_names, get_fault
from baobabwing.bench.figures import RunFigures, run_figures
from baobabwing.bench.plots import load_pyplot, plot_goodput
from baobabwing.bench.runs import RunOptions, RunResult, run_scenario
from baobabwing.bench.scenarios import Scenario, get_scenario, scenario_names
from baobabwing.bench.tables import figures_text
from baobabwing.exceptions import BaobabwingError
from baobabwing.pools.policies import policy_names

__all__ = ["app"]

DEMO_SCENARIO = "tijera-day"
DEMO_SECONDS = 20.0
DEMO_SEED = 1
DEFAULT_POLICY = "baobabwing"
PROGRESS_S = 5.0

app = typer.Typer(
    help="Put load on a deployment of stand-ins and nodes.", no_args_is_help=True
)

Nodes = Annotated[
    int, typer.Option(min=0, help="Node processes; 0 for the shape's own.")
]
Logs = Annotated[
    Path | None,
    typer.Option(help="Keep logs and records here; else kept only after a fault."),
]


@app.command()
def run(
    scenario: Annotated[str, typer.Argument(help=" | ".join(scenario_names()))],
    policy: Annotated[
        str, typer.Option(help="Scheduling policies, separated by commas.")
    ] = DEFAULT_POLICY,
    seed: Annotated[int, typer.Option(help="Decides all requests of the run.")] = 1,
    seconds: Annotated[
        float, typer.Option(min=1.0, help="Length of the load, in seconds.")
    ] = 30.0,
    json_file: Annotated[
        Path | None, typer.Option("--json", help="Write all figures here.")
    ] = None,
    plot: Annotated[
        Path | None, typer.Option(help="Write a picture here; needs matplotlib.")
    ] = None,
    fault: Annotated[
        str, typer.Option(help=f"At a third of the run: {' | '.join(fault_names())}")
    ] = "",
    nodes: Nodes = 0,
    logs: Logs = None,
) -> None:
    """Run a scenario under one or several policies, with the same requests.

    Exits with 1 if anything was seen that must never be, whatever the fault.
    """
    selected = _scenario(scenario)
    _check_fault(fault)
    policies = _policies(policy)
    if plot is not None:
        load_pyplot()
    _exit_on_sigterm()
    figures = []
    has_faults = False
    for name in policies:
        options = RunOptions(
            policy=name,
            seed=seed,
            seconds=seconds,
            nodes=nodes,
            fault=get_fault(fault) if fault else None,
            folder=logs / name if logs else None,
        )
        result = _run(selected, options)
        figures.append(run_figures(result.run))
        typer.echo(f"\n{figures_text(figures[-1])}\n")
        has_faults |= _report_faults(
            safety_faults(result.run, result.exits), result, options
        )
    if json_file is not None:
        _write_json(json_file, selected, seed, figures)
    if plot is not None:
        plot_goodput(plot, figures)
    if has_faults:
        raise typer.Exit(code=1)


@app.command()
def demo(
    seconds: Annotated[
        float, typer.Option(min=1.0, help="Length of the load, in seconds.")
    ] = DEMO_SECONDS,
    nodes: Nodes = 0,
    logs: Logs = None,
) -> None:
    """Show a small deployment at work, and check it against the upstreams' records.

    Exits with 0 only if every answer was whole and its request's own, and every
    request was executed exactly once.
    """
    _exit_on_sigterm()
    options = RunOptions(
        policy=DEFAULT_POLICY,
        seed=DEMO_SEED,
        seconds=seconds,
        nodes=nodes,
        folder=logs,
    )
    scenario = get_scenario(DEMO_SCENARIO)
    typer.echo(f"{scenario.name}: {scenario.story}")
    result = _run(scenario, options)
    typer.echo(f"\n{figures_text(run_figures(result.run))}\n")
    if _report_faults(demo_faults(result.run, result.exits), result, options):
        raise typer.Exit(code=1)
    typer.echo(
        f"all {len(result.run.answers)} answers were whole and their request's own;"
        " the upstreams' records show each request executed exactly once;"
        f" {len(result.exits)} nodes stopped gracefully"
    )


def _scenario(name: str) -> Scenario:
    if name not in scenario_names():
        raise typer.BadParameter(f"must be one of {', '.join(scenario_names())}")
    return get_scenario(name)


def _policies(names: str) -> list[str]:
    chosen = [name.strip() for name in names.split(",")]
    if not set(chosen) <= set(policy_names()):
        raise typer.BadParameter(f"must be among {', '.join(policy_names())}")
    return chosen


def _check_fault(name: str) -> None:
    if name and name not in fault_names():
        raise typer.BadParameter(f"must be one of {', '.join(fault_names())}")


def _report_faults(faults: list[str], result: RunResult, options: RunOptions) -> bool:
    """Print the faults and return whether there are any.

    Logs and records are kept only if there are faults or a folder was requested.
    """
    for fault in faults:
        typer.echo(f"FAULT {fault}")
    if faults:
        typer.echo(f"logs and records: {result.folder}")
    elif options.folder is None:
        shutil.rmtree(result.folder, ignore_errors=True)
    return bool(faults)


def _run(scenario: Scenario, options: RunOptions) -> RunResult:
    try:
        return run_scenario(scenario, options, report=_Reporter())
    except BaobabwingError as exc:
        typer.echo(f"\n{exc}", err=True)
        raise typer.Exit(code=1) from exc


class _Reporter:
    """Print the lines of a run.

    Progress lines overwrite each other on a terminal; other outputs get at most one
    per ``PROGRESS_S``.
    """

    def __init__(self) -> None:
        self._next_at = 0.0

    def __call__(self, line: str, *, progress: bool) -> None:
        if sys.stdout.isatty():
            typer.echo(f"\r\x1b[K{line}", nl=not progress)
        elif not progress or time.monotonic() >= self._next_at:
            typer.echo(line)
            self._next_at = time.monotonic() + PROGRESS_S


def _write_json(
    path: Path, scenario: Scenario, seed: int, figures: list[RunFigures]
) -> None:
    document = {
        "scenario": scenario.name,
        "seed": seed,
        "runs": [
            {
                **asdict(item),
                "wasted_prefill_tokens": item.prefill.wasted,
                "capacity_share": item.capacity.share,
            }
            for item in figures
        ],
    }
    path.write_text(json.dumps(document, indent=2), encoding="utf-8")


def _exit_on_sigterm() -> None:
    # By default SIGTERM ends this process without running its cleanup blocks, and the
    # processes that it started would keep running. SystemExit runs the cleanup.
    signal.signal(signal.SIGTERM, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    raise SystemExit(128 + number)
