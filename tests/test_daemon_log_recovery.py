"""A voter whose disk is full for a while, and one whose log is damaged."""

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


class NoDirectory:
    """Knows no other VM."""

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
    controller = ConsensusController(identity, NoDirectory(), None, random.Random(1))
    await controller.start()
    return controller


def put(version: int) -> log_pb2.Command:
    table = log_pb2.RouteTable(version=version, document=b"d%d" % version)
    return log_pb2.Command(change=log_pb2.Change(change_id=f"c{version}", put_routes=table))


async def lead(controller: ConsensusController) -> None:
    async with asyncio.timeout(5):
        while not controller.is_leader or controller.confirmed_at() is None:
            await asyncio.sleep(0.01)


async def bootstrap(controller: ConsensusController) -> None:
    members = [log_pb2.Member(node_id=controller.node_id, host="127.0.0.1", port=7, voter=True)]
    controller.on_bootstrap(log_pb2.Membership(cluster_id="c", members=members))
    await lead(controller)


def test_a_voter_goes_on_when_its_disk_takes_bytes_again(tmp_path, monkeypatch):
    """Guards against a voter that is missing for good after a disk was full for a moment."""
    monkeypatch.setattr(log_host, "REOPEN_PAUSE_S", 0.05)
    full = [False]
    append = Segment.append

    def guarded(self: Segment, action: object) -> None:
        if full[0]:
            raise OSError(28, "No space left on device")
        append(self, action)

    monkeypatch.setattr(Segment, "append", guarded)

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
        await lead(controller)
        assert controller.state.config.routes.version == 1
        await controller.propose_local("p3", put(3), 2.0)
        await controller.stop()

    asyncio.run(body())


def test_a_voter_goes_on_when_closing_its_log_fails_too(tmp_path, monkeypatch):
    """Guards against a voter that is missing for good: what is buffered is written at the close."""
    monkeypatch.setattr(log_host, "REOPEN_PAUSE_S", 0.05)

    async def body() -> None:
        controller = await start(tmp_path / "data")
        await bootstrap(controller)
        await controller.propose_local("p1", put(1), 2.0)
        segment = controller._host._store._segment
        segment.close()
        segment._file = open("/dev/full", "ab")  # noqa: SIM115
        with pytest.raises(BramleycrankError):
            await controller.propose_local("p2", put(2), 1.0)
        await lead(controller)
        assert controller.state.config.routes.version == 1
        await controller.propose_local("p3", put(3), 2.0)
        await controller.stop()

    asyncio.run(body())


def test_a_batch_that_was_not_written_whole_leaves_nothing_to_write_at_the_close(tmp_path):
    async def body() -> None:
        controller = await start(tmp_path / "data")
        await bootstrap(controller)
        segment = controller._host._store._segment
        assert segment._file.fileno() and not hasattr(segment._file, "raw"), "no buffer"
        await controller.stop()

    asyncio.run(body())


def damage(folder: Path) -> None:
    """Flip a byte early in the log, as only damage to synced data does."""
    [path] = folder.glob("log-*")
    data = bytearray(path.read_bytes())
    data[12] ^= 0xFF
    path.write_bytes(data)


@pytest.mark.parametrize("replace_damaged", [True, False])
def test_a_damaged_log_never_votes_under_its_former_name(tmp_path, replace_damaged):
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
