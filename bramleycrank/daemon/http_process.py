"""Runs an `HttpNode` as a process: event loop, signals, logs and the settings file."""

from __future__ import annotations

import asyncio
import logging
import signal

from bramleycrank.daemon.http_node import HttpAdapter, HttpNode, HttpNodeConfig
from bramleycrank.daemon.settings_file import SettingsFile
from bramleycrank.exceptions import BramleycrankError
from bramleycrank.observability import logs
from bramleycrank.observability.exposition import ExposedMetrics

log = logging.getLogger(__name__)


def run(
    cfg: HttpNodeConfig,
    adapter: HttpAdapter,
    metrics: ExposedMetrics,
    settings: SettingsFile,
) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code.

    Parameters
    ----------
    cfg : HttpNodeConfig
        Options of the node.
    adapter : HttpAdapter
        Translates the HTTP protocol of the deployment.
    metrics : ExposedMetrics
        Receiver of metrics.
    settings : SettingsFile
        Reloaded after SIGHUP and whenever the file changes.
    """
    logs.configure_stdout(cfg.base.logging, cfg.base.vm.id)
    return asyncio.run(_run_node(cfg, adapter, metrics, settings))


async def _run_node(
    cfg: HttpNodeConfig,
    adapter: HttpAdapter,
    metrics: ExposedMetrics,
    settings: SettingsFile,
) -> int:
    loop = asyncio.get_running_loop()
    node = HttpNode(cfg, adapter, metrics, metrics.render)
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, _stop, node, signum)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, settings)
    log.info("process: start", extra={"domain": cfg.base.vm.domain, "entry": str(cfg.entry)})
    node.life_cycle.start()
    watch_task = asyncio.ensure_future(settings.watch(lambda: _reload(node, settings)))
    await node.life_cycle.finished.wait()
    watch_task.cancel()
    failure = node.life_cycle.failure
    log.info("process: stop", extra={"failure": repr(failure) if failure else ""})
    if failure is None:
        return 0
    return failure.exit_code if isinstance(failure, BramleycrankError) else 1


def _stop(node: HttpNode, signum: signal.Signals) -> None:
    log.info("process: told to stop", extra={"signal": signum.name})
    node.life_cycle.stop()


def _reload(node: HttpNode, settings: SettingsFile) -> None:
    """Apply the seeds of a changed settings file; other changes require a restart."""
    cfg = settings.reload()
    if cfg is None:
        return
    node.set_seeds([str(seed) for seed in cfg.base.peers.seeds])
    log.info("process: settings reloaded", extra={"seeds": len(cfg.base.peers.seeds)})
