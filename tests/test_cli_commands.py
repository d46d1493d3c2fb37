"""Tests of the command line against fake services."""

import json
import subprocess
import sys

import pytest
from cli_fakes import FakeOperator, HttpThread, OperatorThread

from bramleycrank.cli.main import run
from bramleycrank.exceptions import error_types

ANSWER = {
    "outcome": "partial",
    "result": [{"id": "a", "score": 0.5, "body": "text"}],
    "snapshot": {"version": 3, "shard_count": 2},
    "coverage": {"answered": 1, "total": 2, "missing": [{"shard": 1, "reason": "timeout"}]},
    "request_key": "",
}


@pytest.fixture
def fake():
    return FakeOperator()


@pytest.fixture
def cli(fake, capsys):
    """Run a command; return exit code, standard output and standard error."""
    with OperatorThread(fake) as server:

        def call(*words):
            code = run(["--server", server.address, *words])
            return (code, *capsys.readouterr())

        yield call


def create_service(cli, *more):
    code, out, _ = cli("service", "create", "archivio", "--json", *more)
    assert code == 0
    return json.loads(out)


def test_create_sends_all_fields(cli, fake):
    """Guards against options that are accepted but not sent."""
    reply = create_service(
        cli,
        "--kinds=work_order,refund",
        "--idempotent-kinds=stock",
        "--pinned-version=4",
        "--default-deadline-ms=700",
        "--classes=urgent,normal",
        "--nohedging",
        "--hits-limit=50",
    )
    service = fake.services["archivio"]
    assert {kind.name: kind.idempotent for kind in service.kinds} == {
        "work_order": False,
        "refund": False,
        "stock": True,
    }
    assert (service.pinned_version, service.default_deadline_ms, service.hits_limit) == (4, 700, 50)
    assert list(service.classes) == ["urgent", "normal"] and service.hedging_disabled
    assert reply == {"revision": 1, "version": 1, "change_id": fake.requests[0].change.change_id}


def test_a_resend_with_the_same_change_id_returns_the_first_reply(cli, fake):
    """Guards against a change that is applied twice after a lost reply."""
    first = create_service(cli, "--change-id=c1")
    code, _, err = cli("service", "create", "archivio")
    assert code == 7 and "503 VersionConflict" in err
    assert create_service(cli, "--change-id=c1") == first and first["change_id"] == "c1"
    for _ in range(2):
        assert cli("service", "delete", "archivio", "--change-id=c2")[0] == 0
    assert fake.revision == 2 and not fake.services


def test_the_change_id_is_printed_before_the_result(cli, fake):
    """Guards against a change that cannot be resent because its id was not printed."""
    _, out, err = cli("service", "create", "archivio")
    assert err == f"change id: {fake.requests[0].change.change_id}\n"
    assert out == "accepted: revision 1, version 1\n"


def test_update_keeps_other_fields_and_sends_the_expected_version(cli, fake):
    """Guards against an update that resets fields, or that overwrites a concurrent change."""
    create_service(cli, "--kinds=work_order", "--hits-limit=50")
    assert cli("service", "update", "archivio", "--queue-limit=9", "--hedging=false")[0] == 0
    service = fake.services["archivio"]
    assert (service.queue_limit, service.hits_limit, service.hedging_disabled) == (9, 50, True)
    assert [kind.name for kind in service.kinds] == ["work_order"]
    assert fake.requests[-1].change.expected_version == 1
    assert cli("service", "update", "archivio", "--queue-limit=1", "--expected-version=1")[0] == 7
    assert cli("service", "update", "archivio", "--kinds=")[0] == 0
    assert not fake.services["archivio"].kinds


def test_a_mistyped_option_changes_nothing(cli, fake):
    """Guards against a change that is applied before the unknown option is detected."""
    with pytest.raises(SystemExit) as exit_info:
        cli("service", "create", "archivio", "--queue-limits=9")
    assert exit_info.value.code == 2 and not fake.requests


@pytest.mark.parametrize(
    "words",
    [
        ("--queue-limit=abc",),
        ("--queue-limit=-1",),
        ("--hedging=maybe",),
        ("--kinds",),
        ("--timeout-ms=1.5",),
    ],
)
def test_a_malformed_value_is_rejected(cli, fake, words):
    """Guards against a traceback, or a value that is converted silently."""
    code, _, err = cli("service", "create", "archivio", *words)
    assert code == 2 and "100 InvalidRequest" in err and not fake.requests


