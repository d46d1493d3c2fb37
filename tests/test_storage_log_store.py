"""Tests of the data folder: power loss at any point, damage, identity and lock."""

import copy
import os
import shutil
import tempfile
from pathlib import Path

import attrs
import pytest
from consensus_cluster import MemoryDisk, hypothesis_settings
from hypothesis import given
from hypothesis import strategies as st

from bramleycrank.consensus import Persist
from bramleycrank.exceptions import CorruptLog, FolderInUse, StorageError
from bramleycrank.proto.log_pb2 import Entry, HardState, LogSnapshot
from bramleycrank.storage import LogStore, segment


class Crash(Exception):
    """Simulated power loss before a sync."""


@attrs.define(eq=False)
class SyncedFile:
    """Synced content of one file, under any name."""

    content: bytes = b""


class PowerLoss:
    """Tracks file operations in one folder to simulate its state after a power loss.

    A file keeps its synced content and any prefix of the bytes appended since. The file names are
    those of the folder's last sync, or the current ones.
    """

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.folder = folder
        self.current: dict[str, SyncedFile] = {}
        self.durable: dict[str, SyncedFile] = {}
        self.syncs_left: int | None = None
        replace, unlink = os.replace, os.unlink

        def on_replace(source, target):
            replace(source, target)
            self.current[Path(target).name] = self.current.pop(Path(source).name, SyncedFile())

        def on_unlink(path, **options):
            unlink(path, **options)
            self.current.pop(Path(path).name, None)

        monkeypatch.setattr(os, "fsync", self._on_sync)
        monkeypatch.setattr(os, "replace", on_replace)
        monkeypatch.setattr(os, "unlink", on_unlink)

    def _on_sync(self, fd: int) -> None:
        path = Path(os.readlink(f"/proc/self/fd/{fd}"))
        if path != self.folder and path.parent != self.folder:
            return
        if self.syncs_left is not None:
            if self.syncs_left == 0:
                raise Crash
            self.syncs_left -= 1
        if path == self.folder:
            self.durable = dict(self.current)
        else:
            self.current.setdefault(path.name, SyncedFile()).content = path.read_bytes()

    def write_remains(self, target: Path, current_names: bool, torn_bytes: int) -> None:
        """Write the state after the power loss to another folder."""
        target.mkdir()
        for name, file in (self.current if current_names else self.durable).items():
            real = self.folder / name
            written = real.read_bytes() if real.exists() else b""
            tail = written[len(file.content) :] if written.startswith(file.content) else b""
            (target / name).write_bytes(file.content + tail[:torn_bytes])


def entries_from(disk: MemoryDisk, start: int, terms: list[int]) -> list[Entry]:
    return [Entry(index=start + i, term=t, command=bytes([t]) * 9) for i, t in enumerate(terms)]


def next_persist(disk: MemoryDisk, data: st.DataObject) -> Persist:
    """Draw a persist action that is valid for the content of the disk."""
    content = disk.content
    last = content.first_index + len(content.entries) - 1
    term = content.hard_state.term + data.draw(st.integers(0, 1))
    truncate = data.draw(st.sampled_from([0, 0, last])) if last >= content.first_index else 0
    start = truncate or last + 1
    entries = entries_from(disk, start, [term] * data.draw(st.integers(0, 4)))
    hard_state = HardState(term=term, voted_for=data.draw(st.sampled_from(["", "a/1"])))
    return Persist(hard_state if data.draw(st.booleans()) else None, truncate, entries)


def next_snapshot(disk: MemoryDisk, data: st.DataObject) -> LogSnapshot:
    """Draw a snapshot of own entries, or one of a leader that conflicts with them."""
    content = disk.content
    offset = data.draw(st.integers(0, len(content.entries) + 1))
    own_term = content.entries[offset].term if offset < len(content.entries) else 99
    term = data.draw(st.sampled_from([own_term, 99]))
    return LogSnapshot(index=content.first_index + offset, term=term, image=b"image")


def as_tuple(durable) -> tuple:
    return (durable.hard_state, durable.snapshot, list(durable.entries))


def torn_states(before: MemoryDisk, action: Persist, *, in_batches: bool) -> list[tuple]:
    """Return the states that a power loss during an action may leave, beside the one before it."""
    count = len(action.entries)
    states = []
    for kept in range(1, count + 1) if in_batches and count else [count]:
        disk = copy.deepcopy(before)
        disk.content.apply(attrs.evolve(action, entries=action.entries[:kept]))
        states.append(as_tuple(disk.load()))
    return states


@hypothesis_settings(150)
@given(data=st.data())
def test_a_power_loss_at_any_point_keeps_what_was_persisted(data):
    """Guards against a missing sync and against a crash between the files of a snapshot.

    An action with many bytes is written in several batches, of which any number may remain.
    """
    root = Path(tempfile.mkdtemp())
    monkeypatch = pytest.MonkeyPatch()
    in_batches = data.draw(st.booleans())
    if in_batches:
        monkeypatch.setattr(segment, "BATCH_BYTES", 1)
    try:
        folder, disk = root / "data", MemoryDisk()
        power = PowerLoss(folder, monkeypatch)
        store = LogStore.open(folder, "vm")
        allowed = [as_tuple(disk.load())]
        crash_in = data.draw(st.integers(0, 8))
        for step in range(8):
            if step == crash_in:
                power.syncs_left = data.draw(st.integers(0, 6))
            try:
                if data.draw(st.integers(0, 3)):
                    action = next_persist(disk, data)
                    remains = torn_states(disk, action, in_batches=in_batches)
                    disk.content.apply(action)
                    store.persist(action)
                else:
                    snapshot = next_snapshot(disk, data)
                    disk.save_snapshot(snapshot)
                    remains = [as_tuple(disk.load())]
                    store.save_snapshot(snapshot)
            except Crash:
                allowed += remains
                break
            allowed = [as_tuple(disk.load())]
        power.write_remains(root / "left", data.draw(st.booleans()), data.draw(st.integers(0, 200)))
        node_id = store.node_id
        store.close()
        power.syncs_left = None
        reopened = LogStore.open(root / "left", "vm")
        assert reopened.node_id == node_id
        assert as_tuple(reopened.load()) in allowed
        reopened.persist(Persist(HardState(term=1000)))
        reopened.close()
        again = LogStore.open(root / "left", "vm")
        assert again.load().hard_state.term == 1000
        again.close()
    finally:
        monkeypatch.undo()
        shutil.rmtree(root)


