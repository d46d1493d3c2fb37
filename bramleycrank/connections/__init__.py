"""Connection monitor and connection budgets, without I/O."""

from bramleycrank.connections.budgets import ConnectionBudget, ReconnectBudget, slot_share
from bramleycrank.connections.monitor import ConnectionMonitor
from bramleycrank.connections.types import (
    CloseConnection,
    CloseReason,
    ConnectionConfig,
    OpenConnection,
    SendPing,
    TargetDown,
    TargetUp,
)

__all__ = [
    "CloseConnection",
    "CloseReason",
    "ConnectionBudget",
    "ConnectionConfig",
    "ConnectionMonitor",
    "OpenConnection",
    "ReconnectBudget",
    "SendPing",
    "TargetDown",
    "TargetUp",
    "slot_share",
]
