"""Identities and addresses of VMs."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

import attrs


class Directory(Protocol):
    """Lookup of the addresses of VMs."""

    def leader_address(self) -> str:
        """Return the leader's ``host:port`` as known from gossip, or an empty string."""

    def vm_address(self, vm_id: str) -> str:
        """Return the ``host:port`` of a VM, or an empty string."""

    def addresses(self) -> Sequence[str]:
        """Return the addresses of VMs that may be alive, without this one."""


@attrs.frozen(kw_only=True)
class Identity:
    """Identity and address of this VM.

    Parameters
    ----------
    replace_damaged : bool
        Whether a damaged log is replaced by an empty one with a new node id. Allowed only where
        voters are admitted without an operator: the VM then returns as a learner.
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
        """Address at which other VMs reach this VM."""
        return format_address(self.host, self.port)


def format_address(host: str, port: int) -> str:
    """Return ``host:port``, with brackets around an IPv6 address."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
