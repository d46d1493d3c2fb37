"""Execution of requests that are forwarded to one or several services, without I/O."""

from bramleycrank.scatter.budget import RetryBudget
from bramleycrank.scatter.execution import ScatterExecution
from bramleycrank.scatter.merge import merge_records
from bramleycrank.scatter.policy import ScatterPolicy
from bramleycrank.scatter.types import (
    Answer,
    Cancel,
    FailureKind,
    FinalAction,
    Forward,
    Merged,
    Part,
    Refusal,
    RefusalCause,
    ReportLosses,
    SubFailure,
    TargetReply,
)

__all__ = [
    "Answer",
    "Cancel",
    "FailureKind",
    "FinalAction",
    "Forward",
    "Merged",
    "Part",
    "Refusal",
    "RefusalCause",
    "ReportLosses",
    "RetryBudget",
    "ScatterExecution",
    "ScatterPolicy",
    "SubFailure",
    "TargetReply",
    "merge_records",
]
