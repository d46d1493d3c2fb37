"""Identification of callers, without a network."""

from __future__ import annotations

import pytest

from bramleycrank.customers import ANONYMOUS, CustomerIndex, Identity, identify, identify_offered
from bramleycrank.proto.log_pb2 import Customer

INDEX = CustomerIndex([Customer(name="acme", keys=["k1", "k2"]), Customer(name="bolt")])
ACME, BOLT, NOBODY = (Identity(INDEX.by_name(n), keys_in_use=True) for n in ("acme", "bolt", ""))


@pytest.mark.parametrize("public", [False, True])
@pytest.mark.parametrize("key", [None, b"", b"k", b"k1", b"k2", b"k11", b"K1", b"acme", b"\xff"])
def test_only_a_whole_key_identifies_and_only_the_newest_table_refuses_for_good(key, public):
    for is_newest in (True, False):
        result = identify(INDEX, key, public=public, is_newest=lambda v=is_newest: v)
        if key in (b"k1", b"k2"):
            assert result == ACME
        elif public:
            assert result == NOBODY
        else:
            assert result.final == is_newest
            assert (result.retry_after_s > 0) != is_newest
        assert identify(CustomerIndex(), key, public=public, is_newest=lambda: True) is ANONYMOUS


@pytest.mark.parametrize(
    ("second", "unclear", "clear"),
    [
        ({"name": "bolt", "keys": ["k2", "k3"]}, [b"k2"], {b"k1": "acme", b"k3": "bolt"}),
        ({"name": "acme", "keys": ["k3"]}, [b"k1", b"k2", b"k3"], {}),
        ({"name": "a\nb", "keys": ["k2", "k3", ""]}, [b"k2", b"k3"], {b"k1": "acme"}),
        ({"name": "bolt", "keys": ["k3"], "per_s": -1.0}, [b"k3"], {b"k1": "acme"}),
    ],
    ids=["shared key", "name twice", "name no header bears", "no valid rate"],
)
def test_keys_of_a_table_that_an_older_build_accepted_fail_closed(second, unclear, clear):
    """Guards against requests that run as the wrong customer, or as none."""
    index = CustomerIndex([Customer(name="acme", keys=["k1", "k2"]), Customer(**second)])

    def ask(key, public=False):
        return identify(index, key, public=public, is_newest=lambda: True)

    for key in unclear:
        refusal = ask(key)
        assert (refusal.rule, refusal.final) == ("unclear_key", False)
        assert refusal.retry_after_s > 0
        assert identify_offered(index, "", key, public=False) is None
        assert ask(key, public=True) == NOBODY
    for key, name in clear.items():
        assert ask(key).customer.name == name
    assert ask(b"unknown").final and ask(b"").final and ask(None).final


def test_no_request_runs_while_the_customers_cannot_be_read():
    """Guards against keys that nobody checks; whether a key is valid is not known either."""
    index = CustomerIndex(unreadable=True)
    for key in (None, b"k1"):
        refusal = identify(index, key, public=False, is_newest=lambda: True)
        assert (refusal.rule, refusal.final) == ("unclear_key", False)
        assert identify_offered(index, "acme", key, public=False) is None
        assert identify(index, key, public=True, is_newest=lambda: True) == NOBODY


@pytest.mark.parametrize(
    ("name", "key", "expected"),
    [
        ("acme", None, ACME),
        ("bolt", None, BOLT),
        ("", None, None),
        ("other", None, None),
        ("bolt", b"k1", ACME),  # offered by a build that does not identify; the caller wrote bolt
        ("bolt", b"wrong", None),
    ],
)
def test_an_offer_names_the_customer_unless_it_has_a_key(name, key, expected):
    assert identify_offered(INDEX, name, key, public=False) == expected
    assert identify_offered(INDEX, name, key, public=True) == (expected or NOBODY)
    assert identify_offered(CustomerIndex(), name, key, public=False) is ANONYMOUS
