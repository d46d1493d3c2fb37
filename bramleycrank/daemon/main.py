"""Entry point of ``bramleycrankd``."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

import fire

from bramleycrank.exceptions import BramleycrankError
from bramleycrank.observability import logs
from bramleycrank.settings import Settings

log = logging.getLogger(__name__)


def serve(settings: str) -> None:
    """Run the daemon until SIGTERM or SIGINT, then finish the requests in flight and stop.

    Parameters
    ----------
    settings : str
        TOML file; docs/settings.md describes it.
    """
    cfg = Settings.load(str(settings))
    logs.configure(cfg.logging, cfg.vm.id)
    sys.exit(run(cfg))


def run(cfg: Settings) -> int:
    """Run the daemon; return the exit code."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    # The reactor must be installed before any module imports the default one.
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from bramleycrank.daemon.node import Node

    node = Node(cfg)
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, node.life_cycle.stop)

    async def run_node() -> None:
        node.life_cycle.start()
        await node.life_cycle.finished.wait()
        reactor.stop()

    reactor.callWhenRunning(lambda: setattr(node, "main_task", loop.create_task(run_node())))
    reactor.run(installSignalHandlers=False)
    return _exit_code(node.life_cycle.failure)


def _exit_code(failure: BaseException | None) -> int:
    if failure is None:
        return 0
    return failure.exit_code if isinstance(failure, BramleycrankError) else 1


def main() -> None:
    """Run the program; an error sets the exit code of its type."""
    try:
        fire.Fire(serve)
    except BramleycrankError as exc:
        print(f"error {exc.code} {exc.name}: {exc.message}", file=sys.stderr)
        sys.exit(exc.exit_code)
