"""Tests of the stand-in's settings and places."""

import pytest

from bramleycrank.exceptions import InvalidSettings
from bramleycrank.standin.fleet import places
from bramleycrank.standin.main import read_settings
from bramleycrank.standin.settings import StandInSettings


def test_options_override_the_file(tmp_path):
    """Guards against options that are read and then lost."""
    path = tmp_path / "targets.toml"
    path.write_text("[fleet]\nshards = 2\nreplicas = 2\n")
    given = {"shards": 4, "replicas": None, "domains": ("a", "b"), "vms": "127.0.0.1:7070"}
    cfg = read_settings(str(path), given)
    assert (cfg.fleet.shards, cfg.fleet.replicas, cfg.fleet.domains) == (4, 2, ("a", "b"))
    assert [str(vm) for vm in cfg.registry.vms] == ["127.0.0.1:7070"]


def test_one_process_for_each_domain_gives_the_whole_fleet():
    """Guards against targets that no process or two processes host."""
    fleet = {"services": ["x", "y"], "shards": 5, "replicas": 3, "domains": ["a", "b", "c"]}
    whole = list(places(StandInSettings.from_dict({"fleet": fleet})))
    parts = [
        place
        for domain in fleet["domains"]
        for place in places(StandInSettings.from_dict({"fleet": {**fleet, "only_domain": domain}}))
    ]
    assert sorted(parts, key=lambda p: p.index) == whole and len(whole) == 30
    assert {(p.shard, p.domain) for p in whole if p.service == "x"} == {
        (shard, domain) for shard in range(5) for domain in "abc"
    }


@pytest.mark.parametrize(
    ("data", "key"),
    [
        ({"fleet": {"only_domain": "x"}}, "fleet.only_domain"),
        ({"fleet": {"shards": 10}, "listen": {"first_port": 65_530}}, "listen.first_port"),
        (
            {"fleet": {"shards": 9}, "listen": {"first_port": 9000, "control_port": 9008}},
            "listen.control_port",
        ),
    ],
)
def test_impossible_combinations_are_refused(data, key):
    """Guards against a process that fails after it has opened half of its ports."""
    with pytest.raises(InvalidSettings) as caught:
        StandInSettings.from_dict(data)
    assert [line.split(": ")[1] for line in caught.value.problems] == [key]
