"""Tests that the pages under docs agree with the code."""

import importlib.util
import inspect
import re
import shlex
from pathlib import Path

import pytest

from bramleycrank.cli.context import Context
from bramleycrank.cli.main import Commands, read_context
from bramleycrank.exceptions import error_types

ROOT = Path(__file__).resolve().parent.parent
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])


def generated():
    spec = importlib.util.spec_from_file_location("pages", ROOT / "scripts" / "pages.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.PAGES


@pytest.mark.parametrize("name", ["settings.md", "metrics.md", "errors.md"])
def test_generated_pages_are_up_to_date(name):
    """Guards against undocumented options, metrics and codes; run scripts/pages.py to update."""
    assert (ROOT / "docs" / name).read_text() == generated()[name]()


def test_the_errors_page_lists_each_code():
    """Guards against a renderer that drops error types."""
    found = re.findall(r"^\| (\d+) \| (\w+) \|", (ROOT / "docs" / "errors.md").read_text(), re.M)
    types = error_types()
    assert {int(code) for code, _ in found} == set(types)
    assert all(types[int(code)].__name__ in (name, "BramleycrankError") for code, name in found)


def commands():
    """Yield the arguments of each command line in the pages."""
    for page in PAGES:
        for line in re.sub(r"\\\n\s*", " ", page.read_text()).splitlines():
            match = re.match(r"(?: {4,})(?:\$ )?bramleycrank (.*)", line)
            if match:
                words = shlex.split(match.group(1), comments=True)
                yield pytest.param(words, id=f"{page.name}: {match.group(1)[:50]}")


@pytest.mark.parametrize("words", list(commands()))
def test_commands_in_the_pages_can_be_called(words):
    """Guards against procedures with commands or options that do not exist."""
    _, rest = read_context(words)
    member = Commands(Context())
    while rest and not callable(member):
        member = getattr(member, rest.pop(0).replace("-", "_"))
    options = {
        name.replace("-", "_"): value or "true"
        for name, _, value in (w[2:].partition("=") for w in rest if w.startswith("--"))
    }
    positional = [word for word in rest if not word.startswith("--")]
    assert inspect.signature(member).bind(*positional, **options)
    member(*positional, **options)  # converts and checks the values without running the command


def test_links_between_pages_resolve():
    """Guards against links to pages that do not exist."""
    for page in PAGES:
        for link in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
            assert (page.parent / link).is_file(), f"{page.name}: {link}"


def test_the_developers_page_copies_the_size_to_design_for():
    """Guards against two pages with different figures."""
    design = (ROOT / "docs" / "design.md").read_text()
    section = design.split("### 1.5 Size to design for\n")[1].split("### 1.6")[0]
    page = (ROOT / "docs" / "developer.md").read_text()
    assert page.split("## The size to design for\n")[1].split() == section.split()