def test_lists_are_printed_as_tables_or_json(cli):
    """Guards against list commands without machine-readable output."""
    create_service(cli)
    _, out, _ = cli("service", "list")
    assert out.splitlines()[0] == "revision 1" and "archivio" in out.splitlines()[2]
    _, out, _ = cli("--json", "service", "list")
    assert json.loads(out)["services"][0]["name"] == "archivio"
    _, out, _ = cli("service", "get", "archivio")
    assert "hits_limit" in out
    _, out, _ = cli("target", "list")
    assert "3/4 of 10" in out and "serving" in out
    _, out, _ = cli("target", "list", "--json")
    assert json.loads(out)["targets"][0]["incarnation"] == 2**60
    _, out, _ = cli("vm", "list")
    assert "alive, unreachable" in out and "vm1/d1" in out
    assert json.loads(cli("dump", "vm2")[1]) == {"vm": "vm2"}


def test_config_wait_ends_when_all_reachable_vms_have_the_revision(cli, fake):
    """Guards against a wait that ends too early, or hangs on an unreachable VM."""
    create_service(cli)
    fake.lagging_calls = 2
    code, out, _ = cli("config", "wait", "1", "--timeout-s=10")
    assert code == 0 and "unreachable: vm3" in out and fake.lagging_calls < 0
    code, _, err = cli("config", "wait", "5", "--timeout-s=0")
    assert code == 3 and "vm1, vm2" in err
    fake.lagging_calls = 1
    _, out, _ = cli("config", "status")
    assert "unconfirmed" in out and "2500 ms" in out and "unreachable" in out


@pytest.mark.parametrize(
    ("words", "fields"),
    [
        (("bootstrap", "127.0.0.1:1,127.0.0.1:2"), {"addresses": ["127.0.0.1:1", "127.0.0.1:2"]}),
        (("add-voter", "127.0.0.1:1"), {"address": "127.0.0.1:1", "timeout_ms": 30_000}),
        (("remove-voter", "vm1/d1"), {"node_id": "vm1/d1", "timeout_ms": 30_000}),
        (
            ("replace-voter", "vm1/d1", "127.0.0.1:1", "--timeout-ms=900"),
            {"node_id": "vm1/d1", "address": "127.0.0.1:1", "timeout_ms": 900},
        ),
    ],
)
def test_changes_of_voters_are_sent_with_their_arguments(cli, fake, words, fields):
    """Guards against membership changes with swapped arguments."""
    code, out, _ = cli("vm", *words)
    sent = {field.name: value for field, value in fake.requests[0].ListFields()}
    assert code == 0 and "vm1/d1" in out
    assert {k: list(v) if k == "addresses" else v for k, v in sent.items()} == fields


def test_drain_and_undrain_are_sent_for_the_given_vm(cli, fake):
    """Guards against a drain of the wrong VM, and an error with exit code 0."""
    assert cli("vm", "drain", "vm1", "--change-id=c")[0] == 0
    assert cli("vm", "undrain", "vm1")[0] == 0
    assert [request.drained for request in fake.requests] == [True, False]
    assert fake.requests[0].change_id == "c"
    code, _, err = cli("vm", "drain", "vm9", "--json")
    assert code == 7 and json.loads(err.splitlines()[-1])["error"]["name"] == "NotFound"


def test_domains_are_listed_evacuated_and_restored(cli, fake):
    assert cli("domain", "evacuate", "catania", "--change-id=c")[0] == 0
    assert cli("domain", "restore", "catania")[0] == 0
    assert [request.evacuated for request in fake.requests] == [True, False]
    assert fake.requests[0].change_id == "c" and fake.requests[1].change_id
    assert cli("domain", "evacuate", "typo")[0] == 7
    code, out, _ = cli("domain", "list")
    assert code == 0 and out.splitlines()[1].split() == ["catania", "evacuated", "2", "5", "8"]


