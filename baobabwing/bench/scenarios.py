"""Load scenarios of benchmark runs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from baobabwing.bench.arrivals import Form, Lengths, Phase, Stream, Work

__all__ = ["Scenario", "get_scenario", "scenario", "scenario_names"]

THIRD = 1 / 3
TWO_THIRDS = 2 / 3

CHAT_TURN = Work(
    name="chat-turn",
    tier="chat",
    target="assistant-8b",
    form=Form.CHAT,
    shared=256,
    groups=24,
    own=Lengths(minimum=12, maximum=120),
    output=Lengths(minimum=12, maximum=48),
)
SLOT_CHECK = Work(
    name="slot-check",
    tier="confirm",
    target="booking",
    form=Form.SERVICE,
    stream=False,
)
BOOKING = Work(
    name="booking",
    tier="confirm",
    target="booking",
    form=Form.SERVICE,
    stream=False,
    non_idempotent=True,
    own_key=True,
)
CONFIRMATION = Work(
    name="confirmation",
    tier="confirm",
    target="assistant-8b",
    form=Form.CHAT,
    shared=128,
    groups=5,
    own=Lengths(minimum=8, maximum=40),
    output=Lengths(minimum=8, maximum=16),
    stream=False,
    non_idempotent=True,
)
COLOUR_HISTORY = Work(
    name="colour-history",
    tier="summary",
    target="assistant-8b",
    form=Form.COMPLETION,
    own=Lengths(minimum=300, maximum=1_500),
    output=Lengths(minimum=40, maximum=120),
)
ROTA = Work(
    name="rota",
    tier="rota",
    target="assistant-8b",
    form=Form.COMPLETION,
    own=Lengths(minimum=1_200, maximum=4_000),
    output=Lengths(minimum=120, maximum=400),
    stream=False,
)
KICKOFF_QUERY = Work(
    name="kickoff-query",
    tier="sideline",
    target="scheduler-8b",
    form=Form.CHAT,
    shared=64,
    groups=5,
    own=Lengths(minimum=8, maximum=40),
    output=Lengths(minimum=8, maximum=16),
)
FIXTURE_LOOKUP = Work(
    name="fixture-lookup",
    tier="sideline",
    target="fixtures",
    form=Form.SERVICE,
    stream=False,
)
FIELD_CHANGE = Work(
    name="field-change",
    tier="reslot",
    target="fixtures",
    form=Form.SERVICE,
    stream=False,
    non_idempotent=True,
    own_key=True,
)
RESLOT = Work(
    name="reslot",
    tier="reslot",
    target="scheduler-8b",
    form=Form.COMPLETION,
    shared=192,
    groups=20,
    own=Lengths(minimum=80, maximum=300),
    output=Lengths(minimum=40, maximum=120),
)
SEASON_DRAW = Work(
    name="season-draw",
    tier="draw",
    target="scheduler-8b",
    form=Form.COMPLETION,
    own=Lengths(minimum=1_500, maximum=4_000),
    output=Lengths(minimum=200, maximum=600),
)
PARENT_NOTE = Work(
    name="parent-note",
    tier="notes",
    target="scheduler-8b",
    form=Form.COMPLETION,
    own=Lengths(minimum=60, maximum=200),
    output=Lengths(minimum=60, maximum=160),
    stream=False,
)


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Deployment shape and the load offered to it.

    :param shape: name of the shape.
    :param story: one-sentence description.
    """

    name: str
    shape: str
    story: str
    streams: tuple[Stream, ...]


_SCENARIOS: dict[str, Callable[[], Scenario]] = {}


def scenario(name: str) -> Callable[[Callable[[], Scenario]], Callable[[], Scenario]]:
    """Decorate a function that builds a scenario to add it to the registry."""

    def _register(build: Callable[[], Scenario]) -> Callable[[], Scenario]:
        _SCENARIOS[name] = build
        return build

    return _register


def get_scenario(name: str) -> Scenario:
    """Build the scenario with the given name.

    :raises KeyError: if it does not exist.
    """
    return _SCENARIOS[name]()


def scenario_names() -> tuple[str, ...]:
    """Return the names of all scenarios."""
    return tuple(sorted(_SCENARIOS))


@scenario("tijera-day")
def tijera_day() -> Scenario:
    """Build an ordinary day at slightly more than half of the capacity."""
    return Scenario(
        name="tijera-day",
        shape="tijera",
        story="Chats, bookings and summaries, with a little rota work left over.",
        streams=(
            _steady(CHAT_TURN, 0.25),
            _steady(CONFIRMATION, 0.03),
            _steady(COLOUR_HISTORY, 0.15),
            _steady(ROTA, 0.12),
            _steady(SLOT_CHECK, 0.01),
            _steady(BOOKING, 0.01),
        ),
    )


@scenario("tijera-rush")
def tijera_rush() -> Scenario:
    """Build a morning rush with twice the capacity offered in the middle third."""
    return Scenario(
        name="tijera-rush",
        shape="tijera",
        story="The morning rush meets the overnight rota work, not yet finished.",
        streams=(
            _burst(CHAT_TURN, calm=0.2, burst=1.0),
            _burst(CONFIRMATION, calm=0.03, burst=0.1),
            _burst(COLOUR_HISTORY, calm=0.1, burst=0.3),
            _burst(ROTA, calm=0.35, burst=0.6),
            _burst(SLOT_CHECK, calm=0.01, burst=0.03),
            _burst(BOOKING, calm=0.01, burst=0.02),
        ),
    )


@scenario("pitchside-rainout")
def pitchside_rainout() -> Scenario:
    """Build a Saturday of rainouts with a burst on top of running season draws."""
    return Scenario(
        name="pitchside-rainout",
        shape="pitchside",
        story="Rain: re-slots and lookups burst in while season draws are running.",
        streams=(
            _steady(SEASON_DRAW, 0.5),
            _burst(RESLOT, calm=0.05, burst=0.8),
            _burst(KICKOFF_QUERY, calm=0.05, burst=0.4),
            _burst(PARENT_NOTE, calm=0.1, burst=0.3),
            _burst(FIXTURE_LOOKUP, calm=0.01, burst=0.04),
            _burst(FIELD_CHANGE, calm=0.002, burst=0.01),
        ),
    )


def _steady(work: Work, load: float) -> Stream:
    return Stream(work=work, phases=(Phase(start=0.0, end=1.0, load=load),))


def _burst(work: Work, *, calm: float, burst: float) -> Stream:
    phases = (
        Phase(start=0.0, end=THIRD, load=calm),
        Phase(start=THIRD, end=TWO_THIRDS, load=burst),
        Phase(start=TWO_THIRDS, end=1.0, load=calm),
    )
    return Stream(work=work, phases=phases)
