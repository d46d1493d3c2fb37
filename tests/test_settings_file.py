"""Tests the detection of changes of a settings file, with and without a signal."""

from __future__ import annotations

import asyncio
import os

from bramleycrank.daemon import settings_file
from bramleycrank.daemon.settings_file import SettingsFile
from bramleycrank.exceptions import InvalidSettings


def load(path):
    text = path.read_text()
    if text == "bad":
        raise InvalidSettings(["bad"])
    return text


def write(path, text: str) -> None:
    """Write a file with a modification time later than the previous one."""
    before = path.stat().st_mtime_ns if path.exists() else 0
    path.write_text(text)
    os.utime(path, ns=(before + 1_000_000, before + 1_000_000))


def test_change_is_reported_once_the_file_stays_unchanged(tmp_path):
    path = tmp_path / "conf"
    write(path, "one")
    file = SettingsFile(path, load)
    assert file.load() == "one"
    assert not file.has_changed()
    write(path, "tw")
    assert not file.has_changed(), "it may still be written"
    write(path, "two")
    assert not file.has_changed()
    assert file.has_changed()
    assert file.reload() == "two"
    assert not file.has_changed()


def test_replaced_file_of_the_same_size_is_reported_as_changed(tmp_path):
    path = tmp_path / "conf"
    write(path, "one")
    file = SettingsFile(path, load)
    file.load()
    other = tmp_path / "other"
    other.write_text("two")
    os.replace(other, path)
    file.has_changed()
    assert file.has_changed()


def test_invalid_or_absent_file_is_logged_once_and_the_next_valid_one_is_loaded(tmp_path, caplog):
    path = tmp_path / "conf"
    write(path, "one")
    file = SettingsFile(path, load)
    file.load()
    write(path, "bad")
    file.has_changed()
    assert file.has_changed()
    assert file.reload() is None
    assert not file.has_changed(), "it is not read again until it changes"
    path.unlink()
    assert not any([file.has_changed(), file.has_changed(), file.has_changed()])
    assert [record.message for record in caplog.records] == [
        "process: settings were not reloaded",
        "process: no settings file",
    ]
    write(path, "three")
    file.has_changed()
    assert file.has_changed()
    assert file.reload() == "three"


def test_watch_calls_back_without_a_signal(tmp_path, monkeypatch):
    monkeypatch.setattr(settings_file, "POLL_INTERVAL_S", 0.01)
    path = tmp_path / "conf"
    write(path, "one")
    file = SettingsFile(path, load)
    file.load()

    async def body() -> list:
        loaded, changed = [], asyncio.Event()

        def on_change() -> None:
            loaded.append(file.reload())
            changed.set()

        watch_task = asyncio.ensure_future(file.watch(on_change))
        write(path, "two")
        async with asyncio.timeout(5):
            await changed.wait()
        watch_task.cancel()
        return loaded

    assert asyncio.run(body()) == ["two"]
