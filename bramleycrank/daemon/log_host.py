"""Holds the log of this VM and the core that works on it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from bramleycrank.consensus import RaftConfig, RaftNode
from bramleycrank.daemon.identity import Identity
from bramleycrank.daemon.raft_runner import Listener, RaftRunner
from bramleycrank.exceptions import CorruptLog, StorageError
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.traffic import Traffic
from bramleycrank.state import ReplicatedState
from bramleycrank.storage import LogStore
from bramleycrank.transport.consensus_links import ConsensusLinks

log = logging.getLogger(__name__)

REOPEN_PAUSE_S = 0.5
"""Pause before a log whose write failed is opened again, in seconds."""


class LogHost:
    """Opens the log, runs the core on it, and goes on after a failure of the disk.

    Parameters
    ----------
    identity : Identity
        Who and where this VM is; names the data folder.
    address_of : callable
        Returns ``host:port`` of a node, or None if it is not known.
    rng : random.Random
        Source of all randomness.
    metrics : Metrics
        Receiver of metrics.
    listener : Listener
        Hears of applied entries and changed roles.
    on_reopened : callable
        Called when the log was opened again.
    traffic : Traffic or None
        Counts the messages to other voters.
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
    ) -> None:
        self._identity = identity
        self._address_of = address_of
        self._rng = rng
        self._metrics = metrics
        self._listener = listener
        self._on_reopened = on_reopened
        self._traffic = traffic
        self._store: LogStore | None = None
        self._links: ConsensusLinks | None = None
        self._reopen_task: asyncio.Task[None] | None = None
        self.runner: RaftRunner | None = None

    @property
    def node_id(self) -> str:
        """Identity of this node in the log; empty while there is none."""
        return self._store.node_id if self._store else ""

    def open(self) -> None:
        """Open the log and start the core.

        Raises
        ------
        CorruptLog
            Synced parts of the log are damaged and may not be replaced.
        StorageError
            The data folder failed.
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
        """Stop the core and close the log."""
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        self._close()

    def reopen(self) -> None:
        """Go on with what the disk holds, as after a restart, once it can be written again.

        A full disk is a passing fault, and a stopped voter would be missing at the next one.
        """
        if self._reopen_task is None:
            self._reopen_task = asyncio.ensure_future(self._reopen())

    async def _reopen(self) -> None:
        while True:
            await asyncio.sleep(REOPEN_PAUSE_S)
            try:
                self._close()
                self.open()
            except (StorageError, OSError) as exc:
                log.warning("consensus: the log cannot be opened yet: %s", exc)
                continue
            except Exception:
                # Nobody waits for this task, so it must not end while the voter is stopped.
                log.exception("consensus: opening the log failed")
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

    def _start_runner(self, store: LogStore) -> None:
        durable = store.load()
        snapshot = durable.snapshot
        now = asyncio.get_running_loop().time()
        self._links = ConsensusLinks(self._address_of, self._traffic)
        self.runner = RaftRunner(
            RaftNode.from_config(RaftConfig(self.node_id), durable, self._rng, now),
            store,
            ReplicatedState.from_image(snapshot.image if snapshot else b""),
            self._links,
            self._listener,
            self._metrics,
            snapshot.index if snapshot else 0,
        )
        self.runner.start()
