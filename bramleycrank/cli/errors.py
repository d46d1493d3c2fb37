"""The command that lists the error codes."""

from __future__ import annotations

from bramleycrank.cli.context import Context, DeferredCommand
from bramleycrank.cli.output import table
from bramleycrank.exceptions import BramleycrankError, InternalError, error_types


def error_rows() -> list[tuple[int, str, int, int, str]]:
    """Return code, name, HTTP status, exit code and meaning of each error type."""
    types = [InternalError if t is BramleycrankError else t for t in error_types().values()]
    return sorted(
        (t.code, t.__name__, t.http_status, t.exit_code, (t.__doc__ or "").split("\n")[0])
        for t in types
    )


def errors(context: Context) -> DeferredCommand:
    """Return the command that lists the error codes."""

    async def run() -> None:
        headers = ("CODE", "NAME", "HTTP", "EXIT", "MEANING")
        keys = ("code", "name", "http_status", "exit_code", "meaning")
        data = {"errors": [dict(zip(keys, row, strict=True)) for row in error_rows()]}
        context.show(data, table(headers, error_rows()))

    return DeferredCommand(run)
