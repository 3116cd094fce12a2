"""The command ``status``: the state of a node and its view of the fleet."""

from __future__ import annotations

import json
import time
from collections import Counter
from typing import Annotated, Any

import typer

from baobabwing.cli.access import TokenFileOption, read_token
from baobabwing.cli.config import exit_on_error
from baobabwing.cli.node_client import fetch_status
from baobabwing.exceptions import PeerError
from baobabwing.reports.tables import format_table

__all__ = ["render_status", "status"]

WATCH_INTERVAL_S = 2.0
CLEAR_SCREEN = "\x1b[H\x1b[2J"
_STATES = ("alive", "suspect", "leaving", "dead", "left")
_EPILOG = "Exit codes: 0 done, 1 no answer, 2 wrong usage, 7 token not taken."


def status(
    node: Annotated[str, typer.Option(help="A node's address for callers, ip:port.")],
    token_file: TokenFileOption = None,
    watch: Annotated[bool, typer.Option("--watch", help="Show it over and over.")] = (
        False
    ),
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show how a node is doing: members, configuration, cells, open requests.

    Queues are known to the home of each cell and open requests to their entry,
    so this shows those of the one node that is asked. With --watch a node that
    does not answer is asked again until the command is interrupted.

    Example: baobabwing status --node 127.0.0.1:8001 --watch
    """
    with exit_on_error():
        token = read_token(token_file)
        if not watch:
            typer.echo(_format_status(fetch_status(node, token), as_json))
            return
        while True:
            _watch_once(node, token, as_json)
            time.sleep(WATCH_INTERVAL_S)


def render_status(document: dict[str, Any]) -> str:
    """Return a node's status as text for a terminal."""
    ranks = {tier["rank"]: tier["name"] for tier in document["tiers"]}
    parts = [
        _format_header(document),
        _format_members(document["members"]),
        *(_format_cell(cell, ranks) for cell in document["cells"]),
        _format_open_requests(document["open_requests"]),
    ]
    return "\n\n".join(parts)


def _format_status(document: dict[str, Any], as_json: bool) -> str:
    if as_json:
        return json.dumps(document)
    return render_status(document)


def _watch_once(node: str, token: str, as_json: bool) -> None:
    try:
        text = _format_status(fetch_status(node, token), as_json)
    except PeerError as exc:
        text = json.dumps({"error": str(exc)}) if as_json else f"error: {exc}"
    # Programs that read JSON lines must not receive the escape codes.
    typer.echo(text if as_json else CLEAR_SCREEN + text)


def _format_header(document: dict[str, Any]) -> str:
    node = document["node"]
    cfg = document["configuration"]
    reasons = ", ".join(node["reasons"])
    lines = [
        f"node {node['name']} in zone {node['zone']}, region {node['region']}",
        f"takes no new requests: {reasons}" if reasons else "takes new requests",
        f"configuration: version {cfg['held']} in force, "
        f"{cfg['highest_heard']} the highest heard of",
    ]
    if node["isolated"]:
        lines.append("may be cut off: it passes no verdicts on other hosts")
    return "\n".join(lines)


def _format_members(members: list[dict[str, Any]]) -> str:
    counts = Counter((member["zone"], member["state"]) for member in members)
    zones = sorted({member["zone"] for member in members})
    rows = [[zone, *(str(counts[zone, state]) for state in _STATES)] for zone in zones]
    return "members\n" + format_table(["zone", *_STATES], rows)


def _format_cell(cell: dict[str, Any], ranks: dict[int, str]) -> str:
    floor = ranks.get(cell["floor"])
    admitted = f"tiers down to {floor}" if floor else "every tier"
    lines = [
        f"cell {cell['name']}, policy {cell['policy']}: {cell['in_flight']} in flight, "
        f"admits {admitted}" + (", held" if cell["held"] else "")
    ]
    queued = [
        f"{ranks.get(entry['tier_rank'], entry['tier_rank'])} {entry['count']}"
        for entry in cell["queued"]
    ]
    lines.append("queued: " + (", ".join(queued) or "none"))
    rows = [
        [
            upstream["name"],
            upstream["standing"],
            "yes" if upstream["open_to_work"] else "no",
            f"{upstream['in_flight']}/{upstream['limit']}",
            f"{upstream['step_ms']:.1f}",
        ]
        for upstream in cell["upstreams"]
    ]
    header = ["upstream", "standing", "open", "in flight", "step ms"]
    lines.append(format_table(header, rows))
    return "\n".join(lines)


def _format_open_requests(counts: list[dict[str, Any]]) -> str:
    if not counts:
        return "open requests at this node: none"
    names = ("brand", "organisation", "tier", "state", "count")
    rows = [[str(count[name]) for name in names] for count in counts]
    return "open requests at this node\n" + format_table(names, rows)
