"""Command line of the soak: ``scripts/soak --seed N`` or ``scripts/soak --seeds 50``."""

from __future__ import annotations

import json
import random
import sys
import tempfile
from pathlib import Path

import fire

from soak.run import play

SECONDS = 12.0
"""How long faults begin in one run, in seconds."""


def main(seed: int | None = None, seeds: int = 1, seconds: float = SECONDS, out: str = "") -> None:
    """Play seeds one after the other; exit with 1 if a promise was broken.

    Parameters
    ----------
    seed : int, optional
        First seed; a fresh one by default.
    seeds : int, optional
        How many to play.
    seconds : float, optional
        How long faults begin in each, in seconds.
    out : str, optional
        Folder for logs and reports; a temporary one by default.
    """
    first = seed if seed is not None else random.SystemRandom().randrange(10**6)
    folder = Path(out or tempfile.mkdtemp(prefix="bramleycrank-soak-"))
    failed = []
    for number in range(first, first + seeds):
        result = play(number, seconds, folder / str(number))
        line = {key: result[key] for key in ("seed", "requests", "violations", "played_s")}
        print(json.dumps({**line, "faults": len(result["faults"])}), flush=True)
        if result["violations"]:
            failed.append(number)
    print(json.dumps({"played": seeds, "failed": failed, "out": str(folder)}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
