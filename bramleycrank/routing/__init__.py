"""Route tables of the HTTP entry, without I/O."""

from bramleycrank.routing.formats import ROUTES_FORMAT, to_current_format
from bramleycrank.routing.table import Limits, Route, RouteIndex, ServiceWarmup
from bramleycrank.routing.validation import check_routes

__all__ = [
    "ROUTES_FORMAT",
    "Limits",
    "Route",
    "RouteIndex",
    "ServiceWarmup",
    "check_routes",
    "to_current_format",
]
