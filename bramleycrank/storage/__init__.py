"""Durable files of the data folder: replicated log, snapshots, disk identity, configuration."""

from bramleycrank.storage.config_cache import ConfigCache
from bramleycrank.storage.log_store import LogStore

__all__ = ["ConfigCache", "LogStore"]
