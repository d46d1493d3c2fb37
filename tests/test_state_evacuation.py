"""Orders to evacuate and to restore a domain: decisions, their commit, and what followers get."""

from __future__ import annotations

import asyncio
import random

import pytest

from bramleycrank.daemon.domain_orders import DomainOrder, DomainOrders
from bramleycrank.exceptions import NoQuorum, NotFound, Refused
from bramleycrank.proto.log_pb2 import Change, Command, DomainConfig, Entry
from bramleycrank.state.config_state import ConfigState
from bramleycrank.state.evacuation import DomainChange, PossibleResend, decide_order
from bramleycrank.state.replicated import ReplicatedState

WINDOW_MS = 6000
START_MS = 1_700_000_000_000


class Log:
    """A replicated state that commits at once, later, or not at all."""

    def __init__(self) -> None:
        self.state = ReplicatedState()
        self.delayed: list[Command] = []
        self.delays = False
        self.confirms = True

    async def confirm(self) -> None:
        if not self.confirms:
            raise NoQuorum("cut off")
        await asyncio.sleep(0)

    def domain(self, name: str) -> DomainConfig:
        return self.state.config.domains.get(name) or DomainConfig(domain=name)

    def commit(self, command: Command):
        return self.state.apply(Entry(index=1, command=command.SerializeToString()))

    async def propose(self, command: Command, timeout_s: float):
        if self.delays:
            self.delayed.append(command)
            raise NoQuorum("no answer in time")
        return self.commit(command)

    @property
    def evacuated(self) -> bool:
        return self.domain("north").evacuated


class Operator:
    """Sends orders at given times and keeps what was acknowledged last."""

    def __init__(self, log: Log, skew_ms: int = 0) -> None:
        self.now_ms = START_MS
        self.log = log
        self.orders = DomainOrders(
            log, log, ["north", "south"], WINDOW_MS / 1000, lambda: (self.now_ms + skew_ms) / 1000
        )

    def send(self, evacuate: bool, *, gone: bool = False, domain: str = "north") -> bool:
        """Send an order; return whether it was acknowledged."""
        order = DomainOrder(domain, evacuate)
        try:
            asyncio.run(self.orders.execute(order, lambda: gone))
        except (Refused, NoQuorum):
            return False
        return True


def test_orders_take_effect_and_resends_are_acknowledged():
    operator = Operator(Log())
    assert operator.send(True) and operator.log.evacuated
    assert operator.send(True) and operator.log.evacuated
    assert operator.send(False) and not operator.log.evacuated
    assert operator.send(False) and not operator.log.evacuated


def test_a_resend_after_the_opposite_order_neither_takes_effect_nor_is_acknowledged():
    """Guards against an evacuation that returns after it was taken back, and the reverse."""
    operator = Operator(Log())
    operator.send(True)
    operator.now_ms += 4000
    operator.send(False)
    operator.now_ms += 1500
    assert not operator.send(True) and not operator.log.evacuated
    operator.now_ms += 1000  # longer than any resend after the first order
    assert operator.send(True) and operator.log.evacuated
    operator.now_ms += 500
    assert not operator.send(False) and operator.log.evacuated


def test_an_order_that_waits_in_a_frozen_vm_is_dropped_once_its_operator_has_left():
    operator = Operator(Log())
    operator.send(True)
    operator.now_ms += 60_000
    operator.send(False)
    operator.now_ms += 60_000
    assert not operator.send(True, gone=True) and not operator.log.evacuated


def test_a_proposal_that_is_committed_late_does_not_replace_a_later_order():
    """Guards against an isolated leader whose proposal is committed after the opposite order."""
    operator = Operator(Log())
    operator.log.delays = True
    assert not operator.send(True)
    operator.log.delays = False
    assert operator.send(False), "acknowledged although the domain was not evacuated"
    for command in operator.log.delayed:
        operator.log.commit(command)
    assert not operator.log.evacuated


