"""Route tables of the HTTP entry, without I/O."""

from bramleycrank.routing.table import Limits, Route, RouteIndex, ServiceWarmup
from bramleycrank.routing.validation import check_routes

__all__ = ["Limits", "Route", "RouteIndex", "ServiceWarmup", "check_routes"]
