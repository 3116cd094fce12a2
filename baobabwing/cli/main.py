"""The program ``baobabwing`` and its commands."""

from __future__ import annotations

from typing import Annotated

import typer

import baobabwing
from baobabwing.cli import bench, config, plan, report, standin
from baobabwing.cli.explain import explain
from baobabwing.cli.node import node
from baobabwing.cli.status import status

__all__ = ["app", "main"]

app = typer.Typer(
    name="baobabwing",
    help="A request scheduler for engines of different makes and speeds.",
    epilog="Exit codes: 0 done, 1 failed, 2 wrong use or settings.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
)
app.command()(node)
app.command()(plan.confirm)
app.command()(plan.history)
app.command()(status)
app.command()(explain)
app.add_typer(bench.app, name="bench")
app.add_typer(config.app, name="config")
app.add_typer(plan.app, name="plan")
app.add_typer(report.app, name="report")
app.add_typer(standin.app, name="standin")


def _show_version(requested: bool) -> None:
    if requested:
        typer.echo(f"baobabwing {baobabwing.__version__}")
        raise typer.Exit


@app.callback()
def _options(
    version: Annotated[
        bool,
        typer.Option("--version", callback=_show_version, is_eager=True),
    ] = False,
) -> None:
    """Options before the command."""


def main() -> None:
    """Run the program."""
    app()
