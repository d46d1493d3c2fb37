"""Opens the log of this VM and runs the consensus core on it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from bramleycrank.consensus import LogBounds, RaftConfig, RaftNode
from bramleycrank.daemon.identity import Identity
from bramleycrank.daemon.raft_runner import Listener, RaftRunner
from bramleycrank.exceptions import CorruptLog, StorageError
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.traffic import Traffic
from bramleycrank.state import LeaveTable, ReplicatedState
from bramleycrank.storage import LogStore
from bramleycrank.transport.consensus_links import ConsensusLinks

log = logging.getLogger(__name__)

REOPEN_DELAY_S = 0.5
"""Delay before a log is reopened after a failed write, in seconds."""


class LogHost:
    """Opens the log, runs the consensus core on it, and recovers from failures of the disk.

    Parameters
    ----------
    identity : Identity
        Identity of this VM, with its data folder.
    address_of : callable
        Returns ``host:port`` of a node, or None if it is not known.
    rng : random.Random
        Source of random choices.
    metrics : Metrics
        Receives the metrics.
    listener : Listener
        Receives applied entries and changes of the role.
    on_reopened : callable
        Called after the log was reopened.
    traffic : Traffic or None
        Counts the bytes and messages to other voters.
    bounds : LogBounds
        Bounds on the bytes of the log.
    """

    def __init__(
        self,
        identity: Identity,
        address_of: Callable[[str], str | None],
        rng: random.Random,
        metrics: Metrics,
        listener: Listener,
        on_reopened: Callable[[], None],
        traffic: Traffic | None,
        bounds: LogBounds,
    ) -> None:
        self._identity = identity
        self._address_of = address_of
        self._rng = rng
        self._metrics = metrics
        self._listener = listener
        self._on_reopened = on_reopened
        self._traffic = traffic
        self._bounds = bounds
        self._store: LogStore | None = None
        self._links: ConsensusLinks | None = None
        self._reopen_task: asyncio.Task[None] | None = None
        self.runner: RaftRunner | None = None

    @property
    def node_id(self) -> str:
        """Id of this node in the log; empty while no log is open."""
        return self._store.node_id if self._store else ""

    def open(self) -> None:
        """Open the log and start the consensus core.

        Raises
        ------
        CorruptLog
            Synced parts of the log are damaged, and the settings do not allow to replace the log.
        StorageError
            The data folder cannot be read or written.
        """
        folder, vm_id = self._identity.data_dir, self._identity.vm_id
        try:
            self._store = LogStore.open(folder, vm_id)
        except CorruptLog as exc:
            if not self._identity.replace_damaged:
                raise
            log.error("consensus: the log is damaged and replaced by an empty one: %s", exc)
            LogStore.discard(folder)
            self._store = LogStore.open(folder, vm_id)
        self._start_runner(self._store)

    def stop(self) -> None:
        """Stop the consensus core and close the log."""
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        self._close()

    def reopen(self) -> None:
        """Reopen the log, as after a restart, once the disk can be written again.

        A full disk is a temporary fault. A voter that stayed stopped would be missing from the
        quorum at the next fault.
        """
        if self._reopen_task is None:
            self._reopen_task = asyncio.ensure_future(self._reopen())

    async def _reopen(self) -> None:
        while True:
            await asyncio.sleep(REOPEN_DELAY_S)
            try:
                self._close()
                self.open()
            except (StorageError, OSError) as exc:
                log.warning("consensus: the log cannot be reopened yet: %s", exc)
                continue
            except Exception:
                # Nothing awaits this task, so it must not end before the voter runs again.
                log.exception("consensus: reopening the log failed")
                continue
            self._reopen_task = None
            log.info("consensus: opened the log again")
            self._on_reopened()
            return

    def _close(self) -> None:
        if self.runner is not None:
            self.runner.close()
        if self._links is not None:
            self._links.close()
        if self._store is not None:
            self._store.close()

    def _on_unsent(self, node_id: str) -> None:
        if self.runner is not None:
            self.runner.on_unsent(node_id)

    def _start_runner(self, store: LogStore) -> None:
        durable = store.load()
        snapshot = durable.snapshot
        now = asyncio.get_running_loop().time()
        # A window of the core may follow one whose calls have not ended yet.
        self._links = ConsensusLinks(
            self._address_of, self._traffic, 2 * self._bounds.message_bytes, self._on_unsent
        )
        cfg = RaftConfig(self.node_id, bounds=self._bounds)
        self.runner = RaftRunner(
            RaftNode.from_config(cfg, durable, self._rng, now),
            store,
            ReplicatedState.from_image(snapshot.image if snapshot else b""),
            self._links,
            self._listener,
            self._metrics,
            snapshot.index if snapshot else 0,
            LeaveTable.from_entries(durable.entries),
        )
        self.runner.start()
