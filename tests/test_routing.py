"""Route lookup, weighted selection and validation of route tables."""

from __future__ import annotations

from collections import Counter

import pytest

from bramleycrank.exceptions import InvalidChange, Outcome
from bramleycrank.proto.log_pb2 import Customer, HttpService, Route, RouteTable, WeightedService
from bramleycrank.routing import RouteIndex, check_routes


def table(*routes: Route, services: tuple[str, ...] = ("a", "b")) -> RouteTable:
    """Return a table; it is valid if its routes are."""
    return RouteTable(version=3, routes=routes, services=[HttpService(name=n) for n in services])


def route(prefix: str = "/x/", **fields: object) -> Route:
    """Return a valid route, with some fields replaced."""
    defaults = {
        "name": prefix,
        "host": "h.example",
        "path_prefix": prefix,
        "timeout_ms": 1000,
        "split": [WeightedService(name="a", weight=1)],
    }
    return Route(**{**defaults, **fields})


def test_the_longest_prefix_wins():
    index = RouteIndex(table(route("/x/"), route("/x/y/"), route("/")))
    assert index.find("h.example", "/x/y/z").name == "/x/y/"
    assert index.find("H.Example:8080", "/x/yz").name == "/x/"
    assert index.find("h.example", "/other").name == "/"
    assert index.find("other.example", "/x/") is None


def test_a_prefix_matches_whole_path_segments_only():
    assert RouteIndex(table(route("/x/"))).find("h.example", "/xy/1") is None


def test_shares_match_the_weights_over_few_requests():
    split = [WeightedService(name="a", weight=3), WeightedService(name="b", weight=1)]
    [chosen] = RouteIndex(table(route(split=split))).routes()
    counts = Counter(chosen.choose_service() for _ in range(200))
    assert abs(counts["a"] - 150) <= 4


def test_a_service_with_weight_0_is_never_chosen():
    split = [WeightedService(name="a", weight=0), WeightedService(name="b", weight=1)]
    [chosen] = RouteIndex(table(route(split=split))).routes()
    assert {chosen.choose_service() for _ in range(100)} == {"b"}


@pytest.mark.parametrize(
    ("invalid_table", "problem"),
    [
        (table(route(timeout_ms=0)), "the timeout is 0"),
        (table(route(), route()), "two routes"),
        (table(route(split=[WeightedService(name="c", weight=1)])), "service 'c' is unknown"),
        (table(route(split=[WeightedService(name="a", weight=0)])), "weights"),
        (table(route(split=[WeightedService(name="a", weight=-1)])), "weights"),
        (table(route(split=[])), "exactly one"),
        (table(route(shards=["a"], top_records=1)), "exactly one"),
        (table(route(split=[], shards=["a", "a"], top_records=1)), "listed twice"),
        (table(route(split=[], shards=["a"])), "number of records"),
        (table(route("/x")), "begin and end with a slash"),
        (table(route(host="")), "host is missing"),
        (table(services=("a", "a")), "listed twice"),
        (
            RouteTable(version=1, services=[HttpService(name="a", warmup_per_s=-1.0)]),
            "must not be negative",
        ),
        (RouteTable(), "version is missing"),
    ],
)
def test_an_invalid_table_is_refused(invalid_table, problem):
    with pytest.raises(InvalidChange, match=problem) as exc_info:
        check_routes(invalid_table)
    assert exc_info.value.outcome is Outcome.NOT_RUN


def test_a_table_without_routes_is_valid():
    check_routes(table())


@pytest.mark.parametrize(
    ("customers", "problem"),
    [
        ([{"keys": ["secret"]}], "the name is empty"),
        ([{"name": " a", "keys": ["secret"]}], "no header bears"),
        ([{"name": "a\r\nb", "keys": ["secret"]}], "no header bears"),
        ([{"name": "a", "keys": ["secret"]}, {"name": "a"}], "'a' is listed twice"),
        ([{"name": "a", "keys": ["secret"]}, {"name": "b", "keys": ["secret"]}], "shares a key"),
        ([{"name": "a", "keys": ["secret", "secret"]}], "a key is listed twice"),
        ([{"name": "a", "keys": ["secret", ""]}], "a key is empty"),
        ([{"name": "a", "keys": ["secret"], "per_s": -1}], "the rate and the burst"),
        ([{"name": "a", "keys": ["secret"], "per_s": float("nan")}], "the rate and the burst"),
        ([{"name": "a", "keys": ["secret"], "burst": float("inf")}], "the rate and the burst"),
    ],
)
def test_invalid_customers_are_refused_without_naming_a_key(customers, problem):
    invalid_table = table(route())
    invalid_table.customers.extend(Customer(**fields) for fields in customers)
    with pytest.raises(InvalidChange, match=problem) as exc_info:
        check_routes(invalid_table)
    assert "secret" not in str(exc_info.value)