def test_an_order_that_another_one_overtakes_is_decided_again():
    """Guards against an acknowledgement of an order that the log has rejected."""
    log = Log()
    operator, other = Operator(log), Operator(log)
    commit_at_once, proposals = log.propose, []

    async def overtaken(command: Command, timeout_s: float):
        proposals.append(command)
        if len(proposals) == 1:
            log.propose = commit_at_once
            await other.orders.execute(DomainOrder("north", False), lambda: False)
        return await commit_at_once(command, timeout_s)

    log.propose = overtaken
    assert operator.send(True) and log.evacuated
    assert log.domain("north").restored_at_ms, "the other order was first"


def test_without_a_quorum_nothing_is_acknowledged():
    operator = Operator(Log())
    operator.log.confirms = False
    assert not operator.send(True) and not operator.log.evacuated


def test_an_unknown_domain_is_not_found():
    with pytest.raises(NotFound):
        Operator(Log()).send(True, domain="nowhere")


@pytest.mark.parametrize("skew_ms", [-2000, 2000])
def test_a_resend_is_recognized_by_a_vm_with_another_clock(skew_ms):
    log = Log()
    first, other = Operator(log), Operator(log, skew_ms)
    first.send(True)
    other.now_ms = first.now_ms = START_MS + 1000
    first.send(False)
    other.now_ms += 500
    assert not other.send(True) and not log.evacuated


def test_the_last_acknowledged_order_holds_over_random_resends_and_late_commits():
    for seed in range(300):
        rng = random.Random(seed)
        operator = Operator(Log())
        wanted, sent_at = None, {True: -(10**9), False: -(10**9)}
        for _ in range(40):
            operator.now_ms += rng.choice([50, 400, 3000, 9000])
            operator.log.delays = rng.random() < 0.2
            kind = rng.random() < 0.5
            resend = wanted is not None and kind != wanted
            resend = resend and operator.now_ms - sent_at[kind] < WINDOW_MS and rng.random() < 0.7
            if not resend and kind != wanted and operator.now_ms - sent_at[kind] < WINDOW_MS:
                continue  # such a new order waits for the end of the window, tested above
            if resend:
                assert not operator.send(kind), seed
            elif operator.send(kind):
                wanted = kind
                sent_at[kind] = operator.now_ms
            elif wanted is None or kind != wanted:
                continue
            while operator.log.delayed and rng.random() < 0.5:
                command = operator.log.delayed.pop(0)
                ordered = command.change.put_domain
                before = operator.log.domain("north").version
                operator.log.commit(command)
                if operator.log.domain("north").version != before:
                    wanted = operator.log.evacuated  # an order without a clear answer
                    sent_at[wanted] = ordered.evacuated_at_ms if wanted else ordered.restored_at_ms
            if wanted is not None:
                assert operator.log.evacuated == wanted, seed


def test_evacuations_survive_an_image_and_reach_followers_by_deltas_and_images():
    log = Log()
    operator = Operator(log)
    operator.send(True)
    operator.send(True, domain="south")
    operator.send(False, domain="south")
    restored = ReplicatedState.from_image(log.state.image())
    assert restored.config.domains == log.state.config.domains
    for deltas, image in [
        (log.state.config.deltas(), None),
        ((), log.state.config.image()),
    ]:
        follower = ConfigState()
        assert follower.advance(deltas, image)
        assert {name: item.evacuated for name, item in follower.domains.items()} == {
            "north": True,
            "south": False,
        }


def test_decisions_refer_to_the_version_that_was_read():
    current = DomainConfig(domain="north", version=9, evacuated=True, evacuated_at_ms=START_MS)
    change = decide_order(current, evacuate=False, now_ms=START_MS + 1, resend_window_ms=WINDOW_MS)
    assert isinstance(change, DomainChange) and change.expected_version == 9
    assert change.config.evacuated_at_ms == START_MS and change.config.restored_at_ms
    current.evacuated = False
    again = decide_order(current, evacuate=True, now_ms=START_MS + 1, resend_window_ms=WINDOW_MS)
    assert isinstance(again, PossibleResend) and 5.9 < again.wait_s <= 6.0


def test_a_domain_change_needs_a_valid_name():
    state = ReplicatedState()
    change = Change(change_id="c", put_domain=DomainConfig(domain="no name"))
    result = state.apply(Entry(index=1, command=Command(change=change).SerializeToString()))
    assert "domain" in result.message and not state.config.domains
