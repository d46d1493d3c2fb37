"""The control plane of a VM: gossip, replicated log and configuration."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import attrs

from bramleycrank.consensus import LogBounds
from bramleycrank.daemon.config_controller import ConfigController
from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.directory import PeerDirectory
from bramleycrank.daemon.identity import Identity
from bramleycrank.daemon.leave_log import LeaveLog
from bramleycrank.daemon.membership_controller import MembershipController
from bramleycrank.daemon.voter_changes import VoterChanges
from bramleycrank.exceptions import StorageError
from bramleycrank.membership import MembershipConfig
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.traffic import Traffic
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.settings import Settings
from bramleycrank.storage import ConfigCache
from bramleycrank.transport.peer_client import PeerClients

log = logging.getLogger(__name__)


@attrs.define
class ControlParts:
    """The parts that every VM has, independent of what it serves."""

    clients: PeerClients
    peers: PeerDirectory
    membership: MembershipController
    consensus: ConsensusController
    config: ConfigController
    voters: VoterChanges
    leaves: LeaveLog
    metrics: Metrics

    @classmethod
    def from_config(
        cls,
        cfg: Settings,
        metrics: Metrics,
        rng: random.Random,
        membership_cfg: MembershipConfig | None = None,
        *,
        replace_damaged: bool = False,
        control_only: bool = False,
        delegation_port: int = 0,
        decode_routes: Callable[[bytes], log_pb2.RouteTable] | None = None,
        has_customers: Callable[[bytes], bool] = lambda document: True,
        log_bounds: LogBounds | None = None,
    ) -> ControlParts:
        """Build and connect the parts without starting them.

        Parameters
        ----------
        cfg : Settings
            Settings of the VM.
        metrics : Metrics
            Receiver of metrics.
        rng : random.Random
            Source of all randomness.
        membership_cfg : MembershipConfig, optional
            Options of the membership; those of the settings by default.
        replace_damaged : bool, optional
            Whether a damaged log is replaced by an empty one.
        control_only : bool, optional
            Whether the VM serves no callers and so sends nothing to targets.
        delegation_port : int, optional
            Port for requests of other VMs that cannot reach their targets; 0 for none.
        decode_routes : callable, optional
            Decodes the operator's document of a route table that an older build accepted.
        has_customers : callable, optional
            Returns whether such a document has customers, also if it cannot be decoded.
        log_bounds : LogBounds, optional
            Bounds on the bytes of the replicated log.
        """
        traffic = Traffic(metrics)
        clients = PeerClients(traffic)
        seeds = [str(seed) for seed in cfg.peers.seeds]
        membership = MembershipController(
            membership_cfg or _membership_config(cfg),
            _vm_record(cfg, control_only, delegation_port),
            seeds,
            clients,
            rng=rng,
            metrics=metrics,
        )
        traffic.is_remote = membership.core.is_remote
        directory = PeerDirectory(membership, seeds, clients)
        consensus = ConsensusController(
            _identity_of(cfg, replace_damaged),
            directory,
            clients,
            rng,
            metrics,
            traffic,
            log_bounds,
        )
        config = ConfigController(
            cfg.config,
            consensus,
            directory,
            clients,
            _open_config_cache(cfg),
            rng,
            decode_routes,
            has_customers,
        )
        directory.leader_address = config.leader_address
        membership.set_config_status(config.status)
        membership.subscribe_config_status(config.on_gossip)
        membership.subscribe_config_replies(config.on_gossip)
        voters = VoterChanges(consensus, clients)
        leaves = LeaveLog(consensus, config.confirmed_index, metrics)
        membership.set_leave_log(leaves)
        return cls(clients, directory, membership, consensus, config, voters, leaves, metrics)


def _identity_of(cfg: Settings, replace_damaged: bool) -> Identity:
    return Identity(
        vm_id=cfg.vm.id,
        domain=cfg.vm.domain,
        host=cfg.listen.grpc.host,
        port=cfg.listen.grpc.port,
        data_dir=cfg.storage.data_dir if cfg.storage else None,
        vote=bool(cfg.storage and cfg.storage.vote),
        replace_damaged=replace_damaged,
    )


def _vm_record(cfg: Settings, control_only: bool, delegation_port: int) -> peer_pb2.VmRecord:
    grpc = cfg.listen.grpc
    return peer_pb2.VmRecord(
        vm_id=cfg.vm.id,
        domain=cfg.vm.domain,
        host=grpc.host,
        port=grpc.port,
        control_only=control_only,
        delegation_port=delegation_port,
    )


def _membership_config(cfg: Settings) -> MembershipConfig:
    options = cfg.membership
    return MembershipConfig(
        probe_period_s=options.probe_period_s,
        lease_s=options.lease_s,
        renew_s=options.renew_s,
        sync_period_s=options.sync_period_s,
    )


def _open_config_cache(cfg: Settings) -> ConfigCache | None:
    if cfg.storage is None:
        return None
    try:
        return ConfigCache.open(cfg.storage.data_dir)
    except OSError as exc:
        raise StorageError(f"{cfg.storage.data_dir}: {exc}") from exc
