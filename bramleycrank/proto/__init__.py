"""Protocol definitions and the code generated from them by ``scripts/generate``."""
