"""The checks of the soak on customers find each violated guarantee and accept sound evidence."""

from __future__ import annotations

import pytest

from soak.callers import Outcome
from soak.checks import Evidence, violations
from soak.customers import (
    BURST,
    CHANGING,
    CONFIG_APPLY_S,
    FIRST_SEED,
    FLOOD,
    FLOODING,
    LOWERED_RATE_PER_S,
    MIN_COMPARED,
    QUOTA_WINDOW_S,
    STEADY,
    UNKNOWN_KEY,
    Table,
    has_customers,
)
from soak.customers import violations as customer_violations
from soak.faults import CUT, Event
from soak.targets import TargetObservations

OLD, NEW, FLOOD_KEY = "old", "new", f"{FLOODING}-key"
TAKEN_BACK_AT = 10.0


def tables() -> list[Table]:
    """Return three versions: a key is added, then the old one is taken back and a rate lowered."""
    names = {FLOOD_KEY: FLOODING, **{f"{name}-key": name for name in STEADY}}
    rates = dict.fromkeys((*STEADY, CHANGING), 200.0) | {FLOODING: 8.0}
    return [
        Table(0.0, {**names, OLD: CHANGING}, rates, 0.5),
        Table(8.0, {**names, OLD: CHANGING, NEW: CHANGING}, rates, 8.5),
        Table(
            TAKEN_BACK_AT - 0.5,
            {**names, NEW: CHANGING},
            {**rates, FLOODING: LOWERED_RATE_PER_S},
            TAKEN_BACK_AT,
        ),
    ]


class Played:
    """Evidence of a run without violations, to which requests and faults are added."""

    def __init__(self) -> None:
        self.evidence = Evidence([], TargetObservations(), [], {4}, tables())

    def add(
        self,
        key: str,
        sent: float,
        name: str | None = None,
        status: int = -1,
        *,
        has_key: bool = False,
    ) -> None:
        """Add a request, which a target ran under a name unless it is None."""
        request_id = f"r{len(self.evidence.outcomes)}"
        path = "/one/q"
        fields = ("edge-x", sent, sent + 0.1, status, {}, b"", key)
        self.evidence.outcomes.append(Outcome(request_id, path, *fields))
        if name is not None:
            self.evidence.observations.runs[request_id].append("single-x")
            self.evidence.observations.customers[request_id].append((sent, name, has_key))

    def unequal_shares(self) -> list[str]:
        """Return the violations of shares; the answers have no content to check."""
        evidence = self.evidence
        found = customer_violations(
            evidence.tables, evidence.outcomes, evidence.observations, evidence.events
        )
        return [text for text in found if "of the requests served" in text]

    def add_event(self, what: str, where: str, since: float, until: float) -> None:
        self.evidence.events.append(Event(what, where, since, until))


LATE = TAKEN_BACK_AT + CONFIG_APPLY_S + 0.1


@pytest.mark.parametrize(
    ("key", "sent", "name", "status", "found"),
    [
        (OLD, 1.0, CHANGING, -1, ""),
        (OLD, LATE - 0.2, CHANGING, -1, ""),
        (OLD, LATE - 0.2, None, 401, ""),
        (OLD, LATE, None, 401, ""),
        (OLD, LATE, CHANGING, -1, "4.1 s after its key old was taken back"),
        (NEW, 8.5 + CONFIG_APPLY_S - 0.1, None, 401, ""),
        (NEW, 8.5 + CONFIG_APPLY_S + 0.1, None, 401, "though its key is held"),
        (NEW, LATE, CHANGING, -1, ""),
        (NEW, LATE, STEADY[0], -1, "run under 'steady-1'"),
        (NEW, LATE, "", -1, "run under ''"),
        (UNKNOWN_KEY, 1.0, CHANGING, -1, "which no table held"),
        ("", 1.0, "", -1, "which no table held"),
        (UNKNOWN_KEY, 1.0, None, 401, ""),
    ],
)
def test_requests_run_with_a_key_in_force_and_under_its_name(key, sent, name, status, found):
    played = Played()
    played.add(key, sent, name, status)
    assert [found in text for text in violations(played.evidence)] == ([True] if found else [])


def test_a_target_that_received_a_key_is_found():
    played = Played()
    played.add(OLD, 1.0, CHANGING, has_key=True)
    [found] = violations(played.evidence)
    assert "received the key" in found


@pytest.mark.parametrize(("what", "excused"), [("freeze", True), (CUT, False)])
def test_only_a_vm_that_may_have_missed_the_table_may_serve_a_key_that_was_taken_back(
    what, excused
):
    played = Played()
    played.add(OLD, LATE, CHANGING)
    played.add_event(what, "edge-x", LATE - 2.0, LATE - 1.0)
    assert (violations(played.evidence) == []) == excused


@pytest.mark.parametrize(
    ("begin", "frozen_until", "rate"),
    [(1.0, 0.0, 8.0), (18.0, 0.0, 8.0), (19.5, 0.0, 3.0), (19.5, 12.0, 8.0), (21.5, 12.0, 3.0)],
)
def test_the_sum_over_all_vms_is_bounded_by_the_rate_in_force(begin, frozen_until, rate):
    """A lowered rate binds a window after all VMs have been in touch for long enough."""
    allowed = int((rate * QUOTA_WINDOW_S + BURST) * 1.1 + 20.0)
    played = Played()
    if frozen_until:
        played.add_event("freeze", "edge-z", 9.0, frozen_until)
    for number in range(allowed):
        played.add(FLOOD_KEY, begin + 0.5 * number / allowed, FLOODING)
    assert violations(played.evidence) == []
    played.add(FLOOD_KEY, begin + 0.95 * QUOTA_WINDOW_S, FLOODING)
    [found] = violations(played.evidence)
    assert found.startswith(f"{FLOODING}: {allowed + 1} requests run")


def test_a_customer_that_is_not_served_like_the_others_is_found():
    played = Played()
    for number in range(MIN_COMPARED):
        for name in STEADY:
            played.add(f"{name}-key", 1.0, name, 503 if name == STEADY[0] and number % 8 else 200)
    [found] = played.unequal_shares()
    assert found.startswith(STEADY[0])


def test_customers_that_are_not_served_beside_a_flood_are_found():
    played = Played()
    played.add_event(FLOOD, FLOODING, 5.0, 8.0)
    for number in range(MIN_COMPARED):
        played.add(f"{STEADY[number % 2]}-key", 1.0, STEADY[number % 2], 200)
        played.add(f"{STEADY[number % 2]}-key", 6.0, None, 503)
    [found] = played.unequal_shares()
    assert found.startswith("steady beside a flood")


def test_seeds_of_older_runs_have_no_customers():
    """Guards against listed seeds that no longer play what they failed with."""
    assert not any(map(has_customers, range(FIRST_SEED)))
    assert sum(map(has_customers, range(FIRST_SEED, FIRST_SEED + 40))) == 30
