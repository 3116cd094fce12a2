"""Commands on node settings and on the shared configuration."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer

from baobabwing.brands.operators import AccessError, Operator
from baobabwing.cli.access import (
    AuthorOption,
    TokenFileOption,
    authenticate_operator,
    read_token,
)
from baobabwing.exceptions import (
    BaobabwingError,
    ConflictError,
    PlatformError,
    PlatformUncertainError,
    SettingsError,
)
from baobabwing.orders.errors import LeaseLostError, OrderError
from baobabwing.settings.access import check_changes, visible_part
from baobabwing.settings.changes import changes_between
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import dump_configuration
from baobabwing.settings.fetch import fetch_configuration, fetch_version
from baobabwing.settings.loader import load_configuration, load_file
from baobabwing.settings.publish import publish as publish_configuration
from baobabwing.store.tables import TableClient

__all__ = [
    "EXIT_CONFLICT",
    "EXIT_DENIED",
    "EXIT_INVALID",
    "EXIT_LEFT_OPEN",
    "EXIT_UNAVAILABLE",
    "EXIT_UNCERTAIN",
    "app",
    "exit_code",
    "exit_on_error",
    "table_client",
]

EXIT_INVALID = 1
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNCERTAIN = 5
EXIT_LEFT_OPEN = 6
EXIT_DENIED = 7
DEFAULT_TIMEOUT_MS = 2000
_HIDDEN_VALUE = "not shown"
_EPILOG = (
    "Exit codes: 0 done, 1 file or document invalid, 2 wrong usage, "
    "3 conflict with another change, 4 platform unavailable and nothing changed, "
    "5 platform's answer lost and effect unknown, 7 token missing, unknown or not "
    "enough."
)

app = typer.Typer(
    help="Check, show and publish settings and configuration.",
    epilog=_EPILOG,
    no_args_is_help=True,
    add_completion=False,
)

PlatformOption = Annotated[
    str, typer.Option("--platform", help="Base URL of the platform.")
]
TimeoutOption = Annotated[
    int, typer.Option("--timeout-ms", min=10, help="Wait for the platform.")
]


@app.command(epilog=_EPILOG)
def check(file: Annotated[Path, typer.Argument(help="Settings file.")]) -> None:
    """Check node settings or a configuration, told apart by content."""
    with exit_on_error():
        cfg = load_file(file)
    kind = "configuration" if isinstance(cfg, Configuration) else "node settings"
    typer.echo(f"{file}: valid {kind}")


@app.command(epilog=_EPILOG)
def show(
    file: Annotated[Path | None, typer.Argument(help="Settings file.")] = None,
    platform: PlatformOption = "",
    token_file: TokenFileOption = None,
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Show a file with its defaults, or the published configuration.

    An operator who is confined to brands is shown what concerns them.
    """
    if (file is None) == (not platform):
        raise typer.BadParameter("give either a file or --platform")
    with exit_on_error():
        if file is not None:
            cfg = load_file(file)
        else:
            cfg = _fetch(platform, timeout_ms, read_token(token_file))
    typer.echo(json.dumps(_document(cfg), indent=2))


@app.command(epilog=_EPILOG)
def publish(
    file: Annotated[Path, typer.Argument(help="Configuration file.")],
    platform: PlatformOption,
    token_file: TokenFileOption = None,
    author: AuthorOption = "",
    summary: Annotated[str, typer.Option(help="One line on what changed.")] = "",
    attempt: Annotated[
        str, typer.Option(help="Id of an earlier attempt whose effect is unknown.")
    ] = "",
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Publish a configuration.

    The version in the file is the one that the change was made from; a file
    without a version is the first configuration of all. The first needs no token,
    since there is nobody yet who could have one.
    """
    with exit_on_error():
        cfg = load_configuration(file)
        tables = table_client(platform, timeout_ms)
        operator = _check_publish(tables, cfg, read_token(token_file), author)
        published = publish_configuration(
            tables,
            base=cfg.version,
            cfg=dataclasses.replace(
                cfg,
                author=operator.name,
                summary=summary or f"published {file.name}",
                attempt=attempt,
            ),
        )
    typer.echo(f"version {published.version} published")


def table_client(url: str, timeout_ms: int) -> TableClient:
    """Return a table service client for the given command line options."""
    return TableClient(url=url, timeout_s=timeout_ms / 1000)


@contextmanager
def exit_on_error() -> Iterator[None]:
    """Report errors of the package as a message and an exit code."""
    try:
        yield
    except BaobabwingError as exc:
        typer.echo(f"error: {exc}", err=True)
        raise typer.Exit(exit_code(exc)) from exc


def exit_code(exc: BaobabwingError) -> int:
    """Return the documented exit code for an error."""
    if isinstance(exc, AccessError):
        return EXIT_DENIED
    if isinstance(exc, SettingsError):
        return EXIT_INVALID
    if isinstance(exc, LeaseLostError | OrderError):
        return EXIT_LEFT_OPEN
    if isinstance(exc, ConflictError):
        return EXIT_CONFLICT
    if isinstance(exc, PlatformUncertainError):
        return EXIT_UNCERTAIN
    if isinstance(exc, PlatformError):
        return EXIT_UNAVAILABLE
    return EXIT_INVALID


def _check_publish(
    tables: TableClient, cfg: Configuration, token: str, author: str
) -> Operator:
    """Return the publishing operator after checking the permission for each change.

    The changes are computed against the version on which the file is based. If
    another version is in force, publishing fails later with a conflict.

    :raises AccessError: if the operator may not make these changes.
    :raises ConflictError: if the version on which the file is based is not found.
    """
    current = fetch_configuration(tables)
    operator = authenticate_operator(current, token, author)
    if operator.confined:
        # The file replaces the whole configuration, of which this operator sees only
        # a part.
        raise AccessError(
            "an operator confined to brands cannot publish a whole configuration;"
            " make a plan instead",
            step="publish",
        )
    base = _load_base(tables, current, cfg.version)
    check_changes(operator, base, changes_between(base, cfg), step="publish")
    return operator


def _load_base(
    tables: TableClient, current: Configuration | None, version: int
) -> Configuration:
    if version == 0:
        return Configuration(version=0)
    if current is not None and current.version == version:
        return current
    past = fetch_version(tables, version)
    if past is None:
        raise ConflictError(f"base version {version} was not found", step="publish")
    return past


def _fetch(platform: str, timeout_ms: int, token: str) -> Configuration:
    cfg = fetch_configuration(table_client(platform, timeout_ms))
    if cfg is None:
        raise SettingsError("no configuration was published yet", step="show")
    return visible_part(cfg, authenticate_operator(cfg, token))


def _document(cfg: object) -> dict:
    if isinstance(cfg, Configuration):
        return dump_configuration(cfg)
    document = dataclasses.asdict(cfg)
    document["peer_secrets"] = [_HIDDEN_VALUE for _ in document["peer_secrets"]]
    return document
