"""Open-loop load generator with the load balancer's view of the VMs.

Run as a process of its own: ``python -m bench.load SPEC.json RESULT.json``. Requests start at times
drawn from a Poisson process, whether or not earlier ones have been answered, and latency counts
from the intended start, so that waiting is part of it.
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

READY_POLL_S = 0.3
READY_TIMEOUT_S = 1.0
CLIENT_GRACE_S = 2.0
BALANCER_LIMIT_PER_VM = 512


class Fleet:
    """The VMs that the load balancer regards as ready.

    Parameters
    ----------
    urls : list of str
        Base URL of each VM.
    """

    def __init__(self, urls: list[str]) -> None:
        self.urls = urls
        self.ready: list[str] = list(urls)
        self._next = 0

    def pick(self) -> str:
        """Return the next ready VM in turn."""
        candidates = self.ready or self.urls
        self._next += 1
        return candidates[self._next % len(candidates)]

    async def poll(self, client: Client) -> None:
        """Keep the list of ready VMs up to date until cancelled."""
        while True:
            states = await asyncio.gather(*(client.is_ready(url) for url in self.urls))
            self.ready = [url for url, ok in zip(self.urls, states, strict=True) if ok]
            await asyncio.sleep(READY_POLL_S)


class Client:
    """A thin HTTP client by ``treq`` with persistent connections."""

    def __init__(self) -> None:
        import treq
        from twisted.internet import reactor
        from twisted.web.client import Agent, HTTPConnectionPool

        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = BALANCER_LIMIT_PER_VM
        # The load balancer must not resend a request by itself: that would hide cut requests.
        pool.retryAutomatically = False
        self._treq = treq
        self._agent = Agent(reactor, pool=pool, connectTimeout=1.0)
        self._loop = asyncio.get_running_loop()

    async def is_ready(self, url: str) -> bool:
        """Tell whether the VM's readiness endpoint answers with 200."""
        try:
            rsp = await self._get(f"{url}/readyz")
        except Exception:
            return False
        return rsp == 200

    async def _get(self, url: str) -> int:
        call = self._treq.get(url, agent=self._agent, timeout=READY_TIMEOUT_S)
        rsp = await call.asFuture(self._loop)
        await self._treq.content(rsp).asFuture(self._loop)
        return rsp.code

    async def query(self, url: str, body: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Send one query and return the JSON answer."""
        call = self._treq.post(f"{url}/v1/query", json=body, agent=self._agent, timeout=timeout_s)
        rsp = await call.asFuture(self._loop)
        content = await self._treq.content(rsp).asFuture(self._loop)
        return json.loads(content)


def find_untruth(answer: dict[str, Any], exhaustive: bool) -> str:
    """Return what is untrue in an answer, or an empty string.

    The stand-in targets write snapshot and shard into each hit, so that a mix of versions and an
    overstated coverage show in the answer itself.

    Parameters
    ----------
    answer : dict
        Parsed answer.
    exhaustive : bool
        Whether the limit was large enough for every shard's hits to be in the result.
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
    """The finished requests of one run."""

    def __init__(self) -> None:
        self.rows: list[dict[str, Any]] = []

    def add(self, **row: Any) -> None:
        """Record one finished request."""
        self.rows.append(row)

    def summary(self, seconds: float) -> dict[str, Any]:
        """Summarize all requests and those of each label."""
        labels = sorted({row["label"] for row in self.rows})
        parts = {name: [r for r in self.rows if r["label"] == name] for name in labels}
        return {
            "all": summarize(self.rows, seconds),
            "labels": {name: summarize(rows, seconds) for name, rows in parts.items()},
        }


def summarize(rows: list[dict[str, Any]], seconds: float) -> dict[str, Any]:
    """Summarize rows of finished requests; latencies in milliseconds."""
    from hdrh.histogram import HdrHistogram

    hist = HdrHistogram(1, 120_000_000, 3)
    for row in rows:
        hist.record_value(max(1, int(row["latency_s"] * 1e6)))
    answered = [row for row in rows if row["kind"] == "answer"]
    good = [row for row in answered if row["in_time"] and row["coverage"] == 1]
    needed = sum(row["needed"] for row in answered)
    return {
        "requests": len(rows),
        "p50_ms": hist.get_value_at_percentile(50) / 1000,
        "p99_ms": hist.get_value_at_percentile(99) / 1000,
        "p99_9_ms": hist.get_value_at_percentile(99.9) / 1000,
        "goodput_per_s": len(good) / seconds,
        "good_share": len(good) / len(rows) if rows else 0,
        "coverage": sum(row["coverage"] for row in answered) / len(answered) if answered else 0,
        "complete_share": sum(row["coverage"] == 1 for row in answered) / len(rows) if rows else 0,
        "refused_share": share(rows, "refused"),
        "failed_share": share(rows, "failed"),
        "cut": sum(row["kind"] == "cut" for row in rows),
        "load_factor": sum(row["sent"] for row in answered) / needed if needed else 0,
        "untrue_answers": sum(bool(row["untrue"]) for row in rows),
        "errors": count_names(rows),
    }


def share(rows: list[dict[str, Any]], kind: str) -> float:
    """Return the share of rows of one kind."""
    return sum(row["kind"] == kind for row in rows) / len(rows) if rows else 0


def count_names(rows: list[dict[str, Any]]) -> dict[str, int]:
    """Count the error names."""
    names = [row["error"] for row in rows if row["error"]]
    return {name: names.count(name) for name in sorted(set(names))}


class LoadRun:
    """One open-loop run as a specification describes it."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.spec = spec
        self.rng = random.Random(spec["seed"])
        self.client = Client()
        self.fleet = Fleet(spec["urls"])
        self.recorder = Recorder()
        self.bodies = spec["mix"]
        self.weights = [item["weight"] for item in self.bodies]

    async def run(self) -> dict[str, Any]:
        """Run to the end and return the summary."""
        poller = asyncio.create_task(self.fleet.poll(self.client))
        tasks: set[asyncio.Task] = set()
        start = time.perf_counter()
        warm_until = start + self.spec["warmup_s"]
        end = warm_until + self.spec["seconds"]
        due = start
        number = 0
        while (due := due + self.rng.expovariate(self.spec["rate"])) < end:
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            number += 1
            task = asyncio.create_task(self.one(number, due, due >= warm_until))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(tasks)
        poller.cancel()
        return self.recorder.summary(self.spec["seconds"])

    async def one(self, number: int, due: float, recorded: bool) -> None:
        """Send one request and record how it ended."""
        item = self.rng.choices(self.bodies, self.weights)[0]
        body = dict(item["body"], query=f"q{self.rng.randrange(10_000)}")
        if item.get("keyed"):
            body |= {"request_key": f"{self.spec['seed']}-{number}", "key": f"k{number}"}
            body |= {"issued_at_ms": int(time.time() * 1000)}
        deadline_s = body["deadline_ms"] / 1000
        row = {"label": item["label"], "needed": 0, "sent": 0, "coverage": 0.0}
        try:
            answer = await self.client.query(self.fleet.pick(), body, deadline_s + CLIENT_GRACE_S)
            row |= self.judge(answer, item.get("exhaustive", False))
        except Exception as exc:
            row |= {"kind": "cut", "error": type(exc).__name__, "untrue": ""}
        row["latency_s"] = time.perf_counter() - due
        row["in_time"] = row["latency_s"] <= deadline_s
        if recorded:
            self.recorder.add(**row)

    def judge(self, answer: dict[str, Any], exhaustive: bool) -> dict[str, Any]:
        """Classify one parsed answer."""
        if "error" in answer:
            error = answer["error"]
            kind = "refused" if error["outcome"] == "not_run" else "failed"
            return {"kind": kind, "error": error["name"], "untrue": ""}
        coverage, attempts = answer["coverage"], answer["attempts"]
        return {
            "kind": "answer",
            "error": "",
            "untrue": find_untruth(answer, exhaustive)
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
