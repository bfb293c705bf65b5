#!/usr/bin/env python3
"""How long things take when a part fails: takeovers, log outages, urgent starts, planned stops."""

import collections
import concurrent.futures
import json
import re
import signal
import sys
import threading
import zlib

import cell as c
from slopes import request

SHARDS = 12


def home(customer, name, shards=SHARDS):
    return zlib.crc32(f"{customer}/{name}".encode()) % shards


class Flood(threading.Thread):
    """Submits small jobs that each fill a worker, so that every shard's VMs get starts all the time."""

    def __init__(self, cell, rate, entries, run_ms=300):
        super().__init__(daemon=True)
        self.cell, self.rate, self.entries, self.run_ms = cell, rate, entries, run_ms
        self.ended, self.answers = threading.Event(), []

    def run(self):
        # Calls that wait for a paused shard must not hold up those to others: threads enough for all of them.
        with concurrent.futures.ThreadPoolExecutor(600) as pool:
            open_calls, begun, number = [], c.time.monotonic(), 0
            while not self.ended.is_set():
                c.time.sleep(max(0, begun + number / self.rate - c.time.monotonic()))
                open_calls.append(pool.submit(self.step, number))
                number += 1
            self.answers = [each.result() for each in open_calls]

    def step(self, number):
        name = f"flood-{c.time.monotonic_ns()}-{number}"
        begun = c.time.monotonic()
        try:
            status = c.submit(self.cell, self.entries[number % len(self.entries)], name, processors=16000, memory=100,
                              run_ms=self.run_ms, timeout=20)[0]
        except OSError as failed:
            status = type(failed).__name__
        return home("calandria", name), begun, c.time.monotonic() - begun, status

    def end(self):
        self.ended.set()
        self.join()


def starts_by_shard(cell):
    """{shard: [moment of each start at a worker of that shard]}, by this machine's monotonic clock."""
    moments = collections.defaultdict(list)
    for at, port in enumerate(cell.ports["workers"]):
        shard = home("vm", f"worker-{at}")
        for start in json.loads(c.ask(port, "GET", "/starts")[2])["starts"]:
            moments[shard].append(start["at_us"] / 1e6)
    return {shard: sorted(each) for shard, each in moments.items()}


def witnessed_by(cell, number):
    """The shards whose newest part of this entry is that of the witness, with a promise that holds now."""
    found = set()
    for shard in cell.dump(number)["shards"]:
        parts = re.findall(r"\[\d+ (owner|witness) .*?promise until (-?\d+)", shard["rights"])
        if parts and parts[-1][0] == "witness" and int(parts[-1][1]) / 1e6 > c.time.monotonic():
            found.add(shard["shard"])
    return found


def takeover(log_down, watch_s):
    """One entry dies; the platform drops it from its list 2 s later, and the list's word counts after its lag."""
    with c.Cell(6, SHARDS, workers=48) as cell:
        cell.wait_served(even=True)
        assert cell.publish(c.rules(), "first", 0)[0] == 200
        c.time.sleep(5)
        victim = 6
        flood = Flood(cell, 40, [1, 2, 3, 4, 5])
        flood.start()
        c.time.sleep(8)
        owners, paired = cell.served(), witnessed_by(cell, victim)
        if log_down:
            c.ask(cell.ports["log"][0], "POST", "/fault", json.dumps({"down": True}))
            c.time.sleep(5)
        killed = c.time.monotonic()
        cell.entries[victim].process.send_signal(signal.SIGKILL)
        c.time.sleep(2)
        cell.list_vms([{"vm": f"entry-{victim}"}], "remove")
        c.time.sleep(watch_s - 2)
        flood.end()
        c.time.sleep(1)
        rows = []
        for shard, moments in sorted(starts_by_shard(cell).items()):
            role = ("owner" if owners.get(shard) == victim else
                    "witness" if shard in paired else "neither")
            near = [killed - 1] + [each for each in moments if killed - 1 <= each <= killed + watch_s - 1]
            later = [each for each in moments if each > killed]
            gap = max([b - a for a, b in zip(near, near[1:])] + [killed + watch_s - 1 - near[-1]])
            asked = [each for each in flood.answers if each[0] == shard and killed - 1 <= each[1] <= killed + watch_s]
            rows.append({"shard": shard, "died": role, "longest_gap_s": round(gap, 2),
                         "starts_after": len(later),
                         "slowest_submit_s": round(max([each[2] for each in asked] or [0]), 2),
                         "last_refused_s": round(max([each[1] + each[2] - killed for each in asked if each[3] not in (200, 201, 202)] or [0]), 2),
                         "submits": len(asked),
                         "refused": sum(each[3] not in (200, 201, 202) for each in asked)})
        stats = [json.loads(c.ask(port, "GET", "/stats")[2]) for port in cell.ports["workers"]]
        print("doubled", sum(each["doubled"] for each in stats), "overcommitted",
              sum(each["overcommitted_starts"] for each in stats), "starts", sum(each["starts"] for each in stats))
    return rows


