"""Claims of non-idempotent requests."""

from __future__ import annotations


class ClaimTable:
    """Claims above the floor; the first claim of an id wins."""

    floor_ms: int

    def __len__(self) -> int:
        """Return the number of claims."""
        raise NotImplementedError
