"""Network addresses in settings."""

from __future__ import annotations

import ipaddress

import attrs


@attrs.frozen(order=True)
class Address:
    """An IP address and a port.

    Parameters
    ----------
    host : str
        IPv4 or IPv6 address; host names are not resolved.
    port : int
        Port, 1 to 65,535.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address | None:
        """Return the address for text of the form ``host:port``, or None if it is malformed."""
        host, separator, port = text.rpartition(":")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        elif ":" in host:
            return None
        if not separator or not port.isascii() or not port.isdigit() or len(port) > 5:
            return None
        if not 1 <= int(port) <= 65_535:
            return None
        try:
            return cls(str(ipaddress.ip_address(host)), int(port))
        except ValueError:
            return None

    @property
    def is_unspecified(self) -> bool:
        """Whether the host means all interfaces, such as ``0.0.0.0``."""
        return ipaddress.ip_address(self.host).is_unspecified

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"
