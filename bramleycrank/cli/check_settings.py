"""The command that checks a settings file."""

from __future__ import annotations

from bramleycrank.cli.context import Context, DeferredCommand
from bramleycrank.settings import Settings
from bramleycrank.standin.settings import StandInSettings


def check_settings(context: Context, path: str, standin: bool) -> DeferredCommand:
    """Return the command that checks a file; it raises `InvalidSettings` with all problems.

    Parameters
    ----------
    context : Context
        Output format.
    path : str
        TOML file.
    standin : bool
        Whether the file is for the stand-in target.
    """

    async def run() -> None:
        (StandInSettings if standin else Settings).load(path)
        context.show({"result": "ok", "file": path}, f"{path}: ok")

    return DeferredCommand(run)
