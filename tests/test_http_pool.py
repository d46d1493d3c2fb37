"""Connections to targets: limits, reuse, targets that are down and targets that are silent."""

from __future__ import annotations

from bramleycrank.connections.http_pool import (
    CONNECT_TIMEOUT_S,
    LINGER_S,
    SILENCE_S,
    Ending,
    HttpPool,
    PoolSub,
)


class FakeConnection:
    """A connection that tests open, answer and break."""

    def __init__(self, world) -> None:
        self.world = world
        self.connected = self.busy = self.closed = False
        self.idle_until = None
        self.sent = []

    def send(self, data, *, head=False):
        self.sent.append(data)
        self.busy = True

    def open(self):
        self.connected = True
        self.world.pool.on_connected(self)

    def answer(self, response="response"):
        self.busy = False
        self.world.pool.on_response(self, response)

    def close(self):
        if not self.closed:
            self.closed, self.connected = True, False
            self.world.pool.on_closed(self)


class World:
    """A pool with one target, and what its listener heard."""

    def __init__(self, share=2):
        self.now = 100.0
        self.conns, self.room, self.down, self.heard = [], [], [], []
        self.pool = HttpPool(
            self.connect,
            lambda limit: share,
            self.room.append,
            lambda target, down: self.down.append(down),
            lambda: self.now,
        )
        self.pool.update("t", "10.0.0.1", 80, 8)

    def connect(self, host, port, pool):
        self.conns.append(FakeConnection(self))
        return self.conns[-1]

    def send(self, number=1):
        sub = PoolSub(number, "t", lambda: b"data", False, self)
        self.pool.send(sub)
        return sub

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.pool.tick()

    def on_response(self, sub, response):
        self.heard.append(("response", sub.sub_id))
        return response != "stray"

    def on_lost(self, sub, *, sent, garbled):
        self.heard.append(("lost", sub.sub_id, sent))

    def on_late(self, sub, response):
        self.heard.append(("late", sub.sub_id))

    def on_given_up(self, sub, ending):
        self.heard.append((ending, sub.sub_id))


def test_a_connection_carries_one_request_at_a_time_and_is_used_again():
    world = World()
    world.send(1)
    world.conns[0].open()
    world.conns[0].answer()
    world.send(2)
    assert len(world.conns) == 1 and len(world.conns[0].sent) == 2
    assert world.heard == [("response", 1)] and world.room == ["t"]


def test_the_share_bounds_connections_that_are_opening_too():
    world = World(share=2)
    world.send(1)
    assert world.pool.has_room("t")
    world.send(2)
    assert not world.pool.has_room("t")


def test_a_connection_past_its_stated_idle_time_is_not_used():
    world = World()
    world.send(1)
    world.conns[0].open()
    world.conns[0].idle_until = world.now + 4.0
    world.conns[0].answer()
    world.now += 5.0
    world.send(2)
    assert len(world.conns) == 2 and world.conns[0].closed


def test_a_stray_response_ends_its_connection():
    world = World()
    world.send(1)
    world.conns[0].open()
    world.conns[0].answer("stray")
    assert world.conns[0].closed


def test_a_target_that_refuses_connections_is_down_until_one_opens():
    world = World()
    world.send(1)
    world.conns[0].close()
    assert world.heard == [("lost", 1, False)] and world.down == [True]
    assert not world.pool.has_room("t")
    world.run(0.5)
    world.conns[1].open()
    assert world.down == [True, False] and world.pool.has_room("t")


def test_connections_that_do_not_open_are_given_up_in_time():
    world = World()
    world.send(1)
    world.run(CONNECT_TIMEOUT_S + 0.1)
    assert world.heard == [("lost", 1, False)] and world.down == [True]


def test_what_is_in_flight_is_lost_when_a_silent_target_takes_no_connection():
    """Load pattern: a failure domain is cut off without a sign, with requests in flight."""
    world = World()
    world.send(1)
    world.conns[0].open()
    world.run(SILENCE_S + CONNECT_TIMEOUT_S + 0.2)
    assert world.heard == [("lost", 1, True)] and world.down == [True]


def test_a_slow_target_that_takes_connections_keeps_its_requests():
    world = World()
    world.send(1)
    world.conns[0].open()
    world.run(SILENCE_S + 0.1)
    world.conns[1].open()
    world.run(0.8)
    assert world.heard == [] and world.down == [] and len(world.conns) == 2


def test_an_overtaken_request_may_finish_and_then_frees_its_connection():
    world = World()
    sub = world.send(1)
    world.conns[0].open()
    world.pool.cancel(sub, superseded=True)
    world.conns[0].answer()
    assert world.heard == [("late", 1), (Ending.ANSWERED, 1)] and not world.conns[0].closed


def test_an_overtaken_request_without_an_answer_ends_with_its_connection():
    world = World()
    sub = world.send(1)
    world.conns[0].open()
    world.pool.cancel(sub, superseded=True)
    world.run(0.3)
    world.conns[1].open()  # the target is reachable
    world.run(LINGER_S)
    assert (Ending.SILENT, 1) in world.heard and world.conns[0].closed


def test_a_cancelled_request_stops_the_target_at_once():
    world = World()
    sub = world.send(1)
    world.conns[0].open()
    world.pool.cancel(sub, superseded=False)
    assert world.conns[0].closed and world.heard == [(Ending.CANCELLED, 1)]


def test_a_removed_target_finishes_its_requests_and_gets_no_more():
    world = World()
    world.send(1)
    world.conns[0].open()
    world.pool.remove("t")
    assert not world.pool.has_room("t")
    world.conns[0].answer()
    assert world.heard == [("response", 1)] and world.conns[0].closed
