"""Tests of the stand-in's settings and target specifications."""

import pytest

from bramleycrank.exceptions import InvalidSettings
from bramleycrank.standin.fleet import target_specs
from bramleycrank.standin.main import read_settings
from bramleycrank.standin.settings import StandInSettings


def test_options_override_the_file(tmp_path):
    """Guards against command-line options that have no effect."""
    path = tmp_path / "targets.toml"
    path.write_text("[fleet]\nshards = 2\nreplicas = 2\n")
    overrides = {"shards": 4, "replicas": None, "domains": ("a", "b"), "vms": "127.0.0.1:7070"}
    cfg = read_settings(str(path), overrides)
    assert (cfg.fleet.shards, cfg.fleet.replicas, cfg.fleet.domains) == (4, 2, ("a", "b"))
    assert [str(vm) for vm in cfg.registry.vms] == ["127.0.0.1:7070"]


def test_processes_of_all_domains_host_each_target_once():
    """Guards against targets that are hosted by no process or by two."""
    fleet = {"services": ["x", "y"], "shards": 5, "replicas": 3, "domains": ["a", "b", "c"]}
    whole = list(target_specs(StandInSettings.from_dict({"fleet": fleet})))
    parts = [
        spec
        for domain in fleet["domains"]
        for spec in target_specs(
            StandInSettings.from_dict({"fleet": {**fleet, "only_domain": domain}})
        )
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
def test_invalid_combinations_are_rejected(data, key):
    """Guards against a process that fails after it has opened some of its ports."""
    with pytest.raises(InvalidSettings) as caught:
        StandInSettings.from_dict(data)
    assert [line.split(": ")[1] for line in caught.value.problems] == [key]