def takeovers():
    for log_down in (False, True):
        rows = takeover(log_down, 20 if log_down else 70)
        c.report(f"SIGKILL of one entry of 6, log {'down' if log_down else 'up'}, {SHARDS} shards, 48 workers", rows)
        for role in ("owner", "witness", "neither"):
            gaps = [row["longest_gap_s"] for row in rows if row["died"] == role]
            submits = [row["slowest_submit_s"] for row in rows if row["died"] == role]
            if gaps:
                print(f"{role}: gap {c.spread(gaps)} s, slowest submit {c.spread(submits)} s, {len(gaps)} shards")


def outage():
    """What is accepted, started and refused while the log is down for 30 s."""
    with c.Cell(6, SHARDS, workers=24, executors=12) as cell:
        cell.wait_served(even=True)
        assert cell.publish(c.rules(), "first", 0)[0] == 200
        c.time.sleep(5)
        for at in range(5):
            assert c.submit(cell, 1, f"stand-{at}", count=10, run_ms=0)[0] in (200, 201, 202)
        c.time.sleep(3)
        answers = collections.defaultdict(collections.Counter)
        phase = ["before"]

        def one(number):
            entry, now = 1 + number % 6, phase[0]
            kind = ("job", "quote", "order")[number % 3]
            try:
                name = f"{kind}-{c.time.monotonic_ns()}-{number}"
                status = (c.submit(cell, entry, name, run_ms=500)[0] if kind == "job" else request(cell, entry, name, label=kind))
            except OSError as failed:
                status = type(failed).__name__
            answers[now, kind][status] += 1

        rows = []
        started = lambda: sum(json.loads(c.ask(port, "GET", "/stats")[2])["starts"] for port in cell.ports["workers"])
        for name, seconds in (("before", 10), ("down", 30), ("after", 10)):
            phase[0] = name
            if name != "before":
                c.ask(cell.ports["log"][0], "POST", "/fault", json.dumps({"down": name == "down"}))
            at_start = started()
            publish = None
            c.paced(45, seconds, one)
            if name == "down":
                publish = cell.publish(c.rules(4), "in-outage", 1, wait_ms=3000)
                waiting = [cell.dump(number)["log_waiting_bytes"] for number in cell.live()]
                print("publish while down:", publish[0], publish[2][:200], "; bytes that wait for the log:", waiting)
            rows.append({"phase": name, "seconds": seconds, **{kind: dict(answers[name, kind]) for kind in ("job", "quote", "order")},
                         "tasks started": started() - at_start})
        c.time.sleep(2)
        stats = [json.loads(c.ask(port, "GET", "/stats")[2]) for port in cell.ports["workers"]]
        print("running long tasks at the end:", sum(each["running"] for each in stats), "of 50; doubled",
              sum(each["doubled"] for each in stats))
    c.report("log outage of 30 s, 45 calls/s, 6 entries: answers by HTTP status", rows)