def test_an_unreachable_server_has_its_exit_code(capsys, monkeypatch):
    """Guards against an unreachable VM that scripts cannot distinguish from a refusal."""
    monkeypatch.setenv("BRAMLEYCRANK_SERVER", "127.0.0.1:1")
    assert run(["service", "list"]) == 9
    assert "700 PeerUnreachable" in capsys.readouterr().err
    assert run(["--server=nowhere", "service", "list"]) == 2
    assert run(["service", "list", "--server"]) == 2


def test_search_sends_text_unchanged_and_lists_missing_shards(capsys):
    """Guards against query text parsed as a number, and a partial answer shown as complete."""
    with HttpThread((200, json.dumps(ANSWER)), (200, json.dumps(ANSWER))) as server:
        words = ["query", "search", "archivio", "1e3", "--limit=4", "--http", server.address]
        assert run([*words, "--priority=urgent", "--noallow-partial", "--deadline-ms=300"]) == 0
        out = capsys.readouterr().out
        assert run([*words, "--json"]) == 0
    assert server.bodies[0] == {
        "service": "archivio",
        "kind": "search",
        "query": "1e3",
        "class": "urgent",
        "limit": 4,
        "allow_partial": False,
        "deadline_ms": 300,
    }
    assert "partial: 1 of 2 shards" in out and "missing shard 1: timeout" in out
    assert json.loads(capsys.readouterr().out) == ANSWER


def test_execute_can_be_resent(capsys):
    """Guards against a lost answer whose request cannot be resent under the same key."""
    unknown = {"code": 400, "message": "m", "outcome": "unknown", "retry_after_ms": 0}
    done = {**ANSWER, "result": "receipt", "request_key": "k1"}
    answers = [(409, json.dumps({"error": unknown})), (200, json.dumps(done))]
    with HttpThread(*answers) as server:
        words = ["--http", server.address, "query", "execute", "archivio", "work_order", "7"]
        assert run(words) == 5
        err = capsys.readouterr().err
        first = server.bodies[0]
        assert f"--request-key {first['request_key']}" in err
        assert f"--issued-at-ms {first['issued_at_ms']}" in err
        resend_options = [
            f"--request-key={first['request_key']}",
            f"--issued-at-ms={first['issued_at_ms']}",
        ]
        assert run([*words, *resend_options]) == 0
    assert server.bodies[1] == first and first["key"] == "7"
    assert "receipt" in capsys.readouterr().out


@pytest.mark.parametrize("content", ["", "[]", '{"error": {"code": "x"}}', '{"error": 5}'])
def test_an_unreadable_answer_is_a_typed_error(capsys, content):
    """Guards against a traceback when another program responds on the port."""
    with HttpThread((500, content)) as server:
        assert run(["--http", server.address, "query", "fetch", "archivio", "k"]) == 9
    assert "701 RemoteError" in capsys.readouterr().err


def test_check_settings_reports_all_problems(tmp_path, capsys):
    """Guards against a check that stops at the first problem."""
    path = tmp_path / "vm.toml"
    path.write_text('[vm]\nid = "vm1"\ndomain = "a"\n')
    assert run(["check-settings", str(path)]) == 0
    path.write_text('[vm]\nid = "a/b"\n')
    assert run(["check-settings", str(path)]) == 2
    err = capsys.readouterr().err
    assert "vm.id" in err and "vm.domain" in err
    assert run(["check-settings", str(path), "--standin"]) == 2


def test_errors_lists_all_codes(capsys):
    """Guards against an error code that the command does not list."""
    assert run(["errors", "--json"]) == 0
    listed = json.loads(capsys.readouterr().out)["errors"]
    assert {row["code"] for row in listed} == set(error_types())


def test_help_names_units(capsys):
    """Guards against options whose unit is not documented."""
    with pytest.raises(SystemExit) as exit_info:
        run(["service", "create", "--help"])
    assert exit_info.value.code == 0
    text = "".join(capsys.readouterr())
    assert "Deadline in ms" in text and "FIRE_METADATA" not in text


def test_a_reader_that_ends_early_causes_no_traceback():
    """Guards against a traceback when the output goes to a program such as head."""
    code = "from bramleycrank.cli.main import main; main()"
    with subprocess.Popen(
        [sys.executable, "-c", code, "errors"], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as process:
        process.stdout.close()
        assert process.stderr.read() == b""
        assert process.wait(20) == 141
