"""The list of mechanisms and the table of their effects."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from bench.ablation import table
from bench.mechanisms import MECHANISMS, Edit

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda m: m.name)
def test_each_mechanism_can_be_disabled(mechanism, tmp_path):
    """Guards against entries whose constant was renamed or removed in the code."""
    for module in {edit.module for edit in mechanism.edits}:
        path = tmp_path / "bramleycrank" / f"{module}.py"
        path.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / "bramleycrank" / f"{module}.py", path)
    for edit in mechanism.edits:
        path = tmp_path / "bramleycrank" / f"{edit.module}.py"
        before = path.read_text()
        edit.apply(tmp_path)
        compile(path.read_text(), str(path), "exec")
        assert path.read_text() != before


def test_an_edit_of_an_unknown_constant_raises_lookup_error(tmp_path):
    (tmp_path / "bramleycrank").mkdir()
    (tmp_path / "bramleycrank" / "a.py").write_text("B = 1\n")
    with pytest.raises(LookupError):
        Edit("a", "C", "2").apply(tmp_path)


def test_the_table_shows_the_change_in_score_by_day():
    results = {"all": {"s d1": 0.8, "s d2": 0.7}, "hedging": {"s d1": 0.75, "s d2": 0.71}}
    assert "| -50 | +10 | -20 |" in table(results)
