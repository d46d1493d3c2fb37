"""Entry point of ``bramleycrank``."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Sequence

import fire

from bramleycrank.cli import check_settings, dump, errors, explain
from bramleycrank.cli.arguments import command, invalid, quoted
from bramleycrank.cli.config import ConfigCommands
from bramleycrank.cli.context import DEFAULT_HTTP, DEFAULT_SERVER, Context, Pending
from bramleycrank.cli.query import QueryCommands
from bramleycrank.cli.service import ServiceCommands
from bramleycrank.cli.standin import StandInCommands
from bramleycrank.cli.target import TargetCommands
from bramleycrank.cli.vm import VmCommands
from bramleycrank.exceptions import BramleycrankError, InvalidSettings


class Commands:
    """Command-line tool of bramleycrank.

    These options go with any command: `--server host:port`, the gRPC address of a VM
    (BRAMLEYCRANK_SERVER, 127.0.0.1:7070 by default); `--http host:port`, its HTTP address for
    `query` (BRAMLEYCRANK_HTTP, 127.0.0.1:8080 by default); `--json`, results as JSON.
    The exit code tells the class of an error; `bramleycrank errors` lists them.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.service = ServiceCommands(context)
        self.config = ConfigCommands(context)
        self.vm = VmCommands(context)
        self.target = TargetCommands(context)
        self.standin = StandInCommands(context)
        self.query = QueryCommands(context)

    @command
    def dump(self, vm_id: str = "") -> Pending:
        """Print the state of a VM as JSON.

        Parameters
        ----------
        vm_id : str
            Name of the VM; empty: the server.
        """
        return dump.dump(self._context, vm_id)

    @command
    def check_settings(self, path: str, standin: bool = False) -> Pending:
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
    def explain(self, request_id: str, files: str) -> Pending:
        """Print what the log files say of a request, in the order of time.

        Parameters
        ----------
        request_id : str
            Identifier of the request; that of a target or a VM serves too.
        files : str
            Log files, joined by commas.
        """
        return explain.explain(self._context, request_id, files.split(","))

    @command
    def errors(self) -> Pending:
        """List all error codes."""
        return errors.errors(self._context)


def read_context(argv: Sequence[str]) -> tuple[Context, list[str]]:
    """Split the options of all commands from the arguments.

    Raises
    ------
    InvalidRequest
        If an option lacks its value.
    """
    values = {
        "--server": os.environ.get("BRAMLEYCRANK_SERVER") or DEFAULT_SERVER,
        "--http": os.environ.get("BRAMLEYCRANK_HTTP") or DEFAULT_HTTP,
    }
    as_json, rest = False, []
    words = iter(argv)
    for word in words:
        name, equals, value = word.partition("=")
        if word == "--json":
            as_json = True
        elif name in values:
            values[name] = value if equals else next(words, "")
            if not values[name]:
                raise invalid(f"{name} needs a value host:port")
        else:
            rest.append(word)
    return Context(values["--server"], values["--http"], as_json), rest


def run(argv: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    as_json = "--json" in argv
    try:
        context, rest = read_context(argv)
        commands = Commands(context)
        result = fire.Fire(
            commands,
            command=quoted(rest, commands),
            name="bramleycrank",
            serialize=lambda value: None if isinstance(value, Pending) else value,
        )
        if isinstance(result, Pending):
            asyncio.run(result._run())
    except BramleycrankError as exc:
        _report(exc, as_json)
        return exc.exit_code
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:
        # The reader of the output, such as head, has ended; what is left must not raise again.
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
