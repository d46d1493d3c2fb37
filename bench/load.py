"""Open-loop load generator that simulates the load balancer in front of the VMs.

Run as a separate process: ``python -m bench.load SPEC.json RESULT.json``. Requests arrive as a
Poisson process, whether or not earlier ones have been answered. Latency counts from the scheduled
start, so it includes any delay in sending the request.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from twisted.internet import asyncioreactor

READY_POLL_INTERVAL_S = 0.3
READY_TIMEOUT_S = 1.0
CLIENT_GRACE_S = 2.0
MAX_CONNECTIONS_PER_VM = 512


class LoadBalancer:
    """Load balancer that polls the readiness of VMs and selects ready ones in turn.

    Parameters
    ----------
    urls : list of str
        Base URL of each VM.
    """

    def __init__(self, urls: list[str]) -> None:
        self.urls = urls
        self.ready: list[str] = list(urls)
        self._next = 0

    def next_url(self) -> str:
        """Return the URL of the next ready VM, or of any VM if none is ready."""
        candidates = self.ready or self.urls
        self._next += 1
        return candidates[self._next % len(candidates)]

    async def poll_readiness(self, client: Client) -> None:
        """Poll the readiness of all VMs until cancelled."""
        while True:
            ready_flags = await asyncio.gather(*(client.is_ready(url) for url in self.urls))
            self.ready = [
                url for url, is_ready in zip(self.urls, ready_flags, strict=True) if is_ready
            ]
            await asyncio.sleep(READY_POLL_INTERVAL_S)


class Client:
    """HTTP client with persistent connections, based on ``treq``."""

    def __init__(self) -> None:
        import treq
        from twisted.internet import reactor
        from twisted.web.client import Agent, HTTPConnectionPool

        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_VM
        # A retry by the connection pool would hide requests whose connection was lost.
        pool.retryAutomatically = False
        self._treq = treq
        self._agent = Agent(reactor, pool=pool, connectTimeout=1.0)
        self._loop = asyncio.get_running_loop()

    async def is_ready(self, url: str) -> bool:
        """Return whether the readiness endpoint of a VM responds with status 200."""
        try:
            rsp = await self._get(f"{url}/readyz")
        except Exception:
            return False
        return rsp == 200

    async def _get(self, url: str) -> int:
        deferred = self._treq.get(url, agent=self._agent, timeout=READY_TIMEOUT_S)
        rsp = await deferred.asFuture(self._loop)
        await self._treq.content(rsp).asFuture(self._loop)
        return rsp.code

    async def query(self, url: str, body: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Send one query and return the parsed JSON answer."""
        deferred = self._treq.post(
            f"{url}/v1/query", json=body, agent=self._agent, timeout=timeout_s
        )
        rsp = await deferred.asFuture(self._loop)
        content = await self._treq.content(rsp).asFuture(self._loop)
        return json.loads(content)


def find_contradiction(answer: dict[str, Any], exhaustive: bool) -> str:
    """Return the field of an answer that contradicts its hits, or an empty string.

    The stand-in targets write snapshot and shard into each hit, so mixed snapshots and overstated
    coverage can be detected from the answer alone.

    Parameters
    ----------
    answer : dict
        Parsed answer.
    exhaustive : bool
        Whether the limit was large enough for the result to contain hits of every shard.
    """
    snapshot, coverage = answer["snapshot"], answer["coverage"]
    hits = [json.loads(hit["body"]) for hit in answer["result"] if hit["body"].startswith("{")]
    versions = {(hit["version"], hit["shard_count"]) for hit in hits}
    if versions - {(snapshot["version"], snapshot["shard_count"])}:
        return "snapshot"
    shards = {hit["shard"] for hit in hits}
    missing = {item["shard"] for item in coverage["missing"]}
    if shards & missing or coverage["answered"] + len(missing) != coverage["total"]:
        return "missing"
    if exhaustive and len(shards) != coverage["answered"]:
        return "answered"
    return ""


class Recorder:
    """Collects the finished requests of one run."""

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []

    def add(self, **row: Any) -> None:
        """Add a finished request."""
        self.rows.append(row)

    def summary(self, seconds: float) -> dict[str, Any]:
        """Return summaries of all requests and of the requests of each label."""
        labels = sorted({row["label"] for row in self.rows})
        rows_by_label = {name: [r for r in self.rows if r["label"] == name] for name in labels}
        return {
            "all": summarize(self.rows, seconds),
            "labels": {name: summarize(rows, seconds) for name, rows in rows_by_label.items()},
        }


