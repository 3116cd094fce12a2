"""Commands that create and confirm plans and show the change history.

They use the platform's table service instead of a node, because a plan must remain
valid until its confirmation even if every node is replaced in between.
"""

from __future__ import annotations

import dataclasses
import inspect
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import typer

from baobabwing.brands.operators import Operator
from baobabwing.cli.access import (
    AuthorOption,
    TokenFileOption,
    identify_operator,
    read_token,
)
from baobabwing.cli.config import (
    DEFAULT_TIMEOUT_MS,
    PlatformOption,
    TimeoutOption,
    exit_on_error,
    table_client,
)
from baobabwing.cli.in_force import NodeOption, show_in_force
from baobabwing.orders.desk import OrderDesk
from baobabwing.orders.engines import HttpEngines
from baobabwing.orders.execution import OrderTiming
from baobabwing.settings.access import scope_of, visible_entry
from baobabwing.settings.changes import describe
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.fetch import fetch_configuration
from baobabwing.settings.history import read_history
from baobabwing.settings.plans import (
    Plan,
    PlanContext,
    intent_names,
    list_plans,
    load_plan,
)
from baobabwing.settings.plans import confirm as confirm_plan
from baobabwing.settings.plans import plan as make_plan
from baobabwing.settings.plans.intents import intent_class
from baobabwing.settings.plans.store import unknown_plan
from baobabwing.store.hosts import list_hosts

__all__ = ["app", "confirm", "history"]

_EPILOG = (
    "Exit codes: 0 done, 1 intent or plan invalid, 2 wrong usage, 3 conflict with "
    "another change, 4 platform unavailable and nothing changed, 5 platform's "
    "answer lost and effect unknown: confirm the same plan again, 6 an engine does "
    "not follow or another process gives orders: the plan is noted and goes on, "
    "7 token missing, unknown or not enough, 8 accepted, but some host could not be "
    "confirmed to have it in force."
)
_HISTORY_LENGTH = 20

app = typer.Typer(
    help="State an intent and see what it would do; nothing changes until the "
    "plan is confirmed.",
    epilog=_EPILOG,
    no_args_is_help=True,
    add_completion=False,
)


