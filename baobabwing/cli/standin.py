"""Commands that run one stand-in each, for trials and tests."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from baobabwing.standins.engine.application import EngineApplication
from baobabwing.standins.engine.parameters import EngineParameters
from baobabwing.standins.platform.application import PlatformApplication
from baobabwing.standins.platform.parameters import PlatformParameters
from baobabwing.standins.process import run
from baobabwing.standins.service import ServiceApplication, ServiceParameters

__all__ = ["app"]

SPARE_THREADS = 48
PLATFORM_THREADS = 64

app = typer.Typer(no_args_is_help=True, help="Run a stand-in of an upstream.")

Listen = Annotated[str, typer.Option(help="Host and port; port 0 takes a free one.")]
Name = Annotated[str, typer.Option(help="Name of the stand-in.")]
RecordFile = Annotated[
    Path | None,
    typer.Option("--record", help="File that keeps the record beyond the process."),
]

_ENGINE = EngineParameters()
_SERVICE = ServiceParameters()
_PLATFORM = PlatformParameters()


@app.command()
def engine(
    listen: Listen = "127.0.0.1:0",
    name: Name = "engine",
    model: Annotated[list[str] | None, typer.Option(help="A loaded model.")] = None,
    step_ms: float = _ENGINE.step_ms,
    step_ms_per_sequence: float = _ENGINE.step_ms_per_sequence,
    prefill_tokens_per_s: float = _ENGINE.prefill_tokens_per_s,
    prefill_chunk: Annotated[
        int, typer.Option(help="Prompt tokens a step; 0 for whole prompts.")
    ] = _ENGINE.prefill_chunk,
    max_batch: int = _ENGINE.max_batch,
    max_waiting: int = _ENGINE.max_waiting,
    cache_tokens: int = _ENGINE.cache_tokens,
    report_lag_ms: float = _ENGINE.report_lag_ms,
    cache_event_lag_ms: float = _ENGINE.cache_event_lag_ms,
    cache_event_gap: float = _ENGINE.cache_event_gap,
    load_ms: float = _ENGINE.load_ms,
    keep_s: float = _ENGINE.keep_s,
    fencing: bool = _ENGINE.fencing,
    seed: int = _ENGINE.seed,
    platform: Annotated[str, typer.Option(help="URL of the platform.")] = "",
    record: RecordFile = None,
) -> None:
    """Run a model engine with continuous batching and a prefix cache."""
    parameters = EngineParameters(
        step_ms=step_ms,
        step_ms_per_sequence=step_ms_per_sequence,
        prefill_tokens_per_s=prefill_tokens_per_s,
        prefill_chunk=prefill_chunk,
        max_batch=max_batch,
        max_waiting=max_waiting,
        cache_tokens=cache_tokens,
        report_lag_ms=report_lag_ms,
        cache_event_lag_ms=cache_event_lag_ms,
        cache_event_gap=cache_event_gap,
        load_ms=load_ms,
        keep_s=keep_s,
        fencing=fencing,
        seed=seed,
    )
    application = EngineApplication(
        name=name,
        models=tuple(model or ()),
        engine=parameters,
        platform=platform,
        record_path=record,
    )
    threads = max_batch + max_waiting + SPARE_THREADS
    run(application=application, listen=listen, threads=threads)


@app.command()
def service(
    listen: Listen = "127.0.0.1:0",
    name: Name = "service",
    service_ms: float = _SERVICE.service_ms,
    concurrency: int = _SERVICE.concurrency,
    max_waiting: int = _SERVICE.max_waiting,
    report_lag_ms: float = _SERVICE.report_lag_ms,
    record: RecordFile = None,
) -> None:
    """Run a plain service that counts executions by key."""
    parameters = ServiceParameters(
        service_ms=service_ms,
        concurrency=concurrency,
        max_waiting=max_waiting,
        report_lag_ms=report_lag_ms,
    )
    application = ServiceApplication(name=name, service=parameters, record_path=record)
    threads = concurrency + max_waiting + SPARE_THREADS
    run(application=application, listen=listen, threads=threads)


@app.command()
def platform(
    listen: Listen = "127.0.0.1:0",
    name: Name = "platform",
    writes_per_s: float = _PLATFORM.writes_per_s,
    reads_per_s: float = _PLATFORM.reads_per_s,
    latency_ms: float = _PLATFORM.latency_ms,
    hosts_lag_ms: float = _PLATFORM.hosts_lag_ms,
    weight_load_ms: float = _PLATFORM.weight_load_ms,
    weight_loads_per_s: float = _PLATFORM.weight_loads_per_s,
    weight_burst: int = _PLATFORM.weight_burst,
    threads: int = PLATFORM_THREADS,
    record: RecordFile = None,
) -> None:
    """Run the table service, object store, weight store and list of hosts."""
    parameters = PlatformParameters(
        writes_per_s=writes_per_s,
        reads_per_s=reads_per_s,
        latency_ms=latency_ms,
        hosts_lag_ms=hosts_lag_ms,
        weight_load_ms=weight_load_ms,
        weight_loads_per_s=weight_loads_per_s,
        weight_burst=weight_burst,
    )
    application = PlatformApplication(
        name=name, platform=parameters, record_path=record
    )
    run(application=application, listen=listen, threads=threads)


if __name__ == "__main__":
    app()
