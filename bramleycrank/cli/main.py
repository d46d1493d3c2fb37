"""Entry point of ``bramleycrank``."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Sequence

import fire

from bramleycrank.cli import check_settings, dump, errors, explain
from bramleycrank.cli.arguments import command, invalid_argument, quote_values
from bramleycrank.cli.config import ConfigCommands
from bramleycrank.cli.context import DEFAULT_HTTP, DEFAULT_SERVER, Context, DeferredCommand
from bramleycrank.cli.domain import DomainCommands
from bramleycrank.cli.entry import EntryCommands
from bramleycrank.cli.query import QueryCommands
from bramleycrank.cli.service import ServiceCommands
from bramleycrank.cli.standin import StandInCommands
from bramleycrank.cli.target import TargetCommands
from bramleycrank.cli.vm import VmCommands
from bramleycrank.exceptions import BramleycrankError, InvalidSettings


class Commands:
    """Command-line tool of bramleycrank.

    These options apply to all commands: `--server host:port`, the gRPC address of a VM
    (BRAMLEYCRANK_SERVER, 127.0.0.1:7070 by default); `--http host:port`, its HTTP address for
    `query` (BRAMLEYCRANK_HTTP, 127.0.0.1:8080 by default); `--json`, results as JSON.
    The exit code shows the class of an error; `bramleycrank errors` lists all errors.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.service = ServiceCommands(context)
        self.config = ConfigCommands(context)
        self.vm = VmCommands(context)
        self.domain = DomainCommands(context)
        self.target = TargetCommands(context)
        self.standin = StandInCommands(context)
        self.query = QueryCommands(context)
        self.entry = EntryCommands(context)

    @command
    def dump(self, vm_id: str = "") -> DeferredCommand:
        """Print the state of a VM as JSON.

        Parameters
        ----------
        vm_id : str
            Name of the VM; empty: the server.
        """
        return dump.dump(self._context, vm_id)

    @command
    def check_settings(self, path: str, standin: bool = False) -> DeferredCommand:
        """Check a settings file and report all problems.

        Parameters
        ----------
        path : str
            TOML file.
        standin : bool
            Whether the file is for the stand-in target.
        """
        return check_settings.check_settings(self._context, path, standin)

    @command
    def explain(self, request_id: str, files: str) -> DeferredCommand:
        """Print the log lines of a request in order of time.

        Parameters
        ----------
        request_id : str
            Identifier of the request, or of a target or VM.
        files : str
            Log files, separated by commas.
        """
        return explain.explain(self._context, request_id, files.split(","))

    @command
    def errors(self) -> DeferredCommand:
        """List all error codes."""
        return errors.errors(self._context)


def read_context(argv: Sequence[str]) -> tuple[Context, list[str]]:
    """Separate the global options from the arguments of the command.

    Raises
    ------
    InvalidRequest
        If an option lacks its value.
    """
    values = {
        "--server": os.environ.get("BRAMLEYCRANK_SERVER") or DEFAULT_SERVER,
        "--http": os.environ.get("BRAMLEYCRANK_HTTP") or DEFAULT_HTTP,
    }
    as_json, remaining = False, []
    args = iter(argv)
    for arg in args:
        name, separator, value = arg.partition("=")
        if arg == "--json":
            as_json = True
        elif name in values:
            values[name] = value if separator else next(args, "")
            if not values[name]:
                raise invalid_argument(f"{name} needs a value host:port")
        else:
            remaining.append(arg)
    return Context(values["--server"], values["--http"], as_json), remaining


def run(argv: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    as_json = "--json" in argv
    try:
        context, remaining = read_context(argv)
        commands = Commands(context)
        result = fire.Fire(
            commands,
            command=quote_values(remaining, commands),
            name="bramleycrank",
            serialize=lambda value: None if isinstance(value, DeferredCommand) else value,
        )
        if isinstance(result, DeferredCommand):
            asyncio.run(result._run())
    except BramleycrankError as exc:
        _report(exc, as_json)
        return exc.exit_code
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:
        # The reader of the output, such as head, has exited; the flush at exit must not raise.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 141
    return 0


def _report(exc: BramleycrankError, as_json: bool) -> None:
    """Print an error on standard error."""
    if as_json:
        print(json.dumps({"error": exc.as_dict()}), file=sys.stderr)
        return
    if isinstance(exc, InvalidSettings):
        print(f"error {exc.code} {exc.name}:", *exc.problems, sep="\n", file=sys.stderr)
        return
    retry = f"; retry after {exc.retry_after_ms} ms" if exc.retry_after_ms else ""
    outcome = str(exc.outcome).replace("_", " ")
    print(f"error {exc.code} {exc.name}: {exc.message} ({outcome}{retry})", file=sys.stderr)


def main() -> None:
    """Run the program."""
    sys.exit(run(sys.argv[1:]))
