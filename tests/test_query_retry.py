"""Tests of the target of a retry after connections were lost."""

from __future__ import annotations

import itertools
import random

from query_fakes import SERVICE, record, reply_to

from bramleycrank.query.catalog import SnapshotCatalog
from bramleycrank.query.execution import QueryExecution
from bramleycrank.query.policy import AdaptivePolicy
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.types import (
    Dispatch,
    FailureReason,
    Finish,
    QueryConfig,
    QueryRequest,
    Snapshot,
)

ONE_SHARD = Snapshot(1, 1)


def begin(domains: str) -> tuple[QueryExecution, list]:
    """Start a query over one shard with a replica in each domain, all of them warm."""
    catalog, table = SnapshotCatalog(), ReplicaTable("z", random.Random(3))
    records = [record(f"t{d}", [(ONE_SHARD, 0)], domain=d) for d in domains]
    catalog.update(SERVICE, records, 0.0)
    table.update(SERVICE, records, 0.0)
    execution = QueryExecution(
        QueryRequest(SERVICE, "search"),
        snapshot=ONE_SHARD,
        policy=AdaptivePolicy(QueryConfig(), table),
        catalog=catalog,
        next_sub_id=itertools.count(1).__next__,
        deadline=3.0,
        idempotent=True,
    )
    return execution, execution.start(0.0)


def dispatched(actions: list) -> list[Dispatch]:
    """Return the sub-requests among actions."""
    return [action for action in actions if isinstance(action, Dispatch)]


def test_a_retry_goes_to_the_third_target_after_a_partition_lost_first_and_hedge():
    """Guards against a missing shard while an untried replica is healthy.

    A domain is partitioned while its own targets warm up. The first sub-request and its hedge go
    to other domains, and the partition breaks both connections at the same time.
    """
    execution, actions = begin("abc")
    [first] = dispatched(actions)
    [hedge] = dispatched(execution.tick(0.3))
    assert execution.on_failure(first.request.sub_id, FailureReason.CONNECTION_LOST, 0.9) == []
    actions = execution.on_failure(hedge.request.sub_id, FailureReason.CONNECTION_LOST, 0.9)
    [retry] = dispatched(actions)
    assert retry.target_id not in (first.target_id, hedge.target_id)
    [end] = execution.on_reply(reply_to(retry.request), 1.0)
    assert isinstance(end, Finish)


def test_the_only_target_is_retried_after_its_connection_was_lost():
    execution, actions = begin("a")
    [first] = dispatched(actions)
    actions = execution.on_failure(first.request.sub_id, FailureReason.CONNECTION_LOST, 0.9)
    [retry] = dispatched(actions)
    assert retry.target_id == first.target_id
