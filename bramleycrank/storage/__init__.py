"""Synced files in the data folder: replicated log, snapshots, disk identity and configuration."""

from bramleycrank.storage.config_cache import ConfigCache
from bramleycrank.storage.log_store import LogStore

__all__ = ["ConfigCache", "LogStore"]
