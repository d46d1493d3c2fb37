"""The configuration: services and VM records with compare-and-set by version."""

from __future__ import annotations

from bramleycrank.proto.log_pb2 import ConfigDelta, ConfigImage, ServiceConfig, VmConfig


class ConfigState:
    """Configuration objects, the revision and the newest deltas."""

    revision: int
    services: dict[str, ServiceConfig]
    vms: dict[str, VmConfig]

    @classmethod
    def from_image(cls, image: ConfigImage) -> ConfigState:
        """Build the configuration from an image."""
        raise NotImplementedError

    def deltas_since(self, revision: int) -> list[ConfigDelta] | None:
        """Return the deltas after a revision; ``None`` if the ring does not reach back to it."""
        raise NotImplementedError

    def image(self) -> ConfigImage:
        """Return a copy of all objects, sorted by name."""
        raise NotImplementedError
