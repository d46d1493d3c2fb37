"""Typed settings, read from a TOML file and validated before any other resource is opened.

To add an option, declare it in the class of its section in `bramleycrank.settings.model` and run
``scripts/pages.py`` to regenerate ``docs/settings.md``.
"""

from bramleycrank.settings.address import Address
from bramleycrank.settings.model import (
    ConfigSettings,
    ConnectionsSettings,
    LifeCycleSettings,
    ListenSettings,
    LoggingSettings,
    MembershipSettings,
    MetricsSettings,
    PeersSettings,
    QuerySettings,
    Settings,
    StorageSettings,
    VmSettings,
)

__all__ = [
    "Address",
    "ConfigSettings",
    "ConnectionsSettings",
    "LifeCycleSettings",
    "ListenSettings",
    "LoggingSettings",
    "MembershipSettings",
    "MetricsSettings",
    "PeersSettings",
    "QuerySettings",
    "Settings",
    "StorageSettings",
    "VmSettings",
]
