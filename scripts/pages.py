#!/usr/bin/env python
"""Writes docs/settings.md, docs/metrics.md and docs/errors.md from the code.

Run it with the Python of the virtual environment after a change of options, metrics or error
types; a test compares the pages with the code.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs

from bramleycrank.cli.errors import error_rows
from bramleycrank.observability.metric_names import render as metrics_table
from bramleycrank.settings import Settings
from bramleycrank.settings.options import Option
from bramleycrank.standin.settings import StandInSettings

DOCS = Path(__file__).resolve().parent.parent / "docs"

SETTINGS_INTRO = """\
# Settings

The daemon and the stand-in target each read one TOML file. Everything is checked before any port
or file is opened: an unknown key, a wrong type, a value out of range and an impossible combination
each give one line with the file, the key, what was found and what is allowed. All problems are
reported at once, and the process ends with exit code 2. `bramleycrank check-settings FILE` checks a
file without starting anything (`--standin` for the stand-in target).

An option without a default is required. This page is written by `scripts/pages.py`.

## Daemon (`bramleycrankd --settings=FILE`)

Also checked: `listen.http` and `listen.grpc` differ; `listen.grpc` is not an unspecified address
such as 0.0.0.0; `query.initial_concurrency` is at most `query.max_concurrency`;
`membership.renew_s` is at most half of `membership.lease_s`.
"""

STANDIN_INTRO = """\
## Stand-in target (`bramleycrank-target --settings=FILE`)

Most options can also be given on the command line, such as `--shards=10`; `--help` lists them. The
command line goes before the file. Also checked: `fleet.only_domain` is one of `fleet.domains`, and
the ports of all targets are valid and differ from the control port.
"""

METRICS_INTRO = """\
# Metrics

With the section `[metrics]` a VM sends these metrics to a statsd server by UDP; without it, none.
Sending never blocks: a packet that cannot be sent at once is lost. Names follow the prefix of the
settings; a part in capitals varies. A VM of the HTTP entry serves the same metrics as text at its
metrics address instead, with durations in seconds and with histograms. This page is written by
`scripts/pages.py`.
"""

ERRORS_INTRO = """\
# Errors

The code is stable. It appears in HTTP answers, in the `bramleycrank-code` trailer of gRPC calls, in
logs and in messages of the command-line tool. Codes are grouped: 1xx invalid input, 2xx refused for
load or time, 3xx coverage and targets, 4xx at-most-once execution, 5xx configuration and consensus,
6xx storage, 7xx transport, 9xx internal. The exit code is that of the command-line tool and of the
daemon. `outcome` in an answer tells whether the request ran; see [user-guide.md](user-guide.md).
This page is written by `scripts/pages.py`.
"""


def settings_page() -> str:
    """Return the content of docs/settings.md."""
    parts = [SETTINGS_INTRO, *_sections(Settings), STANDIN_INTRO, *_sections(StandInSettings)]
    return "\n".join(parts)


def metrics_page() -> str:
    """Return the content of docs/metrics.md."""
    return f"{METRICS_INTRO}\n{metrics_table()}\n"


def errors_page() -> str:
    """Return the content of docs/errors.md."""
    lines = [f"| {' | '.join(map(str, row))} |" for row in error_rows()]
    head = ["| code | name | HTTP status | exit code | meaning |", "|---|---|---|---|---|"]
    return "\n".join([ERRORS_INTRO, *head, *lines, ""])


PAGES: dict[str, Callable[[], str]] = {
    "settings.md": settings_page,
    "metrics.md": metrics_page,
    "errors.md": errors_page,
}


def _sections(settings_type: type) -> Iterator[str]:
    for section in attrs.fields(settings_type):
        optional = " (optional section)" if section.metadata["optional"] else ""
        yield f"### `[{section.name}]`{optional}\n\n{section.metadata['meaning']}\n"
        yield "| option | default | unit | allowed | meaning |\n|---|---|---|---|---|"
        for field in attrs.fields(section.metadata["section"]):
            yield _row(field.name, field.default, field.metadata["option"])
        yield ""


def _row(name: str, default: object, option: Option) -> str:
    default_text = "required" if default is attrs.NOTHING else f"`{_toml(default)}`"
    unit = option.unit or "-"
    return f"| `{name}` | {default_text} | {unit} | {option.kind.allowed} | {option.meaning} |"


def _toml(value: object) -> str:
    """Return a default value in TOML syntax."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    return str(value) if isinstance(value, int | float) else f'"{value}"'


def main() -> None:
    """Write all pages."""
    for name, render in PAGES.items():
        (DOCS / name).write_text(render())


if __name__ == "__main__":
    sys.exit(main())
