"""The command ``explain``: the trace of a request from the nodes' logs."""

from __future__ import annotations

import contextlib
import sys
from pathlib import Path
from typing import Annotated

import typer

from baobabwing.reports.explain import explain as build_trace
from baobabwing.reports.explain import render

__all__ = ["explain"]

EXIT_NOT_FOUND = 1


def explain(
    request: Annotated[str, typer.Argument(help="The request's id.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of the nodes; standard input without any."),
    ] = None,
) -> None:
    """Tell what became of a request, and which step decided it.

    Exits with 1 if no line names the request.

    Example: baobabwing explain 9c41d07be2a35f68 node-*.log
    """
    with contextlib.ExitStack() as stack:
        sources = [
            stack.enter_context(path.open(errors="replace")) for path in logs or []
        ]
        trace = build_trace(request, sources or [sys.stdin])
    typer.echo(render(trace))
    if not trace.lines:
        raise typer.Exit(EXIT_NOT_FOUND)
