"""Tests of the metrics by customer and of the bound on their number."""

from __future__ import annotations

import random

from http_fakes import ok
from test_entry_controller import run, status
from test_entry_customers import KEY, KeyedVm, ask
from test_entry_operators import refuse

from bramleycrank.customers.counts import OTHERS, CustomerCounts
from bramleycrank.observability.exposition import ExposedMetrics


def label_sums(counts: CustomerCounts, now: float) -> dict[str, int]:
    sums: dict[str, int] = {}
    for (label, _), number in counts.values(now).items():
        sums[label] = sums.get(label, 0) + number
    return sums


def test_a_flood_is_named_among_ten_thousand_customers():
    """Load: 10,000 customers call in turn; then one of the last ones floods and is refused."""
    counts, rng, now, sent, others = CustomerCounts(limit=5), random.Random(1), 0.0, 0, 0
    for step in range(20_000):
        now += 0.001
        counts.count(f"c{rng.randrange(10_000)}", "served", now)
        sent += 1
        if step > 15_000 and step % 4 == 0:
            counts.count("c-flood", "allowance", now)
            sent += 1
        if step % 1000 == 0:
            sums = label_sums(counts, now)
            assert len(sums) <= 6 and sums.get(OTHERS, 0) >= others
            others = sums.get(OTHERS, 0)
    values = counts.values(now)
    assert values["c-flood", "allowance"] > 900
    assert label_sums(counts, now)[OTHERS] > 0.9 * (sent - 1250)


def test_customers_with_similar_rates_keep_their_names():
    """Guards against series that end and begin at each scrape."""
    counts, rng = CustomerCounts(limit=2), random.Random(2)
    names = set()
    for step in range(2000):
        counts.count(rng.choice("abcd"), "served", step * 0.1)
        if step > 300:
            names.add(frozenset(label_sums(counts, step * 0.1)))
    assert len(names) <= 2


def test_customers_without_requests_or_without_a_key_any_more_are_forgotten():
    """Guards against memory for customers that have left the table."""
    counts = CustomerCounts(limit=1)
    for name in ("a", "b", "c", OTHERS):
        counts.count(name, "served", 0.0)
    counts.retain(["b", "c"])
    assert label_sums(counts, 0.0) == {OTHERS: 3}
    counts.count("b", "served", 1.0)
    assert label_sums(counts, 1000.0) == {"b": 1, OTHERS: 3}
    assert set(counts._recent) == {"b"}


def test_metrics_name_customers_and_rules_and_never_a_key():
    """Guards against a key in the metrics, and against requests that count for nobody."""
    metrics = ExposedMetrics("p")

    async def scenario(vm):
        vm.entry._metrics = metrics
        vm.entry.report_customers()
        assert b"customers" not in metrics.render(), "no series without customers that call"
        for key in (KEY, "key-b", "unknown-key"):
            await ask(vm, "/one/x", f"Authorization: Token {key}\r\n")
        vm.fakes["a1"].script = refuse
        assert status(await ask(vm, "/one/x", "Authorization: Token key-b\r\n")) == 503
        vm.entry.report_customers()

    run(scenario, KeyedVm, a1=ok)
    text = metrics.render().decode()
    lines = {line for line in text.splitlines() if line.startswith("p_entry_customers_total")}
    assert lines == {
        'p_entry_customers_total{customer="Acme é",result="served"} 1.0',
        'p_entry_customers_total{customer="Bolt",result="served"} 1.0',
        'p_entry_customers_total{customer="Bolt",result="targets"} 1.0',
    }
    assert "key" not in text
