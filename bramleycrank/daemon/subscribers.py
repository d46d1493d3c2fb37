"""Calls of subscribers."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

log = logging.getLogger(__name__)


def notify(callbacks: Iterable[Callable[..., None]], *args: object) -> None:
    """Call all callbacks; one that fails must not stop the others or the caller."""
    for callback in callbacks:
        try:
            callback(*args)
        except Exception:
            log.exception("a subscriber failed")
