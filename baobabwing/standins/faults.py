"""Injectable faults of the stand-ins and the set of faults in force."""

from __future__ import annotations

import math
import os
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any

from baobabwing.exceptions import RequestError
from baobabwing.reports.events import log
from baobabwing.standins.events import DIED, FAULT_SET
from baobabwing.standins.server import Answer, Exchange

__all__ = [
    "ALL_KINDS",
    "FaultBoard",
    "FaultKind",
    "FaultOrder",
    "deliver",
    "fault",
    "fault_kinds",
]

ALL_KINDS = frozenset({"engine", "service", "platform"})
UPSTREAM_KINDS = frozenset({"engine", "service"})
ENGINE_KIND = frozenset({"engine"})
PLATFORM_KIND = frozenset({"platform"})
EXIT_STATUS_DIED = 1
MIN_DEATH_DELAY_S = 0.005
_MS = 1000.0


@dataclass(frozen=True, kw_only=True)
class FaultOrder:
    """An order to inject a fault.

    :param name: name of the fault.
    :param value: parameter whose meaning depends on the fault.
    :param count: number of times the fault takes effect; none for no limit.
    :param for_ms: how long the fault is in force; none for until it is cleared.
    :param names: hosts, peers or components that the fault applies to.
    """

    name: str
    value: Any = None
    count: int | None = None
    for_ms: float | None = None
    names: tuple[str, ...] = ()

    @classmethod
    def parse(cls, document: Mapping[str, Any]) -> FaultOrder:
        """Parse the body of a control call.

        :raises RequestError: if a field is missing or of another type.
        """
        name = document.get("fault")
        count = document.get("count")
        names = document.get("names", ())
        if not isinstance(name, str):
            raise _bad_fault("fault must be a name")
        for_ms = document.get("for_ms")
        if count is not None and (not isinstance(count, int) or count < 1):
            raise _bad_fault("count must be a number from 1")
        if for_ms is not None and not _is_non_negative_number(for_ms):
            raise _bad_fault("for_ms must be a number from 0")
        if not all(isinstance(item, str) for item in names):
            raise _bad_fault("names must be texts")
        return cls(
            name=name,
            value=document.get("value"),
            count=count,
            for_ms=for_ms,
            names=tuple(names),
        )

    def number(self, default: float) -> float:
        """Return the value as a number, or the default if there is none."""
        return default if self.value is None else float(self.value)


@dataclass(frozen=True, kw_only=True)
class FaultKind:
    """A fault that stand-ins implement.

    :param name: name of the fault.
    :param kinds: kinds of stand-in that implement it.
    :param meaning: one line of documentation.
    :param apply: function that applies an order for this fault.
    :param takes_text: whether the value is a text instead of a number.
    """

    name: str
    kinds: frozenset[str]
    meaning: str
    apply: Callable[[FaultBoard, FaultOrder], None]
    takes_text: bool = False

    def applies_to(self, kind: str) -> bool:
        """Whether a kind of stand-in implements the fault."""
        return kind in self.kinds

    def accepts(self, value: object) -> bool:
        """Whether a value has the type that the fault takes."""
        return (
            isinstance(value, str)
            if self.takes_text
            else _is_non_negative_number(value)
        )


_FAULT_KINDS: dict[str, FaultKind] = {}

ApplyFault = Callable[["FaultBoard", FaultOrder], None]


def fault(
    name: str, kinds: frozenset[str], meaning: str, *, takes_text: bool = False
) -> Callable[[ApplyFault], ApplyFault]:
    """Return a decorator that registers a function as the effect of a fault."""

    def register(apply: ApplyFault) -> ApplyFault:
        _FAULT_KINDS[name] = FaultKind(
            name=name,
            kinds=kinds,
            meaning=meaning,
            apply=apply,
            takes_text=takes_text,
        )
        return apply

    return register


def fault_kinds() -> tuple[FaultKind, ...]:
    """Return all registered faults, sorted by name."""
    return tuple(_FAULT_KINDS[name] for name in sorted(_FAULT_KINDS))


