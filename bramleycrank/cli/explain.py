"""The command that tells the story of a request from log files."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from bramleycrank.cli.context import Context, Pending
from bramleycrank.exceptions import InvalidRequest, NotFound, Outcome

HIDDEN_FIELDS = frozenset({"level", "logger", "message", "time", "vm", "request_id"})
"""Fields that have a place of their own in a line of the story, or say nothing in it."""


def explain(context: Context, request_id: str, files: Sequence[str]) -> Pending:
    """Return the command that prints the log lines of a request in the order of their time.

    Parameters
    ----------
    context : Context
        Output form.
    request_id : str
        Identifier of the request, or of a target or another VM that a line names.
    files : sequence of str
        Log files with one JSON object a line; other lines are passed over.
    """

    async def run() -> None:
        lines = sorted(
            (line for name in files for line in _lines(Path(name), request_id)),
            key=lambda line: str(line.get("time", "")),
        )
        if not lines:
            raise NotFound(
                f"no line of {len(files)} files names {request_id!r}", outcome=Outcome.NOT_RUN
            )
        context.show({"lines": lines}, "\n".join(map(_text, lines)))

    return Pending(run)


def _lines(path: Path, wanted: str) -> Iterator[dict[str, Any]]:
    try:
        with path.open(errors="replace") as file:
            candidates = [line[line.find("{") :] for line in file if wanted in line and "{" in line]
    except OSError as exc:
        raise InvalidRequest(f"{path}: {exc}", outcome=Outcome.NOT_RUN) from exc
    for text in candidates:
        try:
            line = json.loads(text)
        except ValueError:
            continue
        if isinstance(line, dict):
            yield line


def _text(line: dict[str, Any]) -> str:
    fields = (f"{key}={value}" for key, value in line.items() if key not in HIDDEN_FIELDS)
    return " ".join(
        [str(line.get("time", "")), str(line.get("vm", "")), str(line.get("message", "")), *fields]
    )
