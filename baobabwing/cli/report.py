"""``baobabwing report``: reports on the service level of the fleet."""

from __future__ import annotations

import contextlib
import itertools
import json
import time
from pathlib import Path
from typing import Annotated

import typer

from baobabwing.cli.config import exit_on_error
from baobabwing.exceptions import BaobabwingError, PeerError
from baobabwing.reports.burn import build_report
from baobabwing.reports.burn_samples import (
    Sample,
    Samples,
    parse_sample,
    read_folder,
    save,
    scrape,
)
from baobabwing.reports.burn_text import burn_document, burn_text
from baobabwing.reports.html_burn import burn_html
from baobabwing.reports.losses import collect_causes, render, score_losses
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.loader import load_configuration
from baobabwing.store.tables import TableClient

__all__ = ["app"]

DAY_S = 86_400.0
DEFAULT_PERIOD_DAYS = 30.0
PLATFORM_TIMEOUT_S = 5.0

app = typer.Typer(help="Reports on the fleet.", no_args_is_help=True)

Nodes = Annotated[
    list[str] | None, typer.Option("--node", help="Scrape this host:port; repeat it.")
]


@app.callback()
def _reports() -> None:
    """Reports on the fleet."""


@app.command()
def losses(
    logs: Annotated[list[Path], typer.Argument(help="Log files of the nodes.")],
    score: Annotated[
        Path | None,
        typer.Option(help="Report of a played load, with parts and prices."),
    ] = None,
) -> None:
    """Show why requests were late or unserved, and what a played load lost by it.

    Example: baobabwing report losses --score day.json node-*.log
    """
    with exit_on_error(), contextlib.ExitStack() as stack:
        sources = [stack.enter_context(path.open(errors="replace")) for path in logs]
        found = collect_causes(itertools.chain.from_iterable(sources))
        report = json.loads(score.read_text()) if score else None
        typer.echo(render(found, score_losses(report) if report else []))


@app.command()
def burn(
    node: Nodes = None,
    samples: Annotated[
        Path | None,
        typer.Option(help="Folder of saved scrapes; new ones are saved there too."),
    ] = None,
    configuration: Annotated[
        Path | None, typer.Option(help="File with tiers, objectives and brands.")
    ] = None,
    platform: Annotated[
        str, typer.Option(help="URL of the platform, instead of a file.")
    ] = "",
    period_days: Annotated[
        float, typer.Option(min=0.01, help="How long an error budget lasts.")
    ] = DEFAULT_PERIOD_DAYS,
    json_file: Annotated[
        Path | None, typer.Option("--json", help="Write the report here, as JSON.")
    ] = None,
    html_file: Annotated[
        Path | None, typer.Option("--html", help="Write the report here, as a page.")
    ] = None,
) -> None:
    """Show how fast brands and tiers use up their error budgets.

    Counters come from nodes, from a folder of files NODE@SECONDS.prom, or from both.
    Windows that alerts look at need samples at their two ends: scrape regularly.

    Example: baobabwing report burn --node 10.0.0.1:8001 --samples scrapes
    --configuration site.jsonc --html burn.html
    """
    with exit_on_error():
        cfg = _configuration(configuration, platform)
        collected = Samples(samples=_collect_samples(node or [], samples))
        if not collected:
            raise BaobabwingError("no samples; give --node or --samples", step="burn")
        report = build_report(collected, cfg, period_s=period_days * DAY_S)
    typer.echo(burn_text(report))
    if json_file is not None:
        document = json.dumps(burn_document(report), indent=2, allow_nan=False)
        json_file.write_text(document, encoding="utf-8")
    if html_file is not None:
        html_file.write_text(burn_html(report), encoding="utf-8")


def _configuration(path: Path | None, platform: str) -> Configuration:
    if path is not None:
        return load_configuration(path)
    if not platform:
        raise BaobabwingError("give --configuration or --platform", step="burn")
    tables = TableClient(url=platform, timeout_s=PLATFORM_TIMEOUT_S)
    cfg = fetch_configuration(tables)
    if cfg is None:
        raise BaobabwingError(
            "no configuration has been published yet", step="burn", peer=platform
        )
    return cfg


def _collect_samples(nodes: list[str], folder: Path | None) -> list[Sample]:
    samples = read_folder(folder) if folder is not None and folder.exists() else []
    for address in nodes:
        try:
            text = scrape(address)
        except PeerError as exc:
            # One unreachable node must not prevent the report on the others.
            typer.echo(f"left out: {exc}", err=True)
            continue
        at_s = time.time()
        if folder is not None:
            save(folder, address, at_s, text)
        samples.append(parse_sample(address, at_s, text))
    return samples
