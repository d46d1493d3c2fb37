"""Notification of subscribers."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

log = logging.getLogger(__name__)


def notify(callbacks: Iterable[Callable[..., None]], *args: object) -> None:
    """Call all callbacks; an exception in one is logged and does not affect the others."""
    for callback in callbacks:
        try:
            callback(*args)
        except Exception:
            log.exception("a subscriber raised an exception")
