"""Burn rates from counters over time windows, including node restarts."""

import json
import math

import pytest
from prometheus_client import CollectorRegistry, Counter, generate_latest
from typer.testing import CliRunner

from baobabwing.brands.catalogue import Brand, Tier
from baobabwing.cli.report import app
from baobabwing.exceptions import BaobabwingError
from baobabwing.reports.burn import (
    ALERT_RULES,
    DAY_S,
    HOUR_S,
    MINUTE_S,
    build_report,
    burn_rate,
)
from baobabwing.reports.burn_samples import (
    ANSWERS,
    PREFILL,
    WASTED,
    Sample,
    Samples,
    Series,
    parse_sample,
    read_folder,
    save,
)
from baobabwing.reports.burn_text import burn_document, burn_text
from baobabwing.reports.html_burn import burn_html
from baobabwing.settings.configuration import Configuration
from baobabwing.settings.documents import dump_configuration

START_S = 1_700_000_000.0
OBJECTIVE = 0.99
PERIOD_S = 30 * DAY_S
CFG = Configuration(
    version=1,
    tiers=(
        Tier(
            name="chat",
            rank=0,
            first_token_ms=500,
            between_tokens_ms=55,
            deadline_ms=5_000,
            objective=OBJECTIVE,
        ),
    ),
    brands=(Brand(name="tijera", prefill_cost_per_million=2.0),),
)


def _series(outcome):
    return Series(metric=ANSWERS, brand="tijera", tier="chat", detail=outcome)


def _sample(at_s, good, shed=0.0, node="node-1", **other_outcomes):
    values = {_series("whole_in_time"): good, _series("shed"): shed}
    values |= {_series(outcome): count for outcome, count in other_outcomes.items()}
    return Sample(node=node, at_s=START_S + at_s, values=values)


def _report(*samples):
    return build_report(Samples(samples=samples), CFG, period_s=PERIOD_S)


def _minutes(count, bad_share):
    """Yield one sample per minute, with 1000 answers per minute.

    :param bad_share: returns the share of bad answers for the number of a minute.
    """
    good = bad = 0.0
    for minute in range(count + 1):
        yield _sample(minute * MINUTE_S, good, bad)
        share = bad_share(minute)
        good += 1_000 * (1 - share)
        bad += 1_000 * share


def _firing(report):
    return [alert.rule.factor for alert in report.tiers[0].alerts if alert.firing]


@pytest.mark.parametrize(
    ("bad", "total", "objective", "burn"),
    [
        (0, 100, 0.99, 0.0),
        (1, 100, 0.99, 1.0),
        (0, 0, 0.99, None),
        (1, 100, 1.0, math.inf),
        (0, 100, 1.0, 0.0),
    ],
)
def test_burn_rate(bad, total, objective, burn):
    result = burn_rate(bad=bad, total=total, objective=objective)
    assert result == (burn if burn is None else pytest.approx(burn))


def test_alert_rules_match_the_workbook():
    rules = [(rule.factor, rule.long_s, rule.short_s) for rule in ALERT_RULES]
    assert rules == [
        (14.4, HOUR_S, 5 * MINUTE_S),
        (6.0, 6 * HOUR_S, 30 * MINUTE_S),
        (3.0, DAY_S, 2 * HOUR_S),
        (1.0, 3 * DAY_S, 6 * HOUR_S),
    ]


def test_node_restart_does_not_refill_the_budget():
    """A restart of a node must not refill a spent error budget.

    A node sheds 50 requests and restarts, so its counters start again at zero and
    the difference between its samples would be negative.
    """
    report = _report(
        _sample(0, 0),
        _sample(60, 950, 50),
        _sample(120, 100, 10),
        _sample(180, 200, 10),
    )
    tier = report.tiers[0]
    assert tier.total == 950 + 50 + 200 + 10
    assert [(cause.outcome, cause.count) for cause in tier.causes] == [("shed", 60)]


def test_counts_of_all_nodes_are_added():
    report = _report(
        _sample(0, 0),
        _sample(60, 100, 1),
        _sample(0, 0, node="node-2"),
        _sample(60, 99, node="node-2"),
    )
    tier = report.tiers[0]
    assert tier.total == 200
    assert tier.budget_left == pytest.approx(1 - (1 / 200) / 0.01)


def test_outcomes_caused_by_the_caller_are_not_counted():
    report = _report(_sample(0, 0), _sample(60, 100, 0, cancelled=50, refused=50))
    assert report.tiers[0].total == 100
    assert report.tiers[0].budget_left == pytest.approx(1.0)


def test_one_sample_counts_since_the_start_and_raises_no_alert():
    report = _report(_sample(0, 50, 50))
    assert report.tiers[0].total == 100
    assert report.tiers[0].budget_left < 0
    assert _firing(report) == []
    assert "since the nodes' starts" in burn_text(report)


def test_steady_burn_in_both_windows_pages():
    assert _firing(_report(*_minutes(70, lambda minute: 0.2)))[:1] == [14.4]


