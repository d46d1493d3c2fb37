"""Tests of the configuration cache."""

from bramleycrank.proto.log_pb2 import ConfigImage, ServiceConfig
from bramleycrank.storage import ConfigCache


def test_the_newest_image_is_kept_and_a_damaged_one_is_ignored(tmp_path):
    """Guards against a VM that starts with an outdated or damaged configuration."""
    cache = ConfigCache.open(tmp_path)
    assert cache.load() is None
    newer = ConfigImage(revision=7, services=[ServiceConfig(name="archivio", version=7)])
    cache.save(newer)
    cache.save(ConfigImage(revision=6))
    assert ConfigCache.open(tmp_path).load() == newer
    path = tmp_path / "config"
    data = path.read_bytes()
    for position in range(len(data)):
        path.write_bytes(data[:position] + bytes([data[position] ^ 1]) + data[position + 1 :])
        assert ConfigCache.open(tmp_path).load() is None
        path.write_bytes(data[:position])
        assert ConfigCache.open(tmp_path).load() is None
