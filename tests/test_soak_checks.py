"""The checks of the soak find each violated guarantee and accept sound evidence."""

from __future__ import annotations

import heapq

import pytest

from soak.callers import Outcome
from soak.checks import DRAIN_S, SHARDS, SINGLE, Evidence, violations
from soak.faults import CUT, Event
from soak.report import build, classify_outcome
from soak.targets import HOLD_S, RECORD_BYTES, TargetObservations, records

TOP_K = 4


def greatest_records(request_id: str, services) -> bytes:
    parts = b"".join(records(service, request_id) for service in services)
    all_records = [parts[i : i + RECORD_BYTES] for i in range(0, len(parts), RECORD_BYTES)]
    return b"".join(heapq.nlargest(TOP_K, all_records))


def outcome(request_id="r1", path="/all/q", status=200, **fields) -> Outcome:
    defaults = {"entry": "edge-x", "sent": 1.0, "ended": 1.1, "headers": {}, "body": b""}
    return Outcome(request_id, path, status=status, **{**defaults, **fields})


def sound_evidence() -> Evidence:
    """Return evidence of one gathered request, one refusal and one planned stop."""
    observations = TargetObservations()
    for service in SHARDS:
        observations.receipts[f"{service}.1"] = (service, "r1")
        observations.runs["r1"].append(f"{service}-x")
        observations.service_requests[service].append((1.0, "r1"))
    headers = {"x-part-stamps": ", ".join(f"{s}.1" for s in SHARDS), "x-missing-parts": "0"}
    merged = outcome(headers=headers, body=greatest_records("r1", SHARDS))
    refused = outcome("r2", "/order/q", 503)
    events = [Event("stop", "edge-x", 5.0, 8.0)]
    return Evidence([merged, refused], observations, events, {TOP_K})


def test_sound_evidence_has_no_violations():
    assert violations(sound_evidence()) == []


def wrong_body(evidence):
    evidence.outcomes[0].body = greatest_records("r2", SHARDS)


def receipt_of_another_request(evidence):
    evidence.observations.receipts["s0.1"] = ("s0", "r9")


def duplicate_part(evidence):
    evidence.outcomes[0].headers["x-part-stamps"] = "s0.1, s0.1, s1.1, s2.1"


def missing_part_not_counted(evidence):
    evidence.outcomes[0].headers["x-part-stamps"] = "s0.1, s1.1, s2.1"
    evidence.outcomes[0].body = greatest_records("r1", SHARDS[:3])


def too_few_parts(evidence):
    evidence.outcomes[0].headers.update({"x-part-stamps": "s0.1, s1.1", "x-missing-parts": "2"})
    evidence.outcomes[0].body = greatest_records("r1", SHARDS[:2])


def cut_vm_that_refuses(evidence):
    evidence.events.append(Event(CUT, "edge-y", 10.0, 18.0))
    evidence.outcomes += [
        outcome(f"{entry}{n}", "/one/q", status, entry=entry, sent=15.0, ended=15.1)
        for entry, status in (("edge-y", 503), ("edge-z", 200))
        for n in range(20)
    ]
    for n in range(20):
        body, receipt = records(SINGLE, f"edge-z{n}"), f"{SINGLE}.{n}"
        evidence.observations.receipts[receipt] = (SINGLE, f"edge-z{n}")
        evidence.outcomes[-20 + n].body = body
        evidence.outcomes[-20 + n].headers = {"x-server-stamp": receipt}


def refused_but_run(evidence):
    evidence.observations.runs["r2"].append(f"{SINGLE}-x")


def run_twice(evidence):
    evidence.outcomes[1].status = 200
    evidence.outcomes[1].headers["x-server-stamp"] = "single.1"
    evidence.outcomes[1].body = records(SINGLE, "r2")
    evidence.observations.receipts["single.1"] = (SINGLE, "r2")
    evidence.observations.runs["r2"] += [f"{SINGLE}-x", f"{SINGLE}-y"]


def too_many_attempts(evidence):
    evidence.observations.runs["r1"] += ["s0-y", "s0-z"]


def interrupted_by_a_stop(evidence):
    evidence.outcomes.append(outcome("r3", "/one/q", -1, sent=5.0, ended=6.0))


def too_many_extra_sub_requests(evidence):
    evidence.observations.service_requests["s0"] += [(1.0, "r1")] * 60


