"""The replicated state machine."""

from __future__ import annotations

from collections import OrderedDict

from google.protobuf.message import DecodeError

from bramleycrank.proto.log_pb2 import (
    Change,
    ClaimFloor,
    Command,
    CommandResult,
    Entry,
    RememberedChange,
    ResultCode,
    StateImage,
)
from bramleycrank.state.claims import ClaimTable
from bramleycrank.state.config_state import ConfigState
from bramleycrank.state.target_leaves import LeaveTable
from bramleycrank.state.types import REMEMBERED_CHANGES
from bramleycrank.state.validation import has_change_id

_CLAIM_TAG = bytes([StateImage.CLAIMS_FIELD_NUMBER << 3 | 2])


class ReplicatedState:
    """State machine that holds the configuration, the claims and the leaves of targets.

    It depends on no clocks, random numbers or set order, so equal logs give equal states and equal
    images on every node.
    """

    def __init__(self) -> None:
        self.config = ConfigState()
        self.claims = ClaimTable()
        self.leaves = LeaveTable()
        self._changes: OrderedDict[str, CommandResult] = OrderedDict()

    @classmethod
    def from_image(cls, data: bytes) -> ReplicatedState:
        """Build the state from an image; empty data gives the empty state."""
        image = StateImage.FromString(data)
        state = cls()
        state.config = ConfigState.from_image(image.config, image.deltas)
        state.claims = ClaimTable.from_claims(image.claims, image.claims_floor_ms)
        state.leaves = LeaveTable.from_message(image.target_leaves)
        state._changes.update((item.change_id, item.result) for item in image.changes)
        return state

    def image(self) -> bytes:
        """Return the serialized ``StateImage``."""
        rest = StateImage(
            config=self.config.image(),
            deltas=self.config.deltas(),
            changes=[
                RememberedChange(change_id=change_id, result=result)
                for change_id, result in self._changes.items()
            ],
            claims_floor_ms=self.claims.floor_ms,
            target_leaves=self.leaves.message(),
        ).SerializeToString(deterministic=True)
        # Protobuf allows joining the serialized parts of a message. The claims are stored
        # serialized already.
        return b"".join((rest, *map(_encode_claim_field, self.claims.serialized())))

    def apply(self, entry: Entry) -> CommandResult:
        """Apply a committed entry.

        Returns
        -------
        CommandResult
            Result for the proposer. An entry without a command changes nothing and is OK. A
            command that cannot be parsed is INVALID on every node.
        """
        if entry.WhichOneof("body") != "command":
            return self._with_revision(CommandResult(code=ResultCode.RESULT_CODE_OK))
        try:
            command = Command.FromString(entry.command)
        except DecodeError:
            command = Command()
        if command.WhichOneof("body") == "change":
            return self._apply_change(command.change)
        return self._with_revision(self._apply_command(command))

    def floor_proposal(self, now_ms: int) -> Command | None:
        """Return the command that raises the claims floor, or ``None`` if it is high enough.

        Parameters
        ----------
        now_ms : int
            Unix time of the leader in milliseconds. The floor prevents repeated execution even if
            this clock is wrong; the clock only affects how long answers are kept.
        """
        floor_ms = self.claims.next_floor_ms(now_ms)
        if floor_ms is None:
            return None
        return Command(claim_floor=ClaimFloor(floor_ms=floor_ms))

    def dump(self) -> dict[str, object]:
        """Return sizes, versions and the claims floor for operators."""
        return {
            "revision": self.config.revision,
            "services": {name: item.version for name, item in self.config.services.items()},
            "vms": {name: item.version for name, item in self.config.vms.items()},
            "evacuated_domains": sorted(
                name for name, item in self.config.domains.items() if item.evacuated
            ),
            "remembered_changes": len(self._changes),
            "claims": len(self.claims),
            "claims_floor_ms": self.claims.floor_ms,
            "answer_bytes": self.claims.answer_bytes,
            "target_leaves": len(self.leaves),
        }

    def _with_revision(self, result: CommandResult) -> CommandResult:
        result.revision = self.config.revision
        return result

    def _apply_command(self, command: Command) -> CommandResult:
        match command.WhichOneof("body"):
            case "claim_open":
                return self.claims.open(command.claim_open)
            case "claim_complete":
                return self.claims.complete(command.claim_complete)
            case "claim_abandon":
                return self.claims.abandon(command.claim_abandon)
            case "claim_floor":
                self.claims.raise_floor(command.claim_floor.floor_ms)
                return CommandResult(code=ResultCode.RESULT_CODE_OK)
            case "target_leaves":
                self.leaves.record(command.target_leaves.leaves)
                return CommandResult(code=ResultCode.RESULT_CODE_OK)
        return CommandResult(code=ResultCode.RESULT_CODE_INVALID, message="unreadable command")

    def _apply_change(self, change: Change) -> CommandResult:
        """Apply a change once; a resend gets the first result, also if that was an error."""
        if not has_change_id(change):
            message = "the change id is missing or too long"
            result = CommandResult(code=ResultCode.RESULT_CODE_INVALID, message=message)
            return self._with_revision(result)
        if (first := self._changes.get(change.change_id)) is not None:
            return _copy_result(first)
        result = self.config.apply_change(change)
        self._changes[change.change_id] = _copy_result(result)
        if len(self._changes) > REMEMBERED_CHANGES:
            self._changes.popitem(last=False)
        return result


def with_leaves(data: bytes, *tables: LeaveTable) -> bytes:
    """Return an image with the leaves of some tables, if it is of a build that keeps none."""
    if StateImage.FromString(data).HasField("target_leaves"):
        return data
    leaves = LeaveTable()
    for table in tables:
        leaves.record(table.message().leaves)
    # Protobuf allows joining the serialized parts of a message.
    return data + StateImage(target_leaves=leaves.message()).SerializeToString()


def _copy_result(result: CommandResult) -> CommandResult:
    copy = CommandResult()
    copy.CopyFrom(result)
    return copy


def _encode_claim_field(claim: bytes) -> bytes:
    """Encode a serialized claim as an element of ``StateImage.claims``: tag, varint, bytes."""
    length, remaining = bytearray(), len(claim)
    while remaining > 0x7F:
        length.append(remaining & 0x7F | 0x80)
        remaining >>= 7
    length.append(remaining)
    return _CLAIM_TAG + length + claim
