"""Guards against a reference in docs/guarantees.md to a test that does not exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_each_referenced_test_exists():
    names = re.findall(r"`(tests/\w+\.py)::(\w+)`", (ROOT / "docs/guarantees.md").read_text())
    missing = [
        f"{path}::{name}"
        for path, name in names
        if not re.search(
            rf"^(async )?(def|class) {name}\b|^{name} = ", (ROOT / path).read_text(), re.M
        )
    ]
    assert names
    assert missing == []