@app.command(epilog=_EPILOG)
def show(
    plan_id: Annotated[str, typer.Argument(metavar="PLAN", help="Id of the plan.")],
    platform: PlatformOption,
    token_file: TokenFileOption = None,
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Show a plan."""
    tables = table_client(platform, timeout_ms)
    with exit_on_error():
        operator = identify_operator(tables, token_file)
        plan = load_plan(tables, plan_id)
        if not _is_visible(plan, operator, fetch_configuration(tables)):
            raise unknown_plan(plan_id)
    typer.echo(render(plan))


@app.command("list", epilog=_EPILOG)
def list_command(
    platform: PlatformOption,
    token_file: TokenFileOption = None,
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """List the plans that were made."""
    tables = table_client(platform, timeout_ms)
    with exit_on_error():
        operator = identify_operator(tables, token_file)
        cfg = fetch_configuration(tables)
        plans = list_plans(tables)
    for plan in plans:
        if not _is_visible(plan, operator, cfg):
            continue
        typer.echo(f"{plan.id}  base {plan.base}  {plan.author}  {plan.summary}")


def confirm(
    plan_id: Annotated[str, typer.Argument(metavar="PLAN", help="Id of the plan.")],
    platform: PlatformOption,
    token_file: TokenFileOption = None,
    author: AuthorOption = "",
    node: NodeOption = "",
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Carry out a plan, or fail and name who changed what since it was made.

    A plan with orders to engines takes as long as they load. If this command is
    stopped meanwhile, confirm again; a step that was done is not done anew.

    With --node the command also hands the version to that host, should the
    platform go down before any looked there. Then it asks all serving hosts,
    beginning with that one, and returns once the version is in force at each.
    """
    tables = table_client(platform, timeout_ms)
    with exit_on_error():
        operator = identify_operator(tables, token_file, author)
    timing = OrderTiming()
    orders = OrderDesk(
        tables=tables,
        engines=HttpEngines(timeout_s=timing.order_s / 2),
        holder=f"confirm by {operator.name}",
        timing=timing,
    )
    with exit_on_error():
        cfg = confirm_plan(
            tables,
            plan_id,
            author=operator.name,
            carry_out=orders.carry_out,
            operator=operator,
        )
    typer.echo(f"version {cfg.version} accepted: {cfg.summary}")
    if node:
        show_in_force(node, read_token(token_file), cfg)


def history(
    platform: PlatformOption,
    limit: Annotated[int, typer.Option(min=1, help="Versions.")] = _HISTORY_LENGTH,
    token_file: TokenFileOption = None,
    timeout_ms: TimeoutOption = DEFAULT_TIMEOUT_MS,
) -> None:
    """Show who changed what, newest first.

    An operator who is confined to brands is shown what concerns them.
    """
    tables = table_client(platform, timeout_ms)
    with exit_on_error():
        operator = identify_operator(tables, token_file)
        cfg = fetch_configuration(tables)
        entries = read_history(tables, limit=limit)
    visible_entries = (visible_entry(entry, operator, cfg) for entry in entries)
    for entry in filter(None, visible_entries):
        author = entry.author or "unknown"
        typer.echo(f"version {entry.version}  {author}  {entry.summary}")
        for change in entry.changes:
            typer.echo(f"    {describe(change)}")


def _is_visible(plan: Plan, operator: Operator, cfg: Configuration | None) -> bool:
    if not operator.confined:
        return True
    scope = scope_of(operator, cfg, plan.touched)
    return all(scope.holds(change) for change in plan.touched)


def render(plan: Plan) -> str:
    """Return a plan as text for operators."""
    lines = [f"plan {plan.id}: {plan.summary}", f"base version {plan.base}", "steps:"]
    lines += [
        f"  {number}. {step.action} {step.upstream} ({step.kind})".replace("  (", " (")
        for number, step in enumerate(plan.steps, start=1)
    ]
    lines.append("touches:")
    lines += [f"  {describe(change)}" for change in plan.touched]
    lines.append("spare slots:")
    lines += [
        f"  {pool.pool}: {pool.spare_before:g} -> {pool.spare_after:g}, "
        f"at most {pool.served_share_after:.0%} of the present load served"
        for pool in plan.capacity
    ]
    lines.append("risks:" if plan.risks else "risks: none found")
    lines += [f"  {risk.code}: {risk.message}" for risk in plan.risks]
    return "\n".join(lines)


def _add_intent(name: str) -> None:
    """Add a command whose options are the fields of an intent."""
    cls = intent_class(name)
    options = [_option(item) for item in dataclasses.fields(cls)]

    def command(
        platform: str,
        token_file: Path | None,
        author: str,
        timeout_ms: int,
        **arguments: Any,
    ) -> None:
        with exit_on_error():
            tables = table_client(platform, timeout_ms)
            operator = identify_operator(tables, token_file, author)
            plan = make_plan(
                tables,
                intent=name,
                arguments=arguments,
                author=operator.name,
                operator=operator,
                context=_context(name, platform, timeout_ms),
            )
        typer.echo(render(plan))
        typer.echo(f"nothing changed yet; run: confirm {plan.id}")

    _set_signature(command, options)
    command.__doc__ = (cls.__doc__ or "").partition("\n")[0]
    app.command(name, epilog=_EPILOG)(command)


def _context(name: str, platform: str, timeout_ms: int) -> PlanContext:
    if name != "drain-host":
        return PlanContext()
    hosts = list_hosts(url=platform, timeout_s=timeout_ms / 1000)
    return PlanContext(hosts=hosts)


def _option(item: dataclasses.Field) -> inspect.Parameter:
    kind = {"str": str, "int": int, "float": float}[item.type]
    required = item.default is dataclasses.MISSING
    return inspect.Parameter(
        item.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=inspect.Parameter.empty if required else item.default,
        annotation=Annotated[kind, typer.Option()],
    )


def _set_signature(command: Callable, options: list[inspect.Parameter]) -> None:
    keyword = inspect.Parameter.KEYWORD_ONLY
    common = [
        inspect.Parameter("platform", keyword, annotation=PlatformOption),
        inspect.Parameter(
            "token_file", keyword, annotation=TokenFileOption, default=None
        ),
        inspect.Parameter("author", keyword, annotation=AuthorOption, default=""),
        inspect.Parameter(
            "timeout_ms",
            keyword,
            annotation=TimeoutOption,
            default=DEFAULT_TIMEOUT_MS,
        ),
    ]
    parameters = [*options, *common]
    command.__signature__ = inspect.Signature(parameters)
    command.__annotations__ = {item.name: item.annotation for item in parameters}


for _name in intent_names():
    _add_intent(_name)
