"""Load reports between nodes, packed into datagrams.

``pycapnp`` packs the messages of the product's other processes. Here it would take
14 MB of a node's memory, more than half of what the rest takes; these few fixed
fields need the standard library only.
"""

from __future__ import annotations

import json
import struct
import zlib
from dataclasses import dataclass, field

from baobabwing.exceptions import WireError

__all__ = [
    "Hello",
    "Load",
    "LoadReport",
    "Used",
    "crc",
    "decode",
    "encode_hello",
    "encode_report",
    "wrapped_difference",
]

_HELLO = b"H"
_REPORT = b"R"
_CHANGE = b"C"
# Mark, crc of the node's name, incarnation in ms, number of the report.
_HEAD = struct.Struct("!cIQI")
# Ready, versions of configuration and upstreams, counts of what follows.
_STATE = struct.Struct("!BIIHH")
# Upstream, requests there, prompt tokens that wait to be read / 16.
_LOAD = struct.Struct("!IBH")
# Organisation, units and excess since the start; both wrap around.
_USED = struct.Struct("!III")
_TOKEN_UNIT = 16
_WRAP = 1 << 32
_MOST_LOAD = 0xFF
_MOST_PROMPT = 0xFFFF


@dataclass(frozen=True, kw_only=True)
class Hello:
    """Who a node is and where it can be reached."""

    name: str
    incarnation: int
    callers: str
    reports: str
    peers: str
    zone: str


@dataclass(frozen=True, kw_only=True)
class Load:
    """What a node has at one upstream.

    :param upstream: crc of its incarnation.
    :param prompt_tokens: still to be read there, to the next 16.
    """

    upstream: int
    requests: int
    prompt_tokens: int


@dataclass(frozen=True, kw_only=True)
class Used:
    """What a node admitted for an organisation since it started, modulo 2**32."""

    organisation: int
    units: int
    excess: int


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A node's loads; whole, or only those that changed.

    :param node: crc of its name.
    :param whole: whether an upstream that is not named has nothing of this node.
    """

    node: int
    incarnation: int
    number: int
    whole: bool
    ready: bool = False
    configuration: int = 0
    upstreams: int = 0
    loads: tuple[Load, ...] = ()
    used: tuple[Used, ...] = field(default=())


def crc(text: str) -> int:
    """Return the short form of a name."""
    return zlib.crc32(text.encode())


def wrapped_difference(now: int, before: int) -> int:
    """Return how far a counter went, forward or back, although it may wrap."""
    return (now - before + _WRAP // 2) % _WRAP - _WRAP // 2


def encode_hello(hello: Hello) -> bytes:
    """Pack a hello."""
    fields = [
        hello.name,
        hello.incarnation,
        hello.callers,
        hello.reports,
        hello.peers,
        hello.zone,
    ]
    return _HELLO + json.dumps(fields, separators=(",", ":")).encode()


def encode_report(report: LoadReport) -> bytes:
    """Pack a report."""
    mark = _REPORT if report.whole else _CHANGE
    parts = [_HEAD.pack(mark, report.node, report.incarnation, report.number)]
    if report.whole:
        parts.append(
            _STATE.pack(
                report.ready,
                report.configuration % _WRAP,
                report.upstreams % _WRAP,
                len(report.loads),
                len(report.used),
            )
        )
    parts.extend(
        _LOAD.pack(
            load.upstream,
            min(load.requests, _MOST_LOAD),
            min(-(-load.prompt_tokens // _TOKEN_UNIT), _MOST_PROMPT),
        )
        for load in report.loads
    )
    parts.extend(
        _USED.pack(one.organisation, one.units % _WRAP, one.excess % _WRAP)
        for one in report.used
    )
    return b"".join(parts)


def decode(data: bytes) -> Hello | LoadReport:
    """Unpack a datagram.

    :raises WireError: if it is none of ours.
    """
    try:
        if data[:1] == _HELLO:
            return _hello(data)
        return _report(data)
    except (struct.error, ValueError, TypeError) as exc:
        raise WireError(f"no report: {exc!r}", step="report") from exc


def _hello(data: bytes) -> Hello:
    name, incarnation, callers, reports, peers, zone = json.loads(data[1:])
    return Hello(
        name=str(name),
        incarnation=int(incarnation),
        callers=str(callers),
        reports=str(reports),
        peers=str(peers),
        zone=str(zone),
    )


def _report(data: bytes) -> LoadReport:
    mark, node, incarnation, number = _HEAD.unpack_from(data)
    if mark not in (_REPORT, _CHANGE):
        raise ValueError("unknown mark")
    whole = mark == _REPORT
    at = _HEAD.size
    ready, configuration, upstreams = 0, 0, 0
    loads, used = (len(data) - at) // _LOAD.size, 0
    if whole:
        ready, configuration, upstreams, loads, used = _STATE.unpack_from(data, at)
        at += _STATE.size
    if len(data) != at + loads * _LOAD.size + used * _USED.size:
        raise ValueError("wrong length")
    middle = at + loads * _LOAD.size
    return LoadReport(
        node=node,
        incarnation=incarnation,
        number=number,
        whole=whole,
        ready=bool(ready),
        configuration=configuration,
        upstreams=upstreams,
        loads=tuple(
            Load(upstream=up, requests=requests, prompt_tokens=units * _TOKEN_UNIT)
            for up, requests, units in _LOAD.iter_unpack(data[at:middle])
        ),
        used=tuple(
            Used(organisation=name, units=units, excess=excess)
            for name, units, excess in _USED.iter_unpack(data[middle:])
        ),
    )
