"""Tests of the HTTP connection pool: limits, reuse, and targets that are down or silent."""

from __future__ import annotations

from types import SimpleNamespace

from bramleycrank.connections.http_pool import (
    CONNECT_TIMEOUT_S,
    LINGER_S,
    TARGET_SILENCE_S,
    CancelOutcome,
    HttpPool,
    PooledSubRequest,
)


class FakeConnection:
    """A connection that tests can open, respond on and close."""

    def __init__(self, fixture) -> None:
        self.fixture = fixture
        self.connected = self.busy = self.closed = False
        self.idle_until = None
        self.sent = []

    def send(self, data, *, head=False):
        self.sent.append(data)
        self.busy = True

    def open(self):
        self.connected = True
        self.fixture.pool.on_connected(self)

    def answer(self, response="response"):
        self.busy = False
        self.fixture.pool.on_response(self, response)

    def close(self):
        if not self.closed:
            self.closed, self.connected = True, False
            self.fixture.pool.on_closed(self)


class PoolFixture:
    """A pool with one target, and the events of its listener."""

    def __init__(self, share=2):
        self.now = 100.0
        self.conns, self.room_reports, self.down, self.events = [], [], [], []
        self.pool = HttpPool(
            self.connect,
            lambda limit: share,
            self.room_reports.append,
            lambda target, down: self.down.append(down),
            lambda: self.now,
            SimpleNamespace(random=lambda: 0.5),  # no jitter
        )
        self.pool.update("t", "10.0.0.1", 80, 8)

    def connect(self, host, port, pool):
        self.conns.append(FakeConnection(self))
        return self.conns[-1]

    def refuse(self, conn):
        conn.closed = True
        self.pool.on_closed(conn, refused=True)

    def send(self, number=1):
        sub = PooledSubRequest(number, "t", lambda: b"data", False, self)
        self.pool.send(sub)
        return sub

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.pool.tick()

    def on_response(self, sub, response):
        self.events.append(("response", sub.sub_id))
        return response != "unexpected"

    def on_lost(self, sub, *, sent, garbled):
        self.events.append(("lost", sub.sub_id, sent))

    def on_late(self, sub, response):
        self.events.append(("late", sub.sub_id))

    def on_cancel_completed(self, sub, outcome):
        self.events.append((outcome, sub.sub_id))


def test_a_connection_carries_one_request_at_a_time_and_is_used_again():
    fixture = PoolFixture()
    fixture.send(1)
    fixture.conns[0].open()
    fixture.conns[0].answer()
    fixture.send(2)
    assert len(fixture.conns) == 1 and len(fixture.conns[0].sent) == 2
    assert fixture.events == [("response", 1)] and fixture.room_reports == ["t"]


def test_the_share_includes_connections_that_are_opening():
    fixture = PoolFixture(share=2)
    fixture.send(1)
    assert fixture.pool.has_capacity("t")
    fixture.send(2)
    assert not fixture.pool.has_capacity("t")


def test_a_connection_past_its_idle_timeout_is_not_used():
    fixture = PoolFixture()
    fixture.send(1)
    fixture.conns[0].open()
    fixture.conns[0].idle_until = fixture.now + 4.0
    fixture.conns[0].answer()
    fixture.now += 5.0
    fixture.send(2)
    assert len(fixture.conns) == 2 and fixture.conns[0].closed


def test_an_unexpected_response_closes_its_connection():
    fixture = PoolFixture()
    fixture.send(1)
    fixture.conns[0].open()
    fixture.conns[0].answer("unexpected")
    assert fixture.conns[0].closed


def test_a_target_that_refuses_connections_is_down_until_one_opens():
    fixture = PoolFixture()
    fixture.send(1)
    fixture.conns[0].close()
    assert fixture.events == [("lost", 1, False)] and fixture.down == [True]
    assert not fixture.pool.has_capacity("t")
    fixture.run(0.5)
    fixture.conns[1].open()
    assert fixture.down == [True, False] and fixture.pool.has_capacity("t")


def test_open_connections_stay_in_use_while_new_ones_are_refused():
    """Guards against a refused connect that closes the connections that still work."""
    fixture = PoolFixture(share=3)
    for number in (1, 2):
        fixture.send(number)
        fixture.conns[-1].open()
    fixture.send(3)
    fixture.refuse(fixture.conns[2])
    assert fixture.events == [("lost", 3, False)] and fixture.down == []
    fixture.conns[0].answer()
    assert fixture.pool.has_capacity("t"), "on the idle connection"
    fixture.send(4)
    assert fixture.conns[0].busy and not fixture.pool.has_capacity("t")
    fixture.conns[0].answer()
    fixture.conns[1].answer()
    fixture.run(0.4)
    assert len(fixture.conns) == 4, "one attempt after the back-off"
    fixture.refuse(fixture.conns[3])
    assert fixture.down == []
    for conn in fixture.conns[:2]:
        conn.close()
    assert fixture.down == [True], "the last connection is gone"


