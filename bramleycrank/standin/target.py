"""One stand-in target: slots, a bounded queue, deadlines, cancellation and effect counters."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, OrderedDict
from collections.abc import Iterable
from random import Random
from typing import Protocol

import attrs

from bramleycrank.proto import target_pb2 as pb
from bramleycrank.proto.standin_pb2 import FaultRequest, TargetStats
from bramleycrank.standin import data
from bramleycrank.standin.faults import Disposition, ServiceTimes
from bramleycrank.standin.settings import CapacitySettings, TimingSettings

log = logging.getLogger(__name__)


class ReplySink(Protocol):
    """Receives the replies of a target's sub-requests."""

    def on_reply(self, reply: pb.SubReply) -> None:
        """Receive the reply of a sub-request."""
        ...

    def go_silent(self) -> None:
        """Stop sending permanently while the connection stays open."""
        ...


@attrs.define(eq=False)
class Job:
    """A queued or running sub-request.

    Parameters
    ----------
    request : SubRequest
        The sub-request.
    sink : ReplySink
        Receiver of the reply.
    deadline : float
        Deadline, in seconds of the loop's clock.
    timer : asyncio.TimerHandle, optional
        Timer of the end of execution; set while the sub-request runs.
    """

    request: pb.SubRequest
    sink: ReplySink
    deadline: float
    timer: asyncio.TimerHandle | None = None

    @property
    def key(self) -> tuple[ReplySink, int]:
        """Key of the sub-request within the target."""
        return (self.sink, self.request.sub_id)


@attrs.define
class Counts:
    """Counters of a target since its start."""

    received: int = 0
    executed: int = 0
    cancelled: int = 0
    shed: int = 0
    peak_connections: int = 0
    received_while_leaving: int = 0


