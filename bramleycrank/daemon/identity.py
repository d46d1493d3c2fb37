"""Who and where VMs are."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

import attrs


class Directory(Protocol):
    """What other parts know of VMs."""

    def leader_address(self) -> str:
        """Return the leader's ``host:port`` as gossip tells it, or an empty string."""

    def vm_address(self, vm_id: str) -> str:
        """Return the ``host:port`` of a VM, or an empty string."""

    def addresses(self) -> Sequence[str]:
        """Return the addresses of VMs that may be alive, without this one."""


@attrs.frozen(kw_only=True)
class Identity:
    """Who and where this VM is.

    Parameters
    ----------
    replace_damaged : bool
        Whether a damaged log is replaced by an empty one, under a new node id. Only where voters
        are admitted without an operator: the VM then comes back as a learner.
    """

    vm_id: str
    domain: str
    host: str
    port: int
    data_dir: Path | None = None
    vote: bool = False
    replace_damaged: bool = False

    @property
    def address(self) -> str:
        """Address for other VMs."""
        return format_address(self.host, self.port)


def format_address(host: str, port: int) -> str:
    """Return ``host:port``, with brackets around an IPv6 number."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
