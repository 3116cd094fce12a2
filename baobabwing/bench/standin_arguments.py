"""Command-line arguments that start stand-ins."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from baobabwing.bench.shapes import EngineSpec, ServiceSpec

__all__ = ["engine_arguments", "platform_arguments", "service_arguments"]

# Parameters that cannot be set on the command line.
PARAMETERS_WITHOUT_OPTION = frozenset({"max_prompt_tokens", "max_output_tokens"})


def engine_arguments(
    spec: EngineSpec,
    *,
    listen: str,
    models: Sequence[str],
    platform: str = "",
    record: Path | None = None,
) -> list[str]:
    """Return the arguments that start an engine.

    :param platform: URL of the platform whose weight store it uses, if any.
    :param record: file for a persistent execution record, if any.
    """
    model_arguments = [argument for model in models for argument in ("--model", model)]
    if platform:
        model_arguments += ["--platform", platform]
    return [
        *_common_arguments("engine", spec.name, listen, record),
        *_parameter_arguments(asdict(spec.engine)),
        *model_arguments,
    ]


def service_arguments(
    spec: ServiceSpec, *, listen: str, record: Path | None = None
) -> list[str]:
    """Return the arguments that start a plain service."""
    return [
        *_common_arguments("service", spec.name, listen, record),
        *_parameter_arguments(asdict(spec.service)),
    ]


def platform_arguments(listen: str) -> list[str]:
    """Return the arguments that start a platform."""
    return _common_arguments("platform", "platform", listen, None)


def _common_arguments(
    kind: str, name: str, listen: str, record: Path | None
) -> list[str]:
    arguments = ["standin", kind, "--listen", listen, "--name", name]
    if record is not None:
        arguments += ["--record", str(record)]
    return arguments


def _parameter_arguments(parameters: dict[str, object]) -> list[str]:
    arguments = []
    for name, value in parameters.items():
        if name in PARAMETERS_WITHOUT_OPTION:
            continue
        option = name.replace("_", "-")
        if isinstance(value, bool):
            arguments.append(f"--{option}" if value else f"--no-{option}")
        else:
            arguments += [f"--{option}", str(value)]
    return arguments
