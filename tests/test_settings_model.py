"""Tests of the daemon's settings."""

import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleycrank.exceptions import InvalidSettings
from bramleycrank.settings import Address, Settings
from bramleycrank.settings.options import Integer, Number

VM = {"id": "vm1", "domain": "catania"}

EXAMPLE = """
[vm]
id = "vm1"
domain = "catania"
[listen]
http = "127.0.0.1:8081"
grpc = "[::1]:7071"
[peers]
seeds = ["127.0.0.1:7072", "[::1]:7071"]
[storage]
data_dir = "data"
vote = false
[query]
policy = "plain"
[metrics]
statsd = "127.0.0.1:8125"
"""


def problems_of(data):
    with pytest.raises(InvalidSettings) as exc_info:
        Settings.from_dict(data, source="f.toml")
    return exc_info.value.problems


def test_a_file_is_loaded_into_typed_values(tmp_path):
    """Guards against options that are stored under another name or type."""
    path = tmp_path / "vm.toml"
    path.write_text(EXAMPLE)
    cfg = Settings.load(path)
    assert (cfg.vm.id, cfg.vm.domain, cfg.vm.region) == ("vm1", "catania", "")
    assert (cfg.listen.http.host, cfg.listen.http.port) == ("127.0.0.1", 8081)
    assert cfg.peers.seeds == (Address("127.0.0.1", 7072),)  # without the VM's own address
    assert cfg.storage.vote is False and cfg.storage.data_dir.name == "data"
    assert cfg.query.policy == "plain" and cfg.query.hedge_quantile == 0.96
    assert cfg.metrics.statsd.port == 8125


def test_optional_sections_are_none():
    """Guards against a data folder or a metrics socket that is not configured."""
    cfg = Settings.from_dict({"vm": VM})
    assert cfg.storage is None and cfg.metrics is None


@pytest.mark.parametrize(
    ("text", "expected"),
    [("[vm\n", "is not a TOML file"), (b"\xff", "is not a TOML file"), (None, "cannot be read")],
)
def test_an_unreadable_file_is_a_typed_error(tmp_path, text, expected):
    """Guards against a traceback instead of exit code 2."""
    path = tmp_path / "vm.toml"
    if text is not None:
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(InvalidSettings, match=expected) as exc_info:
        Settings.load(path)
    assert str(path) in exc_info.value.problems[0] and exc_info.value.exit_code == 2


def test_all_problems_are_reported_at_once():
    """Guards against a loader that reports only the first problem."""
    problems = problems_of(
        {
            "vm": {"id": "a/b", "domian": "x"},
            "listen": "127.0.0.1:80",
            "query": {"policy": "fast", "queue_limit": True, "hedge_budget": math.nan},
            "extra": {},
        }
    )
    keys = [line.split(": ")[1] for line in problems]
    assert sorted(keys) == [
        "extra",
        "listen",
        "query.hedge_budget",
        "query.policy",
        "query.queue_limit",
        "vm.domain",
        "vm.domian",
        "vm.id",
    ]
    assert all(": found " in line and "; allowed: " in line for line in problems)
    assert all(line.startswith("f.toml: ") for line in problems)


@pytest.mark.parametrize(
    ("data", "key"),
    [
        ({"listen": {"http": "127.0.0.1:7070"}}, "listen.http"),
        ({"listen": {"grpc": "0.0.0.0:7070"}}, "listen.grpc"),
        (
            {"query": {"initial_concurrency": 20, "max_concurrency": 10}},
            "query.initial_concurrency",
        ),
        ({"membership": {"renew_s": 4.0}}, "membership.renew_s"),
    ],
)
def test_invalid_combinations_are_rejected(data, key):
    """Guards against values that are valid alone but not in combination."""
    assert [line.split(": ")[1] for line in problems_of({"vm": VM, **data})] == [key]


@pytest.mark.parametrize(
    "text",
    ["", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:65536", "::1:80", "1.2.3.4:+8"],
)
def test_malformed_addresses_are_rejected(text):
    """Guards against host names, which must not be resolved, and ports out of range."""
    assert Address.parse(text) is None


@given(st.ip_addresses(), st.integers(1, 65_535))
def test_an_address_is_parsed_from_its_text_form(host, port):
    """Guards against IPv6 addresses that cannot be parsed again."""
    address = Address(str(host), port)
    assert Address.parse(str(address)) == address


numeric = [
    (section.name, field.name, field.metadata["option"].kind)
    for section in attrs.fields(Settings)
    for field in attrs.fields(section.metadata["section"])
    if isinstance(field.metadata["option"].kind, Integer | Number)
]


@given(st.sampled_from(numeric), st.one_of(st.integers(), st.floats()))
def test_a_number_is_accepted_only_within_its_range(option, value):
    """Guards against infinite, fractional or out-of-range numbers that are accepted."""
    section, name, kind = option
    whole = isinstance(value, int) or isinstance(kind, Number)
    allowed = whole and kind.minimum <= value <= kind.maximum
    try:
        Settings.from_dict({"vm": VM, section: {name: value}})
        refused = False
    except InvalidSettings as exc:
        combination = "at most half of" in str(exc) or "at most query.max" in str(exc)
        refused = not combination
    assert refused != allowed


json_values = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=5)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)
names = st.sampled_from([section.name for section in attrs.fields(Settings)])


@given(st.dictionaries(names, json_values, max_size=4))
def test_any_content_is_loaded_or_raises_a_typed_error(data):
    """Guards against untyped exceptions on content of an unexpected form."""
    try:
        Settings.from_dict(data)
    except InvalidSettings as exc:
        assert exc.problems
