"""Command line of the soak: ``scripts/soak --seed N`` or ``scripts/soak --seeds 50``."""

from __future__ import annotations

import json
import random
import sys
import tempfile
from pathlib import Path

import fire

from soak.customers import FIRST_SEED
from soak.run import run_seed

FAULT_PERIOD_S = 12.0
"""Time during which new faults start in one run."""


def main(
    seed: int | None = None, seeds: int = 1, seconds: float = FAULT_PERIOD_S, out: str = ""
) -> None:
    """Run seeds one after the other; exit with 1 if a guarantee was violated.

    Parameters
    ----------
    seed : int, optional
        First seed; random by default.
    seeds : int, optional
        Number of seeds to run.
    seconds : float, optional
        Time during which new faults start in each run, in seconds.
    out : str, optional
        Folder for logs and reports; a temporary one by default.
    """
    first = seed if seed is not None else random.SystemRandom().randrange(2 * FIRST_SEED)
    folder = Path(out or tempfile.mkdtemp(prefix="bramleycrank-soak-"))
    failed = []
    for number in range(first, first + seeds):
        result = run_seed(number, seconds, folder / str(number))
        line = {key: result[key] for key in ("seed", "requests", "violations", "played_s")}
        print(json.dumps({**line, "faults": len(result["faults"])}), flush=True)
        if result["violations"]:
            failed.append(number)
    print(json.dumps({"played": seeds, "failed": failed, "out": str(folder)}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