def asked_while_held(evidence):
    evidence.observations.holds["s0-x"] = [(1.0, "r1")]
    evidence.observations.target_requests["s0-x"] = [(1.0, "r1"), *[(1.0 + HOLD_S - 0.1, "r1")] * 3]


def asked_while_leaving(evidence):
    evidence.observations.leaves["s0-x"] = [(1.0, "r1")]
    evidence.observations.target_requests["s0-x"] = [(1.0, "r1"), (1.1 + DRAIN_S, "r1")]
    evidence.observations.restarts["s0-x"] = [1.2 + DRAIN_S]


def asked_after_an_acknowledged_leave(evidence):
    evidence.observations.acknowledged_leaves["s0-x"] = [1.0]
    evidence.observations.target_requests["s0-x"] = [(1.1 + DRAIN_S, "r1")]
    evidence.observations.restarts["s0-x"] = [1.2 + DRAIN_S]


@pytest.mark.parametrize(
    "introduce_violation",
    [asked_while_held, asked_while_leaving, asked_after_an_acknowledged_leave],
)
def test_a_vm_that_was_frozen_in_the_period_is_not_reported(introduce_violation):
    evidence = sound_evidence()
    introduce_violation(evidence)
    evidence.events = [Event("freeze", "edge-x", 1.5, 2.5)]
    assert violations(evidence) == []


def test_requests_after_a_hold_or_to_a_new_incarnation_are_allowed():
    evidence = sound_evidence()
    evidence.events = []
    observations = evidence.observations
    observations.holds["s0-x"] = [(1.0, "r1")]
    observations.target_requests["s0-x"] = [(1.4, "r1"), *[(1.1 + HOLD_S, "r1")] * 9]
    observations.leaves["s1-x"] = [(1.0, "r1")]
    observations.restarts["s1-x"] = [4.5]
    observations.target_requests["s1-x"] = [(1.0 + DRAIN_S, "r1"), (4.6, "r1")]
    assert violations(evidence) == []


@pytest.mark.parametrize(
    "introduce_violation",
    [
        asked_while_held,
        asked_while_leaving,
        asked_after_an_acknowledged_leave,
        wrong_body,
        receipt_of_another_request,
        duplicate_part,
        missing_part_not_counted,
        too_few_parts,
        cut_vm_that_refuses,
        refused_but_run,
        run_twice,
        too_many_attempts,
        interrupted_by_a_stop,
        too_many_extra_sub_requests,
    ],
)
def test_each_violation_is_found(introduce_violation):
    evidence = sound_evidence()
    introduce_violation(evidence)
    assert len(violations(evidence)) == 1


@pytest.mark.parametrize(("sent", "ended"), [(1.0, 2.0), (5.9, 6.0)])
def test_a_closed_connection_outside_a_stop_or_before_the_request_was_read_is_allowed(sent, ended):
    evidence = sound_evidence()
    evidence.outcomes.append(outcome("r3", "/one/q", -1, sent=sent, ended=ended))
    assert violations(evidence) == []


def test_the_report_counts_outcomes_by_second_and_lists_the_faults():
    evidence = sound_evidence()
    evidence.outcomes.append(outcome("r4", status=200, sent=2.5, ended=3.5))
    report = build(7, 1.0, evidence.outcomes, evidence.events, [])
    assert report["requests"] == {"served": 1, "refused": 1, "late": 1}
    assert report["by_second"] == {"0": {"served": 1, "refused": 1}, "1": {"late": 1}}
    assert report["faults"] == [{"what": "stop", "where": "edge-x", "since": 4.0, "until": 7.0}]
    assert classify_outcome(outcome(headers={"x-missing-parts": "1"})) == "partial"


def test_requests_without_an_answer_after_the_timeout_are_found_at_undisturbed_vms():
    evidence = sound_evidence()
    waits = {"sent": 20.0, "ended": 22.5, "entry": "edge-y"}
    late = [outcome(f"l{number}", "/one/q", -2, **waits) for number in range(8)]
    evidence.outcomes += late[:7]
    assert violations(evidence) == []
    evidence.outcomes += late[7:]
    [found] = violations(evidence)
    assert found.startswith("8 of 8 requests have no answer")
    evidence.events.append(Event("freeze", "edge-y", 19.0, 21.0))
    assert violations(evidence) == []
