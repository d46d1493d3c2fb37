"""Entry point on the platform: ``python3 -m bramleycrank.platform``."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from bramleycrank.daemon.document_limits import document_room
from bramleycrank.daemon.http_process import run
from bramleycrank.daemon.settings_file import SettingsFile
from bramleycrank.exceptions import BramleycrankError
from bramleycrank.observability.exposition import ExposedMetrics
from bramleycrank.platform import node_file
from bramleycrank.platform.adapter import PlatformAdapter

SETTINGS_VARIABLE = "BRAMLEYCRANK_NODE_FILE"
DEFAULT_SETTINGS = "/etc/bramleycrank/node.conf"


def main() -> int:
    """Run the process until SIGTERM; return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    settings = SettingsFile(path, node_file.load)
    try:
        cfg = settings.load()
    except BramleycrankError as exc:
        print(f"error {exc.code} {exc.name}: {exc.message}", file=sys.stderr)
        return exc.exit_code
    control = str(cfg.control) if cfg.control else ""
    adapter = PlatformAdapter(control, document_room(cfg.memory_bytes))
    return run(cfg, adapter, ExposedMetrics("bramleycrank"), settings)


if __name__ == "__main__":
    sys.exit(main())