class StandInTarget:
    """State and execution of one target.

    Parameters
    ----------
    record : TargetRecord
        Record that the target announces; changed in place.
    capacity : CapacitySettings
        Limits on slots, queue and connections.
    timing : TimingSettings
        Distribution of the service times.
    rng : Random
        Seeded generator of this target.
    """

    def __init__(
        self,
        record: pb.TargetRecord,
        capacity: CapacitySettings,
        timing: TimingSettings,
        rng: Random,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.record = record
        self.capacity = capacity
        self.timing = timing
        self.counts = Counts()
        self.effects: Counter[str] = Counter()
        self.sinks: set[ReplySink] = set()
        self.changed = asyncio.Event()
        self.resumed = asyncio.Event()
        self.resumed.set()
        self._rng = rng
        self._service_times = ServiceTimes(timing, rng, self._loop.time())
        self._held_replicas: set[tuple[int, int, int]] = set()
        self._running: dict[tuple[ReplySink, int], Job] = {}
        self._waiting: OrderedDict[tuple[ReplySink, int], Job] = OrderedDict()
        self._update_held_replicas()

    @property
    def leaving(self) -> bool:
        """Whether the target is in the state LEAVING and refuses new sub-requests."""
        return self.record.state == pb.TARGET_STATE_LEAVING

    @property
    def idle(self) -> bool:
        """Whether no sub-request is queued or running."""
        return not self._running and not self._waiting

    def load(self) -> pb.LoadReport:
        """Return the load report."""
        return pb.LoadReport(
            in_flight=len(self._running), queued=len(self._waiting), slots=self.capacity.slots
        )

    def submit(self, request: pb.SubRequest, sink: ReplySink) -> None:
        """Accept, queue, shed or refuse a sub-request; the sink receives the reply."""
        self.counts.received += 1
        refusal = self._refusal(request)
        if refusal is not None:
            sink.on_reply(self._reply(request, refusal))
            return
        now = self._loop.time()
        job = Job(request, sink, now + request.timeout_ms / 1000)
        if len(self._running) < self.capacity.slots:
            self._start(job, now)
        elif self._has_queue_capacity(now):
            self._waiting[job.key] = job
        else:
            self._shed(job)

    def cancel(self, sink: ReplySink, sub_id: int) -> None:
        """Cancel a sub-request without a reply."""
        job = self._waiting.pop((sink, sub_id), None) or self._running.pop((sink, sub_id), None)
        if job is None:
            return
        self.counts.cancelled += 1
        if job.timer is not None:
            job.timer.cancel()
            self._fill_slots()

    def add_sink(self, sink: ReplySink) -> bool:
        """Register a new session; return False at the connection limit."""
        if len(self.sinks) >= self.capacity.connections:
            return False
        self.sinks.add(sink)
        self.counts.peak_connections = max(self.counts.peak_connections, len(self.sinks))
        return True

    def remove_sink(self, sink: ReplySink) -> None:
        """Remove a session that ended and cancel its sub-requests."""
        self.sinks.discard(sink)
        for owner, sub_id in [key for key in (*self._waiting, *self._running) if key[0] is sink]:
            self.cancel(owner, sub_id)

    def set_fault(self, req: FaultRequest) -> None:
        """Apply a fault request."""
        self._service_times.faults = self._service_times.faults.updated(req)
        if self._service_times.faults.frozen:
            self.resumed.clear()
        else:
            self.resumed.set()
        count = round(req.silent_share * len(self.sinks))
        for sink in self._rng.sample(sorted(self.sinks, key=id), min(count, len(self.sinks))):
            sink.go_silent()

    def set_replicas(self, replicas: Iterable[pb.Replica]) -> None:
        """Replace the replicas that the target holds; running sub-requests finish."""
        new_replicas = list(replicas)
        del self.record.replicas[:]
        self.record.replicas.extend(new_replicas)
        self._update_held_replicas()
        self.mark_changed()

    def set_state(self, state: pb.TargetState) -> None:
        """Change the announced state; LEAVING is final."""
        if not self.leaving and state != self.record.state:
            self.record.state = state
            self.mark_changed()

    def mark_changed(self) -> None:
        """Increase the record's sequence and trigger an announcement."""
        self.record.sequence += 1
        self.changed.set()

    def stats(self) -> TargetStats:
        """Return the counters."""
        return TargetStats(
            target_id=self.record.target_id,
            open_connections=len(self.sinks),
            effects=dict(self.effects),
            **attrs.asdict(self.counts),
        )

    def _update_held_replicas(self) -> None:
        self._held_replicas = {
            (r.snapshot.version, r.snapshot.shard_count, r.shard) for r in self.record.replicas
        }

    def _refusal(self, request: pb.SubRequest) -> pb.SubStatus | None:
        """Return why a sub-request cannot run, or None."""
        if self.leaving:
            self.counts.received_while_leaving += 1
            return pb.SUB_STATUS_LEAVING
        shard_key = (request.snapshot.version, request.snapshot.shard_count, request.shard)
        if request.service != self.record.service or shard_key not in self._held_replicas:
            return pb.SUB_STATUS_SNAPSHOT_GONE
        return None

    def _has_queue_capacity(self, now: float) -> bool:
        """Return whether the queue accepts a job, removing expired ones if it is full."""
        if len(self._waiting) < self.capacity.queue_limit:
            return True
        for job in [job for job in self._waiting.values() if job.deadline <= now]:
            del self._waiting[job.key]
            job.sink.on_reply(self._reply(job.request, pb.SUB_STATUS_DEADLINE))
        return len(self._waiting) < self.capacity.queue_limit

    def _shed(self, job: Job) -> None:
        self.counts.shed += 1
        reply = self._reply(job.request, pb.SUB_STATUS_SHED)
        queue_rounds = (len(self._waiting) + 1) / self.capacity.slots
        reply.retry_after_ms = max(1, round(queue_rounds * self._service_times.median_ms))
        job.sink.on_reply(reply)

    def _start(self, job: Job, now: float) -> None:
        """Run a job in a free slot, unless its deadline has passed or a fault sheds it."""
        if job.deadline <= now:
            job.sink.on_reply(self._reply(job.request, pb.SUB_STATUS_DEADLINE))
            return
        disposition = self._service_times.draw_disposition()
        if disposition is Disposition.SHED:
            self._shed(job)
            return
        if job.request.kind not in data.READ_KINDS:
            # Counted at the start, because a cancelled execution may already have had its effect.
            self.effects[job.request.request_key] += 1
        end = now + self._service_times.draw_service_time_s(now)
        status = pb.SUB_STATUS_OK if end <= job.deadline else pb.SUB_STATUS_DEADLINE
        if disposition is Disposition.FAIL:
            status = pb.SUB_STATUS_FAILED
        job.timer = self._loop.call_at(min(end, job.deadline), self._finish, job, status)
        self._running[job.key] = job

    def _finish(self, job: Job, status: pb.SubStatus) -> None:
        del self._running[job.key]
        reply = self._reply(job.request, status)
        if status == pb.SUB_STATUS_OK:
            self.counts.executed += 1
            self._add_result(job.request, reply)
        job.sink.on_reply(reply)
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._waiting and len(self._running) < self.capacity.slots:
            _, job = self._waiting.popitem(last=False)
            self._start(job, self._loop.time())

    def _add_result(self, request: pb.SubRequest, reply: pb.SubReply) -> None:
        """Add hits or the payload; fail the reply if the key belongs to another shard."""
        shard_key = (request.service, request.snapshot, request.shard)
        if request.kind in ("search", "quick_match"):
            reply.hits.extend(data.search(*shard_key, request.query, request.limit))
        elif data.shard_of(request.key, request.snapshot.shard_count) != request.shard:
            log.warning("standin: key %r is not in shard %d", request.key, request.shard)
            reply.status = pb.SUB_STATUS_FAILED
        elif request.kind == "fetch":
            reply.hits.extend(data.fetch(*shard_key, request.key))
        else:
            reply.payload = data.receipt(*shard_key, request, self.effects[request.request_key])

    @staticmethod
    def _reply(request: pb.SubRequest, status: pb.SubStatus) -> pb.SubReply:
        return pb.SubReply(
            sub_id=request.sub_id, status=status, snapshot=request.snapshot, shard=request.shard
        )
