"""How many connections a VM accepts at each of its addresses."""

from __future__ import annotations

import resource

import attrs

RESERVED_FDS = 200
"""Descriptors for files, listening sockets and calls between VMs."""

CALLERS_SHARE = 0.6
"""Part of the other descriptors for callers, or for operators and targets at a VM without callers.

The rest is for connections to targets and other VMs.
"""

PEERS_SHARE = 0.1
"""Part for requests of other VMs, and for operators at a VM with callers."""

CHECKS = 32
"""Connections for readiness checks, and as many for requests of the metrics."""

CONNECTION_BYTES = 16 * 1024
"""Memory of a connection with a small request in progress."""

MEMORY_SHARE = 1 / 6
"""Part of a VM's memory for connections, beside the messages on them."""


@attrs.frozen
class ConnectionLimits:
    """Most open connections at each address.

    Parameters
    ----------
    callers, peers, control, checks : int
        Connections of callers, of other VMs with requests, of operators and targets, and of each
        of the two kinds of checks.
    """

    callers: int
    peers: int
    control: int
    checks: int = CHECKS

    @classmethod
    def from_resources(
        cls, memory_bytes: int, max_fds: int, *, serves_callers: bool
    ) -> ConnectionLimits:
        """Return the limits for a VM.

        Parameters
        ----------
        memory_bytes : int
            Memory limit in bytes; 0 if unknown.
        max_fds : int
            Descriptor limit; 0 if it is that of the process.
        serves_callers : bool
            Whether callers connect to the VM.
        """
        limit = max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        fds = max(limit - RESERVED_FDS, RESERVED_FDS)
        most = int(CALLERS_SHARE * fds)
        if memory_bytes:
            most = min(most, int(MEMORY_SHARE * memory_bytes / CONNECTION_BYTES))
        fewer = min(most, int(PEERS_SHARE * fds))
        return cls(most, fewer, fewer if serves_callers else most)
