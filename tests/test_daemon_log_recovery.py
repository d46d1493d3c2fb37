"""Tests the recovery of a voter from a full disk and from a damaged log."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from bramleycrank.daemon import log_host
from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.identity import Identity
from bramleycrank.exceptions import BramleycrankError, CorruptLog
from bramleycrank.proto import log_pb2
from bramleycrank.storage.segment import Segment


class EmptyDirectory:
    """A directory without other VMs."""

    def leader_address(self) -> str:
        return ""

    def vm_address(self, vm_id: str) -> str:
        return ""

    def addresses(self) -> list[str]:
        return []


async def start(folder: Path, *, replace_damaged: bool = False) -> ConsensusController:
    identity = Identity(
        vm_id="vm1",
        domain="d",
        host="127.0.0.1",
        port=7,
        data_dir=folder,
        vote=True,
        replace_damaged=replace_damaged,
    )
    controller = ConsensusController(identity, EmptyDirectory(), None, random.Random(1))
    await controller.start()
    return controller


def put(version: int) -> log_pb2.Command:
    table = log_pb2.RouteTable(version=version, document=b"d%d" % version)
    return log_pb2.Command(change=log_pb2.Change(change_id=f"c{version}", put_routes=table))


async def wait_for_leadership(controller: ConsensusController) -> None:
    async with asyncio.timeout(5):
        while not controller.is_leader or controller.confirmed_at() is None:
            await asyncio.sleep(0.01)


async def bootstrap(controller: ConsensusController) -> None:
    members = [log_pb2.Member(node_id=controller.node_id, host="127.0.0.1", port=7, voter=True)]
    controller.on_bootstrap(log_pb2.Membership(cluster_id="c", members=members))
    await wait_for_leadership(controller)


def test_voter_recovers_once_its_disk_is_writable_again(tmp_path, monkeypatch):
    """Guards against a voter that stays stopped after its disk was full for a short time."""
    monkeypatch.setattr(log_host, "REOPEN_DELAY_S", 0.05)
    full = [False]
    append = Segment.append

    def append_unless_full(self: Segment, action: object) -> None:
        if full[0]:
            raise OSError(28, "No space left on device")
        append(self, action)

    monkeypatch.setattr(Segment, "append", append_unless_full)

    async def body() -> None:
        controller = await start(tmp_path / "data")
        await bootstrap(controller)
        await controller.propose_local("p1", put(1), 2.0)
        full[0] = True
        with pytest.raises(BramleycrankError):
            await controller.propose_local("p2", put(2), 1.0)
        assert not controller.is_leader
        await asyncio.sleep(0.3)
        full[0] = False
        await wait_for_leadership(controller)
        assert controller.state.config.routes.version == 1
        await controller.propose_local("p3", put(3), 2.0)
        await controller.stop()

    asyncio.run(body())


def test_voter_recovers_if_closing_its_log_fails_too(tmp_path, monkeypatch):
    """Guards against a voter that stays stopped because writing a buffer at the close fails."""
    monkeypatch.setattr(log_host, "REOPEN_DELAY_S", 0.05)

    async def body() -> None:
        controller = await start(tmp_path / "data")
        await bootstrap(controller)
        await controller.propose_local("p1", put(1), 2.0)
        segment = controller._log_host._store._segment
        segment.close()
        segment._file = open("/dev/full", "ab")  # noqa: SIM115
        with pytest.raises(BramleycrankError):
            await controller.propose_local("p2", put(2), 1.0)
        await wait_for_leadership(controller)
        assert controller.state.config.routes.version == 1
        await controller.propose_local("p3", put(3), 2.0)
        await controller.stop()

    asyncio.run(body())


def test_partly_written_batch_leaves_no_buffer_to_write_at_close(tmp_path):
    async def body() -> None:
        controller = await start(tmp_path / "data")
        await bootstrap(controller)
        segment = controller._log_host._store._segment
        assert segment._file.fileno() and not hasattr(segment._file, "raw"), "the file has a buffer"
        await controller.stop()

    asyncio.run(body())


def damage(folder: Path) -> None:
    """Flip a byte near the start of the log, where data has been synced."""
    [path] = folder.glob("log-*")
    data = bytearray(path.read_bytes())
    data[12] ^= 0xFF
    path.write_bytes(data)


@pytest.mark.parametrize("replace_damaged", [True, False])
def test_voter_with_a_damaged_log_never_votes_under_its_former_node_id(tmp_path, replace_damaged):
    folder = tmp_path / "data"

    async def body() -> None:
        controller = await start(folder)
        await bootstrap(controller)
        await controller.propose_local("p1", put(1), 2.0)
        former = controller.node_id
        await controller.stop()
        damage(folder)
        if not replace_damaged:
            with pytest.raises(CorruptLog):
                await start(folder)
            return
        controller = await start(folder, replace_damaged=True)
        assert controller.node_id != former and controller.membership is None
        await controller.stop()
        again = await start(folder, replace_damaged=True)
        assert again.node_id == controller.node_id
        await again.stop()

    asyncio.run(body())