@pytest.mark.parametrize("current_names", [False, True])
@pytest.mark.parametrize("syncs", range(5))
def test_a_power_loss_while_the_folder_is_created_leaves_it_usable(
    tmp_path, monkeypatch, syncs, current_names
):
    """Guards against a partially created folder that prevents a new VM from starting."""
    with monkeypatch.context() as patch:
        power = PowerLoss(tmp_path / "data", patch)
        power.syncs_left = syncs
        try:
            LogStore.open(tmp_path / "data", "vm").close()
        except Crash:
            power.write_remains(tmp_path / "left", current_names, 10)
    if (tmp_path / "left").exists():
        store = LogStore.open(tmp_path / "left", "vm")
        assert as_tuple(store.load()) == as_tuple(MemoryDisk().load())
        store.close()
    else:
        assert syncs == 4


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a closed folder whose log has three frames after its first."""
    store = LogStore.open(tmp_path / "data", "vm")
    store.save_snapshot(LogSnapshot(index=1, term=1))
    for term in (1, 2, 3):
        entries = [Entry(index=1 + term, term=term, command=b"x" * 20)]
        store.persist(Persist(HardState(term=term, voted_for="vm/1"), 0, entries))
    store.close()
    return tmp_path / "data"


def frame_ends(data: bytes) -> list[int]:
    ends = [0]
    while ends[-1] < len(data):
        start = ends[-1]
        ends.append(start + 8 + int.from_bytes(data[start : start + 4], "little"))
    return ends


def reopened_term(folder: Path) -> int:
    store = LogStore.open(folder, "vm")
    store.close()
    return store.load().hard_state.term


@pytest.mark.parametrize("tail", [b"", b"\0" * 40, b"\xff" * 40], ids=["cut", "zeros", "ones"])
def test_a_log_truncated_at_any_byte_of_its_last_frame_opens_without_it(folder, tail):
    """Guards against a torn write that prevents a start or is read in part."""
    path = folder / "log-1"
    data = path.read_bytes()
    *_, start, end = frame_ends(data)
    for cut in range(start, end):
        path.write_bytes(data[:cut] + tail)
        assert reopened_term(folder) == 2
        assert path.read_bytes() == data[:start]
    path.write_bytes(data + tail)
    assert reopened_term(folder) == 3


def test_any_damaged_byte_before_the_last_frame_is_an_error(folder):
    """Guards against a node that loses its vote or entries because of disk corruption."""
    path = folder / "log-1"
    data = path.read_bytes()
    last = frame_ends(data)[-2]
    for position in range(last):
        path.write_bytes(data[:position] + bytes([data[position] ^ 0x41]) + data[position + 1 :])
        with pytest.raises(CorruptLog):
            LogStore.open(folder, "vm")
    path.write_bytes(data)
    assert reopened_term(folder) == 3


def test_a_stored_payload_that_looks_like_a_frame_is_not_reported_as_damage(tmp_path):
    """Guards against a stored answer of a caller that prevents a start after a torn write."""
    folder = tmp_path / "data"
    store = LogStore.open(folder, "vm")
    inner = LogStore.open(tmp_path / "other", "vm")
    inner.persist(Persist(HardState(term=9)))
    command = (tmp_path / "other" / "log-0").read_bytes()
    store.persist(Persist(None, 0, [Entry(index=1, term=1, command=command)]))
    store.close()
    inner.close()
    path = folder / "log-0"
    path.write_bytes(path.read_bytes()[:-1])
    assert reopened_term(folder) == 0


@pytest.mark.parametrize(
    ("lost", "error"),
    [("log-1", CorruptLog), ("snapshot-1", CorruptLog), ("identity", StorageError)],
)
def test_a_folder_with_a_missing_file_is_rejected(folder, lost, error):
    """Guards against a second vote in a term under an identity whose votes are lost."""
    (folder / lost).unlink()
    with pytest.raises(error):
        LogStore.open(folder, "vm")


def test_a_folder_has_one_owner_and_a_recreated_one_gets_a_new_identity(folder):
    """Guards against two processes in one folder and a new disk under an old node id."""
    store = LogStore.open(folder, "vm")
    with pytest.raises(FolderInUse):
        LogStore.open(folder, "vm")
    store.close()
    with pytest.raises(StorageError, match="belongs to VM vm"):
        LogStore.open(folder, "other")
    shutil.rmtree(folder)
    again = LogStore.open(folder, "vm")
    assert again.node_id.startswith("vm/") and again.node_id != store.node_id
    again.close()


def test_nothing_is_written_after_a_failed_write(folder, monkeypatch):
    """Guards against records after a partially written one, which would look like damage."""
    store = LogStore.open(folder, "vm")

    def fail(fd: int) -> None:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail)
        with pytest.raises(StorageError, match="No space"):
            store.persist(Persist(HardState(term=4)))
    with pytest.raises(StorageError, match="earlier"):
        store.persist(Persist(HardState(term=5)))
    store.close()
    assert reopened_term(folder) in (3, 4)
