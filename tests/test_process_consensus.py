"""Real daemons: lost and frozen voters and lost disks under a stream of changes."""

import asyncio
import contextlib
import shutil
import time

import pytest
from processes import run_fleet, until

from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto import operator_pb2

pytestmark = pytest.mark.process


class ChangeStream:
    """Creates services one after the other through given VMs and remembers what was accepted."""

    def __init__(self, vms):
        self.vms = vms
        self.accepted = []
        self._task = asyncio.ensure_future(self._run())

    async def _run(self):
        number = 0
        while True:
            number += 1
            name = f"stream{number}"
            with contextlib.suppress(BramleycrankError):
                vm = self.vms[number % len(self.vms)]
                reply = await vm.put_service(name, timeout_s=4.0)
                self.accepted.append((name, reply.revision))

    async def more(self, count=5):
        """Wait until more changes are accepted."""
        wanted = len(self.accepted) + count
        await until(lambda: len(self.accepted) >= wanted, f"{count} more changes are accepted")

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def check(self, vms):
        """Check that every accepted change is in force, in the order of the revisions."""
        revisions = [revision for _, revision in self.accepted]
        assert revisions == sorted(set(revisions))
        for vm in vms:
            await until(lambda vm=vm: self._holds_all(vm), f"{vm.vm_id} holds all changes")

    async def _holds_all(self, vm):
        reply = await vm.operator.ListServices(operator_pb2.ListServicesRequest())
        return {name for name, _ in self.accepted} <= {service.name for service in reply.services}


async def terms(vms):
    return [(await vm.dump())["consensus"]["log"]["core"]["term"] for vm in vms]


def test_killed_leader_loses_nothing_and_is_replaced_within_three_seconds(tmp_path):
    async def scenario(fleet):
        leader = await fleet.leader()
        rest = fleet.others(leader)
        stream = ChangeStream(rest)
        await stream.more()
        leader.kill()
        killed = time.monotonic()
        await fleet.leader(rest)
        assert time.monotonic() - killed < 3.0
        await stream.more()
        leader.start()
        await until(leader.ready, "the killed VM is ready again")
        await stream.more()
        await stream.stop()
        await stream.check(fleet.vms)

    run_fleet(tmp_path, scenario, domains=("a", "b", "c", "a"))


def test_frozen_voters_neither_disturb_nor_revert(tmp_path):
    # A follower that slept for several election timeouts must not start an election that wins;
    # a leader that slept must not go on as one, or bring back an older revision.
    async def scenario(fleet):
        leader = await fleet.leader()
        follower = fleet.others(leader)[0]
        stream = ChangeStream(fleet.others(leader, follower))
        await stream.more()
        before = await terms(fleet.others(follower))
        follower.freeze()
        await asyncio.sleep(3.0)  # The length of the freeze is what is tested.
        await stream.more()
        accepted = stream.accepted[-1][1]
        follower.thaw()
        await fleet.in_force(accepted, [follower])
        assert await terms(fleet.others(follower)) == before
        assert await leader.role() == "leader"

        leader.freeze()
        other = await fleet.leader(fleet.others(leader))
        await stream.more()
        accepted = stream.accepted[-1][1]
        leader.thaw()
        await fleet.in_force(accepted, [leader])
        assert await leader.role() == "follower" and await other.role() == "leader"
        await stream.stop()
        await stream.check(fleet.vms)

    run_fleet(tmp_path, scenario)


def test_replaced_disk_then_second_voter_lost(tmp_path):
    async def scenario(fleet):
        leader = await fleet.leader()
        lost, other = fleet.others(leader)
        stream = ChangeStream([leader])
        await stream.more()
        old = (await lost.dump())["consensus"]["node_id"]
        lost.kill()
        shutil.rmtree(lost.data_dir)
        lost.start()
        await until(lost.ready, "the VM without its disk is ready")
        new = (await lost.dump())["consensus"]["node_id"]
        assert new != old and await lost.role() == "entry"
        request = operator_pb2.MemberRequest(address=lost.address, node_id=old)
        reply = await lost.operator.ReplaceVoter(request, timeout=30.0)
        assert {m.node_id for m in reply.membership.members if m.voter} >= {new}
        assert old not in {m.node_id for m in reply.membership.members}
        other.kill()
        await stream.more()
        await stream.stop()
        await stream.check([leader, lost])

    run_fleet(tmp_path, scenario)