def test_silent_connections_do_not_keep_a_target_that_refuses_new_ones():
    """Guards against requests that wait for a target that has restarted without a word."""
    fixture = PoolFixture()
    fixture.send(1)
    fixture.conns[0].open()
    fixture.run(TARGET_SILENCE_S + 0.1)
    fixture.refuse(fixture.conns[1])
    assert fixture.down == [True] and fixture.events == [("lost", 1, True)]
    assert fixture.pool.has_ended("t")


def test_opening_a_connection_times_out():
    fixture = PoolFixture()
    fixture.send(1)
    fixture.run(CONNECT_TIMEOUT_S + 0.1)
    assert fixture.events == [("lost", 1, False)] and fixture.down == [True]


def test_requests_in_flight_are_lost_when_a_silent_target_accepts_no_connection():
    """A failure domain becomes unreachable with requests in flight; its connections stay open."""
    fixture = PoolFixture()
    fixture.send(1)
    fixture.conns[0].open()
    fixture.run(TARGET_SILENCE_S + CONNECT_TIMEOUT_S + 0.2)
    assert fixture.events == [("lost", 1, True)] and fixture.down == [True]
    assert not fixture.pool.has_ended("t"), "it may only be cut off"


def test_a_slow_target_that_accepts_connections_keeps_its_requests():
    fixture = PoolFixture()
    fixture.send(1)
    fixture.conns[0].open()
    fixture.run(TARGET_SILENCE_S + 0.1)
    fixture.conns[1].open()
    fixture.run(0.8)
    assert fixture.events == [] and fixture.down == [] and len(fixture.conns) == 2


def test_a_superseded_request_may_finish_and_then_frees_its_connection():
    fixture = PoolFixture()
    sub = fixture.send(1)
    fixture.conns[0].open()
    fixture.pool.cancel(sub, superseded=True)
    fixture.conns[0].answer()
    assert (
        fixture.events == [("late", 1), (CancelOutcome.ANSWERED, 1)] and not fixture.conns[0].closed
    )


def test_a_superseded_request_without_an_answer_ends_with_its_connection():
    fixture = PoolFixture()
    sub = fixture.send(1)
    fixture.conns[0].open()
    fixture.pool.cancel(sub, superseded=True)
    fixture.run(0.3)
    fixture.conns[1].open()  # the target is reachable
    fixture.run(LINGER_S)
    assert (CancelOutcome.SILENT, 1) in fixture.events and fixture.conns[0].closed


def test_a_cancelled_request_stops_the_target_at_once():
    fixture = PoolFixture()
    sub = fixture.send(1)
    fixture.conns[0].open()
    fixture.pool.cancel(sub, superseded=False)
    assert fixture.conns[0].closed and fixture.events == [(CancelOutcome.CANCELLED, 1)]


def test_a_removed_target_finishes_its_requests_and_gets_no_more():
    fixture = PoolFixture()
    fixture.send(1)
    fixture.conns[0].open()
    fixture.pool.remove("t")
    assert not fixture.pool.has_capacity("t")
    fixture.conns[0].answer()
    assert fixture.events == [("response", 1)] and fixture.conns[0].closed


def test_a_target_whose_last_connection_ends_is_connected_at_once_but_not_again_and_again():
    """Guards against a storm of connections to a target that resets each of them."""
    fixture = PoolFixture()
    fixture.send()
    fixture.conns[0].open()
    fixture.conns[0].answer()
    fixture.conns[0].close()
    assert len(fixture.conns) == 2, "the target may have ended"
    for _ in range(20):
        fixture.conns[-1].open()
        fixture.conns[-1].close()
    assert len(fixture.conns) == 2
    fixture.run(1.1)
    fixture.send(2)
    fixture.conns[-1].open()
    fixture.pool.on_request_failed(fixture.conns[-1], garbled=False)
    fixture.conns[-1].close()
    assert len(fixture.conns) == 4 and ("lost", 2, True) in fixture.events
    fixture.conns[-1].close()
    assert fixture.down == [True]


def test_a_pause_of_the_own_process_does_not_count_for_connections_being_opened():
    """Guards against a target that is given up because this process did not run for a moment."""
    fixture = PoolFixture()
    fixture.send()
    fixture.now += 3 * CONNECT_TIMEOUT_S
    fixture.pool.tick(3 * CONNECT_TIMEOUT_S)
    assert fixture.down == [] and fixture.events == []
    fixture.conns[0].open()
    assert fixture.conns[0].sent == [b"data"]
    fixture.send(2)
    fixture.run(CONNECT_TIMEOUT_S + 0.1)
    assert fixture.conns[1].closed, "a silence of the other side counts"
