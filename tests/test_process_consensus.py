"""Real daemons: lost or frozen voters and lost disks under a stream of changes."""

import asyncio
import contextlib
import shutil
import sys
import time

import pytest
from processes import TESTS, free_port, run_fleet, wait_until

from bramleycrank.exceptions import AlreadyBootstrapped, BramleycrankError, NotFound
from bramleycrank.proto import operator_pb2

pytestmark = pytest.mark.process


class ChangeStream:
    """Creates services one at a time through the given VMs and records the accepted changes."""

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
            # Calls that fail at once would otherwise never yield, and stop() could not cancel.
            await asyncio.sleep(0.001)

    async def wait_for_more(self, count=5):
        """Wait until more changes are accepted."""
        target_count = len(self.accepted) + count
        await wait_until(
            lambda: len(self.accepted) >= target_count, f"{count} more changes are accepted"
        )

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def check(self, vms):
        """Check that revisions increase and that the VMs have every accepted change."""
        revisions = [revision for _, revision in self.accepted]
        assert revisions == sorted(set(revisions))
        for vm in vms:
            await wait_until(lambda vm=vm: self._has_all(vm), f"{vm.vm_id} has all changes")

    async def _has_all(self, vm):
        reply = await vm.operator.ListServices(operator_pb2.ListServicesRequest())
        return {name for name, _ in self.accepted} <= {service.name for service in reply.services}


async def consensus_terms(vms):
    return [(await vm.dump())["consensus"]["log"]["core"]["term"] for vm in vms]


def test_killed_leader_loses_no_change_and_is_replaced_within_three_seconds(tmp_path):
    async def scenario(fleet):
        leader = await fleet.leader()
        remaining = fleet.others(leader)
        stream = ChangeStream(remaining)
        await stream.wait_for_more()
        leader.kill()
        killed_at = time.monotonic()
        await fleet.leader(remaining)
        assert time.monotonic() - killed_at < 3.0
        await stream.wait_for_more()
        leader.start()
        await wait_until(leader.ready, "the killed VM is ready again")
        await stream.wait_for_more()
        await stream.stop()
        await stream.check(fleet.vms)

    run_fleet(tmp_path, scenario, domains=("a", "b", "c", "a"))


def test_frozen_voters_neither_unseat_the_leader_nor_revert_changes(tmp_path):
    # A follower that was frozen for several election timeouts must not unseat the leader. A leader
    # that was frozen must step down and not restore an older revision.
    async def scenario(fleet):
        leader = await fleet.leader()
        # The entry VM learns the leader only by gossip.
        entry = fleet.vms[3]
        follower = fleet.others(leader, entry)[0]
        stream = ChangeStream(fleet.others(leader, follower))
        await stream.wait_for_more()
        terms_before = await consensus_terms(fleet.others(follower, entry))
        follower.freeze()
        await asyncio.sleep(3.0)  # several election timeouts
        await stream.wait_for_more()
        revision = stream.accepted[-1][1]
        follower.resume()
        await fleet.wait_in_force(revision, [follower])
        assert await consensus_terms(fleet.others(follower, entry)) == terms_before
        assert await leader.role() == "leader"

        leader.freeze()
        new_leader = await fleet.leader(fleet.others(leader, entry))
        await stream.wait_for_more()
        revision = stream.accepted[-1][1]
        leader.resume()
        await fleet.wait_in_force(revision, [leader])
        assert await leader.role() == "follower" and await new_leader.role() == "leader"
        await stream.stop()
        await stream.check(fleet.vms)

    run_fleet(tmp_path, scenario, domains=("a", "b", "c", "a"))


def test_voter_with_a_new_disk_replaces_itself_before_another_voter_is_lost(tmp_path):
    async def scenario(fleet):
        leader = await fleet.leader()
        lost, other = fleet.others(leader)
        stream = ChangeStream([leader])
        await stream.wait_for_more()
        old_node_id = (await lost.dump())["consensus"]["node_id"]
        lost.kill()
        shutil.rmtree(lost.data_dir)
        lost.start()
        await wait_until(lost.ready, "the VM without its disk is ready")
        new_node_id = (await lost.dump())["consensus"]["node_id"]
        assert new_node_id != old_node_id and await lost.role() == "entry"
        request = operator_pb2.MemberRequest(address=lost.address, node_id=old_node_id)
        reply = await lost.operator.ReplaceVoter(request, timeout=30.0)
        assert {m.node_id for m in reply.membership.members if m.voter} >= {new_node_id}
        assert old_node_id not in {m.node_id for m in reply.membership.members}
        other.kill()
        await stream.wait_for_more()
        await stream.stop()
        await stream.check([leader, lost])

    run_fleet(tmp_path, scenario)


