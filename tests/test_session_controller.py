"""Session controller against real gRPC servers on loopback."""

import asyncio
import time
from collections import Counter
from types import SimpleNamespace

import attrs
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from bramleycrank.connections import ConnectionConfig
from bramleycrank.daemon.session_controller import SessionController
from bramleycrank.daemon.target_link import TargetLink
from bramleycrank.observability.metrics import NullMetrics
from bramleycrank.proto import target_pb2 as pb
from bramleycrank.proto.target_grpc import TargetBase


class FakeTarget(TargetBase):
    """Target whose replies a test can suppress, and whose connections can become silent."""

    def __init__(self):
        self.silent = set()
        self.frozen = asyncio.Event()
        self.frozen.set()
        self.limit = 10
        self.open = 0
        self.peak = 0
        self.received = []
        self.cancelled = []
        self.messages = 0
        self.streams = []
        self.should_reply = lambda request: True

    async def Session(self, stream):  # noqa: N802
        if self.open >= self.limit:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many connections")
        self.open += 1
        self.peak = max(self.peak, self.open)
        self.streams.append(stream)
        try:
            while (message := await stream.recv_message()) is not None:
                await self.frozen.wait()
                self.messages += bool(message.requests)
                if stream not in self.silent:
                    await self.handle(stream, message)
        finally:
            self.open -= 1

    async def handle(self, stream, message):
        self.received += [request.sub_id for request in message.requests]
        self.cancelled += message.cancel_sub_ids
        replies = [reply_to(r) for r in message.requests if self.should_reply(r)]
        if any(request.key == "last" for request in message.requests):
            await stream.send_message(pb.SessionReply(replies=replies))
            raise GRPCError(Status.UNAVAILABLE, "the target stops")
        if replies or message.ping:
            await stream.send_message(pb.SessionReply(replies=replies, pong=message.ping))


def reply_to(request, status=pb.SUB_STATUS_OK):
    return pb.SubReply(sub_id=request.sub_id, status=status, snapshot=request.snapshot)


@attrs.define
class FakeMembership:
    """Registry with one target."""

    record: pb.TargetRecord
    usable: bool = True
    left: list = attrs.field(factory=list)
    callback: object = None

    def vm_count(self, domain=None):
        return 3

    def all_targets(self):
        return [self.record]

    def is_usable(self, target_id):
        return self.usable

    def subscribe_targets(self, callback):
        self.callback = callback

    def mark_leaving(self, target_id, incarnation):
        self.left.append((target_id, incarnation))


class Recorder:
    """Listener that records replies and failures."""

    def __init__(self):
        self.replies = {}
        self.failures = {}

    def on_reply(self, reply):
        assert reply.sub_id not in self.replies and reply.sub_id not in self.failures
        self.replies[reply.sub_id] = reply

    def on_failure(self, sub_id, reason):
        assert sub_id not in self.replies and sub_id not in self.failures
        self.failures[sub_id] = str(reason)


class RecordedMetrics(NullMetrics):
    """Metrics that record the counters."""

    def __init__(self):
        self.total = Counter()

    def incr(self, name, count=1):
        self.total[name] += count


async def until(condition, limit_s=3.0):
    """Wait for a condition and return the time it took in seconds."""
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < limit_s, "the condition did not become true"
        await asyncio.sleep(0.005)
    return time.monotonic() - started


def run(scenario, **options):
    """Run a scenario with one target and a session controller that is connected to it."""

    async def main():
        target = FakeTarget()
        server = Server([target])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        record = pb.TargetRecord(
            target_id="t", incarnation=7, host="127.0.0.1", port=port, connections=20
        )
        membership = FakeMembership(record)
        cfg = ConnectionConfig(join_s=0.0, **options)
        metrics = RecordedMetrics()
        sessions = SessionController("vm-0", cfg, membership, metrics=metrics)
        await sessions.start()
        await until(lambda: sessions.is_connected("t"))
        env = SimpleNamespace(
            target=target, membership=membership, sessions=sessions, listener=Recorder(), down=[]
        )
        env.metrics = metrics
        sessions.subscribe_down(lambda target_id, down: env.down.append(down))
        env.send = lambda **fields: send(env, **fields)
        try:
            await asyncio.wait_for(scenario(env), 15)
        finally:
            target.frozen.set()
            await sessions.stop()
            server.close()
            await server.wait_closed()

    asyncio.run(main())


def send(env, **fields):
    sub_id = env.sessions.next_sub_id()
    request = pb.SubRequest(sub_id=sub_id, timeout_ms=3000, service="s", **fields)
    env.sessions.send("t", request, env.listener)
    return sub_id


def replace_record(env, usable, incarnation):
    """Replace the record of the target."""
    record = pb.TargetRecord()
    record.CopyFrom(env.membership.record)
    record.incarnation = incarnation
    env.membership.record, env.membership.usable = record, usable
    env.membership.callback(record)


