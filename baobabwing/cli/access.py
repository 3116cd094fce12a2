"""Authentication of the operator who runs a command.

The token is read from a file or the environment and is never an argument, because
the process list shows arguments to every user of the host.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import typer

from baobabwing.brands.operators import AccessError, Operator, Role, find_operator
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.store.tables import Tables

__all__ = [
    "TOKEN_VARIABLE",
    "AuthorOption",
    "TokenFileOption",
    "authenticate_operator",
    "identify_operator",
    "read_token",
]

TOKEN_VARIABLE = "BAOBABWING_TOKEN"
MAX_TOKEN_BYTES = 4096

TokenFileOption = Annotated[
    Path | None,
    typer.Option(
        "--token-file",
        help=f"File with the operator's token; without it, {TOKEN_VARIABLE} counts.",
    ),
]
AuthorOption = Annotated[
    str,
    typer.Option(
        "--author", help="Who asks, only while there are no operators to have tokens."
    ),
]


def read_token(token_file: Path | None) -> str:
    """Return the operator's token, or an empty string if none is given.

    :raises AccessError: if the file cannot be read or holds no token.
    """
    if token_file is None:
        return os.environ.get(TOKEN_VARIABLE, "").strip()
    try:
        with token_file.open(encoding="utf-8") as file:
            token = file.read(MAX_TOKEN_BYTES).strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise AccessError(
            f"the token file cannot be read: {type(exc).__name__}", step="token"
        ) from None
    if not token:
        raise AccessError("the token file is empty", step="token")
    return token


def authenticate_operator(
    cfg: Configuration | None, token: str, author: str | None = None
) -> Operator:
    """Return the operator to whom a token belongs.

    While the configuration names no operators, anyone who can reach the platform
    acts as an admin under the given name; otherwise the first configuration could
    not be published.

    :param cfg: the configuration in force, or ``None`` before the first.
    :param token: the operator's token; empty if none was given.
    :param author: name to record while there are no operators, where it must not be
        empty; ``None`` for commands that write nothing.
    :raises AccessError: if the token is missing or unknown, if the author is missing
        while there are no operators, or if it differs from the token's operator.
    """
    if cfg is None or not cfg.operators:
        if author == "":
            raise AccessError(
                "no operators configured yet: --author is required", step="token"
            )
        return Operator(name=author or "", sha256="", role=Role.ADMIN)
    if not token:
        raise AccessError(
            f"an operator's token is required: --token-file or {TOKEN_VARIABLE}",
            step="token",
        )
    operator = find_operator(cfg.operators, token)
    if operator is None:
        raise AccessError("the token belongs to no operator", step="token")
    if author and author != operator.name:
        raise AccessError(
            "--author differs from the operator of the token", step="token"
        )
    return operator


def identify_operator(
    tables: Tables, token_file: Path | None, author: str | None = None
) -> Operator:
    """Return the operator who runs the command, by the configuration in force.

    :param token_file: file with the token; ``None`` to read the environment.
    :param author: see :func:`authenticate_operator`.
    :raises AccessError: if the token cannot be read, or if
        :func:`authenticate_operator` raises it.
    :raises PlatformUnavailableError: if the table service did not answer.
    """
    token = read_token(token_file)
    return authenticate_operator(fetch_configuration(tables), token, author)