def test_page_stops_after_the_disturbance_ends():
    """An alert must not keep firing for an hour after its cause is gone.

    All answers were bad for 15 minutes and good in the ten minutes since: the burn
    rate of the long window still exceeds the factor, that of the short one does not.
    """
    samples = list(_minutes(70, lambda minute: 1.0 if 45 <= minute < 60 else 0.0))
    report = _report(*samples)
    burns = {window.window_s: window.burn for window in report.tiers[0].windows}
    assert burns[HOUR_S] > 14.4
    assert burns[5 * MINUTE_S] == 0.0
    assert 14.4 not in _firing(report)


def test_cost_of_wasted_prefill():
    series = {
        Series(metric=PREFILL, brand="tijera"): 4_000_000.0,
        Series(metric=WASTED, brand="tijera", detail="dropped"): 300_000.0,
        Series(metric=WASTED, brand="tijera", detail="recomputed"): 200_000.0,
    }
    sample = Sample(node="node-1", at_s=START_S, values=series)
    (brand,) = _report(sample).brands
    assert (brand.tokens, brand.wasted) == (4_000_000.0, 500_000.0)
    assert brand.cost == pytest.approx(1.0)
    assert [cause.outcome for cause in brand.reasons] == ["dropped", "recomputed"]


def test_parses_the_exposition_of_prometheus_client():
    registry = CollectorRegistry()
    answers = Counter(ANSWERS, "-", ("brand", "tier", "outcome"), registry=registry)
    answers.labels("tijera", "chat", "late").inc(3)
    Counter("baobabwing_other_total", "-", registry=registry).inc()
    sample = parse_sample("node-1", START_S, generate_latest(registry).decode())
    assert sample.values == {_series("late"): 3.0}
    with pytest.raises(BaobabwingError, match="not a valid text exposition"):
        parse_sample("node-1", START_S, "{ nonsense")


def test_saved_scrapes_are_read_back(tmp_path):
    text = f'{ANSWERS}{{brand="tijera",tier="chat",outcome="late"}} 3.0\n'
    save(tmp_path, "127.0.0.1:8001", START_S, text)
    (sample,) = read_folder(tmp_path)
    assert (sample.node, sample.at_s) == ("127.0.0.1:8001", START_S)
    assert sample.values == {_series("late"): 3.0}
    (tmp_path / "other.prom").write_text(text)
    with pytest.raises(BaobabwingError, match="NODE@SECONDS"):
        read_folder(tmp_path)


def test_json_and_html_with_infinite_burn_and_markup_in_names():
    """The burn rate is infinite if the objective is 1 and all answers are bad."""
    tier = Tier(
        name="<b>",
        rank=0,
        first_token_ms=1,
        between_tokens_ms=1,
        deadline_ms=1,
        objective=1.0,
    )
    cfg = Configuration(version=1, tiers=(tier,), brands=(Brand(name="tijera"),))
    key = Series(metric=ANSWERS, brand="tijera", tier="<b>", detail="shed")
    samples = Samples(
        samples=[
            Sample(node="node-1", at_s=START_S + at_s, values={key: at_s})
            for at_s in (0.0, 60.0)
        ]
    )
    report = build_report(samples, cfg, period_s=PERIOD_S)
    document = json.loads(json.dumps(burn_document(report), allow_nan=False))
    assert document["tiers"][0]["budget_left"] == "-inf"
    page = burn_html(report)
    assert "<b>" not in page
    assert "http" not in page


def test_page_shows_a_plot_for_each_tier_with_answers():
    page = burn_html(_report(*_minutes(20, lambda minute: 0.02)))
    assert page.count("<svg") == 1
    assert "page 14.4" not in page.split("</svg>")[0]
    assert "The Site Reliability Workbook" in page


def test_command_writes_text_json_and_html(tmp_path):
    configuration = tmp_path / "configuration.json"
    configuration.write_text(json.dumps(dump_configuration(CFG)))
    for at_s, count in ((0, 0), (60, 100)):
        labels = '{brand="tijera",tier="chat",outcome="whole_in_time"}'
        save(
            tmp_path / "scrapes",
            "node-1",
            START_S + at_s,
            f"{ANSWERS}{labels} {count}\n",
        )
    outputs = tmp_path / "burn.json", tmp_path / "burn.html"
    arguments = ["burn", "--samples", str(tmp_path / "scrapes")]
    arguments += ["--configuration", str(configuration)]
    arguments += ["--json", str(outputs[0]), "--html", str(outputs[1])]
    result = CliRunner().invoke(app, arguments)
    assert result.exit_code == 0, result.output
    assert "no alert" in result.output
    assert json.loads(outputs[0].read_text())["tiers"][0]["total"] == 100
    assert outputs[1].read_text().startswith("<!doctype html>")


def test_command_without_samples_fails(tmp_path):
    configuration = tmp_path / "configuration.json"
    configuration.write_text(json.dumps(dump_configuration(CFG)))
    result = CliRunner().invoke(app, ["burn", "--configuration", str(configuration)])
    assert result.exit_code == 1
    assert "no samples" in result.output