def test_sub_requests_of_one_loop_iteration_share_a_message_and_replies_arrive_in_any_order():
    """Guards against one message per sub-request, and replies matched to the wrong one."""

    async def scenario(env):
        env.target.should_reply = lambda request: False
        ids = [env.send(key=str(i)) for i in range(50)]
        await until(lambda: len(env.target.received) == 50)
        assert env.target.messages == 1
        for sub_id in reversed(ids):
            reply = pb.SubReply(sub_id=sub_id, payload=str(sub_id).encode())
            await env.target.streams[0].send_message(pb.SessionReply(replies=[reply, reply]))
        await until(lambda: len(env.listener.replies) == 50)
        assert all(r.payload == str(i).encode() for i, r in env.listener.replies.items())

    run(scenario)


def test_cancelled_sub_request_is_not_sent_or_is_cancelled_on_the_target():
    """Guards against replies to a cancelled sub-request, and against useless work of the target."""

    async def scenario(env):
        env.target.should_reply = lambda request: False
        unsent = env.send()
        env.sessions.cancel(unsent, "t")
        sub_id = env.send()
        await until(lambda: env.target.received == [sub_id])
        env.sessions.cancel(sub_id, "t")
        await until(lambda: env.target.cancelled == [sub_id])
        await env.target.streams[0].send_message(
            pb.SessionReply(replies=[pb.SubReply(sub_id=sub_id)])
        )
        env.target.should_reply = lambda request: True
        last = env.send()
        await until(lambda: env.listener.replies)
        assert set(env.listener.replies) == {last} and not env.listener.failures

    run(scenario)


def test_silent_connection_is_replaced_and_the_target_stays_up():
    """Guards against marking a target as down when only one of its connections is silent."""

    async def scenario(env):
        env.target.silent.add(env.target.streams[0])
        lost = [env.send(), env.send(request_key="k")]
        took_s = await until(lambda: len(env.listener.failures) == 2)
        assert took_s < 1.0
        assert set(env.listener.failures) == set(lost)
        assert set(env.listener.failures.values()) == {"connection_lost"}
        env.send()
        await until(lambda: env.listener.replies)
        assert env.down == [] and env.target.peak == 2
        assert env.metrics.total == {"connections.opened": 2, "connections.silent": 1}
        await until(lambda: env.target.open == 1)
        assert not set(lost) & set(env.target.received), (
            "a lost sub-request is not resent automatically"
        )

    run(scenario)


def test_connection_of_a_slow_target_stays_open():
    """Guards against closing a connection whose target replies to pings but not to sub-requests."""

    async def scenario(env):
        env.target.should_reply = lambda request: False
        sub_id = env.send()
        await asyncio.sleep(1.0)
        assert env.target.peak == 1 and not env.listener.failures and env.down == []
        await env.target.streams[0].send_message(
            pb.SessionReply(replies=[pb.SubReply(sub_id=sub_id)])
        )
        await until(lambda: env.listener.replies)

    run(scenario)


def test_frozen_target_is_down_until_it_replies_again():
    """Guards against hanging reads, a lost reply to a write, and endless reconnects."""

    async def scenario(env):
        env.target.frozen.clear()
        read, write = env.send(), env.send(request_key="k")
        await until(lambda: env.down == [True])
        assert env.listener.failures == {read: "target_down"}
        assert env.metrics.total == {"connections.opened": 1, "connections.target_down": 1}
        refused_id = env.send()
        assert env.listener.failures[refused_id] == "not_sent"
        env.target.frozen.set()
        await until(lambda: env.down == [True, False])
        await until(lambda: write in env.listener.replies)
        env.send()
        await until(lambda: len(env.listener.replies) == 2)
        await until(lambda: env.target.open == 1)

    run(scenario)


def test_replies_before_an_abrupt_close_are_delivered_and_the_target_is_reconnected():
    """Guards against dropping replies because the connection closed directly after them."""

    async def scenario(env):
        env.target.should_reply = lambda request: False
        replied, lost = env.send(), env.send()
        await until(lambda: len(env.target.received) == 2)
        stream = env.target.streams[0]
        replies = [pb.SubReply(sub_id=replied, payload=b"x" * 3000)]
        await stream.send_message(pb.SessionReply(replies=replies))
        stream._stream.connection._transport.close()
        await until(lambda: env.listener.failures)
        assert set(env.listener.replies) == {replied}
        assert env.listener.failures == {lost: "connection_lost"}
        env.target.should_reply = lambda request: True
        later = env.send()
        await until(lambda: later in env.listener.replies)
        assert env.down == []

    run(scenario)


def test_replies_before_a_reset_are_delivered():
    """Guards against replies lost in the buffer of grpclib if a reset is in the same packet."""

    async def scenario(env):
        ids = [env.send(key="last") for _ in range(20)]
        await until(lambda: len(env.listener.replies) + len(env.listener.failures) == 20)
        assert set(env.listener.replies) == set(ids)

    run(scenario)