def urgent():
    """An urgent task in a cell full of preemptible work."""
    document = c.rules()
    document["rules"].insert(0, {"name": "soft", "match": {"customer": "calandria", "label": "soft"},
                                 "treat": {"preemptible": True, "priority": 1, "retries": 3}})
    document["rules"].insert(0, {"name": "urgent", "match": {"customer": "calandria", "label": "now"},
                                 "treat": {"priority": 9}})
    spans = []
    with c.Cell(3, SHARDS, workers=12) as cell:
        cell.wait_served(even=True)
        status, _, text = cell.publish(document, "first", 0)
        assert status == 200, text
        c.time.sleep(4)
        for at in range(12):
            c.submit(cell, 1, f"soft-{at}", processors=16000, memory=100, run_ms=0, label="soft")
        c.time.sleep(6)
        for at in range(20):
            name = f"urgent-{at}"
            begun = c.time.monotonic()
            c.submit(cell, 1 + at % 3, name, processors=8000, memory=100, run_ms=200, label="now", urgent=True)
            end = None
            while c.time.monotonic() < begun + 15 and end is None:
                for port in cell.ports["workers"]:
                    text = c.ask(port, "GET", "/starts")[2]
                    if f"/{name}#" in text or name in text:
                        end = min(each["at_us"] / 1e6 for each in json.loads(text)["starts"] if name in each["task"])
                c.time.sleep(0.1)
            spans.append(end - begun if end else float("inf"))
            c.time.sleep(1.5)
    c.report("urgent start in a cell full of preemptible work, 3 entries, 12 workers, 20 tries", [])
    print("s from the submit to the worker's start: " + c.spread(spans), "all:", sorted(round(each, 2) for each in spans))


def stops():
    """SIGTERM of one entry of 3 under load, with a balancer that looks at /readyz every 200 ms."""
    rows = []
    for run in range(2):
        with c.Cell(3, SHARDS, workers=12, executors=12, settings={"stop": {"unready_ms": 2000}}) as cell:
            cell.wait_served(even=True)
            assert cell.publish(c.rules(), "first", 0)[0] == 200
            c.time.sleep(4)
            ready, ended = {1, 2, 3}, threading.Event()

            def balancer():
                while not ended.wait(0.2):
                    for number, entry in cell.entries.items():
                        try:
                            ok = c.ask(entry.http, "GET", "/readyz", timeout=1)[0] == 200
                        except OSError:
                            ok = False
                        (ready.add if ok else ready.discard)(number)

            def one(number):
                entry = sorted(ready)[number % len(ready)]
                label = "quote" if number % 2 else "order"
                begun = c.time.monotonic()
                try:
                    status = request(cell, entry, f"{label}-{c.time.monotonic_ns()}-{number}", label=label)
                except OSError as failed:
                    status = type(failed).__name__
                return label, status, c.time.monotonic() - begun

            watch = threading.Thread(target=balancer)
            watch.start()
            timer = threading.Timer(4, lambda: cell.entries[1].process.send_signal(signal.SIGTERM))
            timer.start()
            answers = c.paced(60, 16, one)
            ended.set()
            watch.join()
            code = cell.entries[1].process.poll()
            rows.append({"run": run, "exit": code, **{label: dict(collections.Counter(
                status for kind, status, _ in answers if kind == label)) for label in ("quote", "order")},
                "slowest_s": round(max(span for _, _, span in answers), 2)})
    c.report("planned stop of one entry of 3 at 60 requests/s: answers by HTTP status", rows)


def main():
    named = {each.__name__: each for each in (takeovers, outage, urgent, stops)}
    for name in sys.argv[1:] or named:
        named[name]()


if __name__ == "__main__":
    main()