class FaultBoard:
    """The faults in force in one stand-in.

    :param kind: kind of the stand-in: ``engine``, ``service`` or ``platform``.
    """

    def __init__(self, *, kind: str) -> None:
        self.kind = kind
        self._active: dict[str, FaultOrder] = {}
        self._expires_at: dict[str, float] = {}
        self._changed = threading.Condition()
        self._frozen_until = 0.0

    def set(self, order: FaultOrder) -> None:
        """Put a fault into force.

        :raises RequestError: if this kind of stand-in does not implement the fault
            or the value has the wrong type.
        """
        kind = _FAULT_KINDS.get(order.name)
        if kind is None or not kind.applies_to(self.kind):
            raise _bad_fault(f"a stand-in {self.kind} has no fault {order.name}")
        if order.value is not None and not kind.accepts(order.value):
            raise _bad_fault(f"the value does not fit the fault {order.name}")
        log(FAULT_SET, fault=order.name, value=order.value, count=order.count)
        kind.apply(self, order)

    def activate(self, order: FaultOrder) -> None:
        """Keep a fault in force until it expires, is used up or is cleared."""
        with self._changed:
            self._active[order.name] = order
            self._expires_at[order.name] = math.inf
            if order.for_ms is not None:
                self._expires_at[order.name] = time.monotonic() + order.for_ms / _MS

    def clear(self) -> None:
        """End all faults, a freeze included."""
        with self._changed:
            self._active.clear()
            self._frozen_until = 0.0
            self._changed.notify_all()

    def freeze(self, duration_s: float) -> None:
        """Suspend answers and engine steps for some seconds."""
        with self._changed:
            self._frozen_until = time.monotonic() + duration_s

    def peek(self, name: str) -> FaultOrder | None:
        """Return a fault if it is in force, without decrementing its count."""
        if name not in self._active:
            return None
        with self._changed:
            if self._expires_at[name] <= time.monotonic():
                self._active.pop(name, None)
            return self._active.get(name)

    def number(self, name: str, default: float) -> float:
        """Return the value of a fault in force as a number, or the default."""
        order = self.peek(name)
        return default if order is None else order.number(default)

    def consume(self, name: str) -> FaultOrder | None:
        """Return a fault if it is in force, and decrement its count."""
        if self.peek(name) is None:
            return None
        with self._changed:
            order = self._active.get(name)
            if order is None or order.count is None:
                return order
            if order.count > 1:
                self._active[name] = replace(order, count=order.count - 1)
            else:
                del self._active[name]
            return order

    def die_at(self, step: str) -> None:
        """Exit the process if the fault ``die_at`` names this step of a request."""
        order = self.peek("die_at")
        if order is not None and order.value == step:
            _exit_now()

    def active(self) -> list[FaultOrder]:
        """Return the faults in force."""
        with self._changed:
            names = sorted(self._active)
        return [order for order in map(self.peek, names) if order is not None]

    def wait_while_frozen(self) -> float:
        """Block until the freeze is over.

        :returns: the seconds spent waiting.
        """
        if not self._frozen_until:
            return 0.0
        started_at = time.monotonic()
        with self._changed:
            while (remaining_s := self._frozen_until - time.monotonic()) > 0:
                self._changed.wait(remaining_s)
            self._frozen_until = 0.0
        return time.monotonic() - started_at


def deliver(board: FaultBoard, exchange: Exchange, answer: Answer) -> None:
    """Send the answer to a call that took effect, altered by the faults in force."""
    board.die_at("answered")
    if board.consume("drop_after_effect"):
        exchange.abort()
    delay_order = board.consume("answer_late")
    if delay_order:
        time.sleep(delay_order.number(0.0) / _MS)
    board.wait_while_frozen()
    exchange.send(answer)
    if board.consume("answer_twice"):
        exchange.send_again(answer)


def _is_non_negative_number(value: object) -> bool:
    return isinstance(value, (int, float)) and value >= 0


def _bad_fault(message: str) -> RequestError:
    return RequestError(
        message, status=HTTPStatus.BAD_REQUEST, code="bad_fault", step="fault"
    )


@fault("die", ALL_KINDS, "end at once, after `value` ms if given")
def _die(board: FaultBoard, order: FaultOrder) -> None:
    # The delay lets the answer to the control call go out before the exit, so that
    # the caller knows that the order was accepted.
    delay_s = max(order.number(0.0) / _MS, MIN_DEATH_DELAY_S)
    timer = threading.Timer(delay_s, _exit_now)
    timer.daemon = True
    timer.start()


def _exit_now() -> None:
    log(DIED)
    os._exit(EXIT_STATUS_DIED)


@fault("freeze", ALL_KINDS, "neither answer nor step for `value` ms")
def _freeze(board: FaultBoard, order: FaultOrder) -> None:
    board.freeze(order.number(0.0) / _MS)


def _activate(board: FaultBoard, order: FaultOrder) -> None:
    board.activate(order)


_LASTING_FAULTS = (
    ("refuse", UPSTREAM_KINDS, "refuse `count` requests as not admitted"),
    ("fail", UPSTREAM_KINDS, "answer `count` requests with 500, after the effect"),
    ("drop_after_effect", UPSTREAM_KINDS, "run `count` requests, then cut"),
    ("answer_late", ALL_KINDS, "hold `count` answers for `value` ms"),
    ("answer_twice", ALL_KINDS, "send `count` answers twice on the connection"),
    (
        "cut_stream_after",
        frozenset({"engine"}),
        "cut `count` streams at `value` tokens",
    ),
    ("cut_peer", ALL_KINDS, "cut whatever comes from the IP numbers `names`"),
    ("lag", ALL_KINDS, "reports or lists are `value` ms old"),
    ("slow", ALL_KINDS, "upstreams: `value` times slower; platform: `value` ms more"),
    ("down", PLATFORM_KIND, "answer 503 without effect"),
    ("drop_before_effect", PLATFORM_KIND, "cut `count` calls, no effect"),
    ("lose_answer", PLATFORM_KIND, "cut `count` writes after the effect"),
    ("stale", PLATFORM_KIND, "reads are as of `value` ms ago"),
    ("throttle", PLATFORM_KIND, "only `value` writes a second"),
)
_LASTING_TEXT_FAULTS = (
    ("die_at", ALL_KINDS, "end when a call is `received`, `admitted`, or `answered`"),
    ("list_error", PLATFORM_KIND, "`names` have state `value`, or are missing"),
)
for _fault_name, _stand_in_kinds, _meaning in _LASTING_FAULTS:
    fault(_fault_name, _stand_in_kinds, _meaning)(_activate)
for _fault_name, _stand_in_kinds, _meaning in _LASTING_TEXT_FAULTS:
    fault(_fault_name, _stand_in_kinds, _meaning, takes_text=True)(_activate)