def test_voters_can_be_added_and_the_leader_removed(tmp_path):
    async def scenario(fleet):
        newcomer = fleet.vms[3]
        addresses = [vm.address for vm in fleet.voters]
        same_bootstrap = operator_pb2.BootstrapRequest(addresses=addresses)
        first = await fleet.vms[0].operator.Bootstrap(same_bootstrap)
        with pytest.raises(AlreadyBootstrapped):
            other = operator_pb2.BootstrapRequest(addresses=addresses[:1])
            await fleet.vms[0].operator.Bootstrap(other)
        stream = ChangeStream(fleet.vms)
        reply = await fleet.vms[1].operator.AddVoter(
            operator_pb2.MemberRequest(address=newcomer.address), timeout=30.0
        )
        assert sum(m.voter for m in reply.membership.members) == 4
        assert reply.membership.cluster_id == first.membership.cluster_id
        leader = await fleet.leader()
        old_node_id = (await leader.dump())["consensus"]["node_id"]
        reply = await leader.operator.RemoveVoter(
            operator_pb2.MemberRequest(node_id=old_node_id), timeout=30.0
        )
        assert old_node_id not in {m.node_id for m in reply.membership.members}
        assert await fleet.leader(fleet.others(leader)) is not leader
        with pytest.raises(NotFound):
            await leader.operator.RemoveVoter(operator_pb2.MemberRequest(node_id=old_node_id))
        await stream.wait_for_more()
        await stream.stop()
        await stream.check(fleet.vms)

    run_fleet(tmp_path, scenario, domains=("a", "b", "c", "a"), vms_with_disk=4)


def test_cluster_recovers_after_more_changes_than_the_log_keeps(tmp_path):
    # The log is compacted every 1,000 entries: a voter that was stopped receives a snapshot, and
    # all voters restart from one.
    async def scenario(fleet):
        stream = ChangeStream(fleet.vms)
        await stream.wait_for_more(20)
        stopped = fleet.others(await fleet.leader())[0]
        stopped.kill()
        running = fleet.others(stopped)
        versions = [0] * 100
        for _ in range(12):
            changes = (
                running[n % 2].put_service(f"many{n}", version)
                for n, version in enumerate(versions)
            )
            versions = [reply.version for reply in await asyncio.gather(*changes)]
        await stream.stop()
        stopped.start()
        await wait_until(stopped.ready, "the restarted voter is ready")
        last_version = max(versions)
        await fleet.wait_in_force(last_version)

        async def has_snapshot():
            return (await stopped.dump())["consensus"]["log"]["core"]["snapshot_index"] >= 1000

        # The revision may arrive by the exchange between VMs before the leader's snapshot.
        assert await wait_until(has_snapshot, "the restarted voter has the leader's snapshot")
        for vm in fleet.vms:
            vm.kill()
        for vm in fleet.vms:
            vm.start()
        for vm in fleet.vms:
            await wait_until(vm.ready, f"{vm.vm_id} is ready")
        await stream.check(fleet.vms)
        assert (await fleet.vms[0].put_service("more")).revision > last_version

    run_fleet(tmp_path, scenario)


def test_second_daemon_on_a_data_folder_exits_and_the_first_stays_reachable(tmp_path):
    async def scenario(fleet):
        vm = fleet.vms[0]
        path = fleet.folder / "second.toml"
        text = (fleet.folder / f"{vm.vm_id}.toml").read_text()
        text = text.replace(f":{vm.http}", f":{free_port()}")
        path.write_text(text.replace(f'grpc = "{vm.address}"', f'grpc = "127.0.0.1:{free_port()}"'))
        command = [sys.executable, str(TESTS / "relayed_daemon.py"), f"--settings={path}"]
        second = fleet.spawn(command, fleet.folder / "second.log")
        await wait_until(lambda: second.exit_code is not None, "the second daemon exits")
        assert second.exit_code == 8, second.log_tail()
        status = await fleet.vms[1].status()
        assert all(vm_status.reachable for vm_status in status.vms)

    run_fleet(tmp_path, scenario)


def test_drained_vm_is_not_ready_until_the_drain_ends(tmp_path):
    async def scenario(fleet):
        leader = await fleet.leader()
        drain = operator_pb2.DrainRequest(vm_id=leader.vm_id, drained=True, change_id="d1")
        first = await fleet.others(leader)[0].operator.DrainVm(drain)
        await wait_until(lambda: not_ready(leader), "the drained VM is not ready")
        new_leader = await fleet.leader(fleet.others(leader))
        assert await new_leader.operator.DrainVm(drain) == first
        drain = operator_pb2.DrainRequest(vm_id=leader.vm_id, drained=False, change_id="d2")
        await new_leader.operator.DrainVm(drain)
        await wait_until(leader.ready, "the VM is ready again")

    run_fleet(tmp_path, scenario)


async def not_ready(vm):
    return not await vm.ready()
