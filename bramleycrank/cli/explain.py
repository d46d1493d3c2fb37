"""The command that prints the log lines of a request."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from bramleycrank.cli.context import Context, DeferredCommand
from bramleycrank.exceptions import InvalidRequest, NotFound, Outcome

HIDDEN_FIELDS = frozenset({"level", "logger", "message", "time", "vm", "request_id"})
"""Fields that are printed in a fixed column or not at all."""


def explain(context: Context, request_id: str, files: Sequence[str]) -> DeferredCommand:
    """Return the command that prints the log lines of a request in order of time.

    Parameters
    ----------
    context : Context
        Output format.
    request_id : str
        Identifier of the request, or of a target or VM in the lines.
    files : sequence of str
        Log files with one JSON object per line; other lines are skipped.
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
        context.show({"lines": lines}, "\n".join(map(_format_line, lines)))

    return DeferredCommand(run)


def _lines(path: Path, search_text: str) -> Iterator[dict[str, Any]]:
    try:
        with path.open(errors="replace") as file:
            json_texts = [
                line[line.find("{") :] for line in file if search_text in line and "{" in line
            ]
    except OSError as exc:
        raise InvalidRequest(f"{path}: {exc}", outcome=Outcome.NOT_RUN) from exc
    for text in json_texts:
        try:
            line = json.loads(text)
        except ValueError:
            continue
        if isinstance(line, dict):
            yield line


def _format_line(line: dict[str, Any]) -> str:
    fields = (f"{key}={value}" for key, value in line.items() if key not in HIDDEN_FIELDS)
    return " ".join(
        [str(line.get("time", "")), str(line.get("vm", "")), str(line.get("message", "")), *fields]
    )