def test_leaving_target_gets_no_new_sub_requests_but_completes_those_in_flight():
    """Guards against new sub-requests to a leaving target, and against aborting those in flight."""

    async def scenario(env):
        env.target.should_reply = lambda request: False
        sub_id = env.send()
        await until(lambda: env.target.received == [sub_id])
        unwritten = env.send()
        env.membership.usable = False
        env.membership.callback(env.membership.record)
        refused = env.send()
        assert env.listener.failures == {unwritten: "not_sent", refused: "not_sent"}
        await asyncio.sleep(0.1)
        assert env.target.open == 1 and env.target.received == [sub_id]
        reply = pb.SubReply(sub_id=sub_id, status=pb.SUB_STATUS_LEAVING)
        await env.target.streams[0].send_message(pb.SessionReply(replies=[reply]))
        await until(lambda: env.target.open == 0)
        assert sub_id in env.listener.replies and env.membership.left == [("t", 7)]

    run(scenario)


def test_reads_on_a_silent_connection_of_a_leaving_target_fail_early():
    """Guards against reads that wait until their deadline because no monitor watches the link."""

    async def scenario(env):
        env.target.silent.add(env.target.streams[0])
        read, write = env.send(), env.send(request_key="k")
        await asyncio.sleep(0.05)
        replace_record(env, False, 7)
        took_s = await until(lambda: env.listener.failures)
        assert took_s < 1.0
        assert env.listener.failures == {read: "target_down"}
        assert (
            env.target.peak == 1
            and env.down == []
            and not env.metrics.total - Counter({"connections.opened": 1})
        )
        reply = pb.SubReply(sub_id=write)
        await env.target.streams[0].send_message(pb.SessionReply(replies=[reply]))
        await until(lambda: env.target.open == 0)
        assert write in env.listener.replies

    run(scenario)


def test_target_that_was_down_is_up_again_after_a_restart():
    """Guards against a target that stays down because the session that marked it was replaced."""

    async def scenario(env):
        env.target.frozen.clear()
        env.send()
        await until(lambda: env.down == [True])
        replace_record(env, False, 7)
        env.target.frozen.set()
        replace_record(env, True, 8)
        await until(lambda: env.sessions.is_connected("t"))
        assert env.down == [True, False]

    run(scenario)


def test_target_that_is_usable_again_reuses_its_connection():
    """Guards against exceeding the connection limit while earlier sub-requests are in flight."""

    async def scenario(env):
        env.target.should_reply = lambda request: not request.key
        slow = env.send(key="slow")
        await until(lambda: env.target.received == [slow])
        replace_record(env, False, 7)
        replace_record(env, True, 7)
        quick = env.send()
        await until(lambda: quick in env.listener.replies)
        assert env.target.peak == 1 and not env.listener.failures
        reply = pb.SubReply(sub_id=slow)
        await env.target.streams[0].send_message(pb.SessionReply(replies=[reply]))
        await until(lambda: slow in env.listener.replies)

    run(scenario)


def test_session_that_is_closed_before_it_connects_is_removed():
    """Guards against a retired link that is never removed."""

    async def scenario(env):
        replace_record(env, False, 7)
        replace_record(env, True, 8)
        replace_record(env, False, 8)
        await until(lambda: not env.sessions.dump()["retiring"])
        await until(lambda: env.target.open == 0)

    run(scenario)


def test_silent_connection_of_a_target_at_its_connection_limit_is_replaced():
    """Guards against a silent connection that stays open because it uses up the limit."""

    async def scenario(env):
        env.target.limit = 1
        env.target.silent.add(env.target.streams[0])
        env.send()
        await until(lambda: env.listener.failures)
        env.send()
        await until(lambda: env.listener.replies or len(env.listener.failures) > 1)
        await until(lambda: env.sessions.is_connected("t"))
        env.send()
        await until(lambda: env.listener.replies)
        assert env.target.peak == 1

    run(scenario)


def test_flow_control_does_not_block_pings_and_replies():
    """Guards against a large message that waits for flow control and blocks the connection."""

    async def scenario(env):
        env.target.frozen.clear()
        ids = [env.send(payload=b"x" * 60_000, request_key="k") for _ in range(200)]
        await asyncio.sleep(0.2)
        env.target.frozen.set()
        await until(lambda: len(env.listener.replies) == len(ids), limit_s=8.0)
        assert not env.listener.failures

    run(scenario, silence_min_s=5.0, silence_max_s=5.0)


def test_targets_that_are_down_share_the_reconnect_budget(monkeypatch):
    """Guards against targets that are never reconnected while many others are down."""
    attempts = Counter()
    monkeypatch.setattr(
        TargetLink,
        "_open",
        lambda link: (
            attempts.update([link.target_id]),
            link._execute(link.monitor.on_open_failed(time.monotonic())),
        ),
    )

    async def scenario():
        records = [pb.TargetRecord(target_id=f"t{n}", connections=20) for n in range(40)]
        membership = FakeMembership(records[0])
        cfg = ConnectionConfig(
            reconnects_per_s=40.0, reconnect_burst=4, retry_min_s=0.05, retry_max_s=0.1
        )
        sessions = SessionController("vm-0", cfg, membership)
        await sessions.start()
        for record in records[1:]:
            membership.callback(record)
        await until(lambda: min(attempts[record.target_id] for record in records) > 2, 8.0)
        await sessions.stop()

    asyncio.run(scenario())