def summarize(rows: list[dict[str, Any]], seconds: float) -> dict[str, Any]:
    """Return counts, shares and latencies in ms of finished requests."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, 120_000_000, 3)
    for row in rows:
        histogram.record_value(max(1, int(row["latency_s"] * 1e6)))
    answered = [row for row in rows if row["kind"] == "answer"]
    complete_in_time = [row for row in answered if row["in_time"] and row["coverage"] == 1]
    needed = sum(row["needed"] for row in answered)
    return {
        "requests": len(rows),
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "p99_9_ms": histogram.get_value_at_percentile(99.9) / 1000,
        "goodput_per_s": len(complete_in_time) / seconds,
        "good_share": len(complete_in_time) / len(rows) if rows else 0,
        "coverage": sum(row["coverage"] for row in answered) / len(answered) if answered else 0,
        "complete_share": sum(row["coverage"] == 1 for row in answered) / len(rows) if rows else 0,
        "refused_share": kind_share(rows, "refused"),
        "failed_share": kind_share(rows, "failed"),
        "cut": sum(row["kind"] == "cut" for row in rows),
        "load_factor": sum(row["sent"] for row in answered) / needed if needed else 0,
        "untrue_answers": sum(bool(row["untrue"]) for row in rows),
        "errors": count_errors(rows),
    }


def kind_share(rows: list[dict[str, Any]], kind: str) -> float:
    """Return the share of requests with a result of one kind."""
    return sum(row["kind"] == kind for row in rows) / len(rows) if rows else 0


def count_errors(rows: list[dict[str, Any]]) -> dict[str, int]:
    """Return the number of requests by error name."""
    names = [row["error"] for row in rows if row["error"]]
    return {name: names.count(name) for name in sorted(set(names))}


class LoadRun:
    """One open-loop run, configured by a specification."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.spec = spec
        self.rng = random.Random(spec["seed"])
        self.client = Client()
        self.balancer = LoadBalancer(spec["urls"])
        self.recorder = Recorder()
        self.mix = spec["mix"]
        self.weights = [request_type["weight"] for request_type in self.mix]

    async def run(self) -> dict[str, Any]:
        """Send all requests, wait for their answers and return the summary."""
        poller = asyncio.create_task(self.balancer.poll_readiness(self.client))
        tasks: set[asyncio.Task] = set()
        start = time.perf_counter()
        warmup_end = start + self.spec["warmup_s"]
        end = warmup_end + self.spec["seconds"]
        due_at = start
        number = 0
        while (due_at := due_at + self.rng.expovariate(self.spec["rate"])) < end:
            await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
            number += 1
            task = asyncio.create_task(self.send_request(number, due_at, due_at >= warmup_end))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)
        poller.cancel()
        return self.recorder.summary(self.spec["seconds"])

    async def send_request(self, number: int, due_at: float, recorded: bool) -> None:
        """Send one request and record its result."""
        request_type = self.rng.choices(self.mix, self.weights)[0]
        body = dict(request_type["body"], query=f"q{self.rng.randrange(10_000)}")
        if request_type.get("keyed"):
            body |= {"request_key": f"{self.spec['seed']}-{number}", "key": f"k{number}"}
            body |= {"issued_at_ms": int(time.time() * 1000)}
        deadline_s = body["deadline_ms"] / 1000
        row = {"label": request_type["label"], "needed": 0, "sent": 0, "coverage": 0.0}
        try:
            answer = await self.client.query(
                self.balancer.next_url(), body, deadline_s + CLIENT_GRACE_S
            )
            row |= self.classify_answer(answer, request_type.get("exhaustive", False))
        except Exception as exc:
            row |= {"kind": "cut", "error": type(exc).__name__, "untrue": ""}
        row["latency_s"] = time.perf_counter() - due_at
        row["in_time"] = row["latency_s"] <= deadline_s
        if recorded:
            self.recorder.add(**row)

    def classify_answer(self, answer: dict[str, Any], exhaustive: bool) -> dict[str, Any]:
        """Return the recorded fields of a parsed answer."""
        if "error" in answer:
            error = answer["error"]
            kind = "refused" if error["outcome"] == "not_run" else "failed"
            return {"kind": kind, "error": error["name"], "untrue": ""}
        coverage, attempts = answer["coverage"], answer["attempts"]
        return {
            "kind": "answer",
            "error": "",
            "untrue": find_contradiction(answer, exhaustive)
            if isinstance(answer["result"], list)
            else "",
            "coverage": coverage["answered"] / coverage["total"],
            "needed": attempts["needed"],
            "sent": attempts["sent"],
        }


def main() -> None:
    """Run the specification named on the command line."""
    spec_path, result_path = map(Path, sys.argv[1:3])
    spec = json.loads(spec_path.read_text())
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    async def run() -> None:
        try:
            result = await LoadRun(spec).run()
            result_path.write_text(json.dumps(result))
        finally:
            reactor.stop()

    reactor.callWhenRunning(lambda: loop.create_task(run()))
    reactor.run()


if __name__ == "__main__":
    main()
