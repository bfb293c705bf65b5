#!/usr/bin/env python3
"""Slopes: what one more VM, task, start, request, rule or queued job costs an entry.

A cell of several entries is measured as a whole: a start touches the entry that was asked, the owners of
the job's and of the VM's shard and their witnesses, and the sum over all of them is what 14 nodes share.
"""

import json
import sys

import cell as c

ENTRIES, SHARDS = 3, 12


def spend(cell, seconds, step=None, rate=0):
    """The sum over the entries of what they spend a second; step is called at a rate meanwhile."""
    before = {number: cell.sample(number) for number in cell.live()}
    answers = c.paced(rate, seconds, step) if rate else c.time.sleep(seconds)
    spent = [cell.sample(number) - before[number] for number in before]
    total = {"cpu_ms/s": 1000 * sum(each.cpu for each in spent), "rss_mb": sum(each.memory for each in spent) / 1024}
    for partner in ["peer", "worker", "executor", "log", "vm_list"]:
        total[f"{partner}_B/s"] = sum(each.bytes_with(partner) for each in spent)
        total[f"{partner}_msg/s"] = sum(each.messages_with(partner) for each in spent)
    total["append_B/s"] = sum(each.rates.get("rosearch_log_append_bytes_total", 0) for each in spent)
    total["read_records/s"] = sum(each.rates.get("rosearch_log_read_records_total", 0) for each in spent)
    return total, answers


def table(title, unit, points, slopes):
    """points: [(x, {name: [runs]})]; prints each and the fit of each named figure."""
    names = list(points[0][1])
    c.report(title, [{unit: x, **{name: c.spread(values[name], 1) for name in names}} for x, values in points])
    flat = {name: [(x, value) for x, values in points for value in values[name]] for name in names}
    print("\nfit: " + "; ".join(
        f"{name} {slope:.4g} each + {base:.4g}" for name in slopes for slope, base in [c.fit(flat[name])]))
    sys.stdout.flush()


def gather(runs):
    return {name: [run[name] for run in runs] for name in runs[0]}


def vms():
    points = []
    for count in (54, 250, 760):
        with c.Cell(1, 4, workers=count) as cell:
            cell.wait_served()
            c.time.sleep(4)
            points.append((count, gather([spend(cell, 4)[0] for _ in range(3)])))
    table("1 entry, 4 shards, idle worker VMs", "vms", points, ["rss_mb", "cpu_ms/s", "vm_list_B/s", "worker_B/s"])


def tasks():
    points = []
    with c.Cell(ENTRIES, SHARDS, workers=54) as cell:
        cell.wait_served(even=True)
        assert cell.publish(c.rules(), "first", 0)[0] == 200
        running = 0
        for target in (0, 500, 1000, 2000):
            while running < target:
                assert c.submit(cell, 1, f"hold-{running}", count=100, run_ms=0)[0] in (200, 201, 202)
                running += 100
            c.time.sleep(8)
            points.append((running, gather([spend(cell, 5)[0] for _ in range(3)])))
        stats = [json.loads(c.ask(port, "GET", "/stats")[2])["running"] for port in cell.ports["workers"]]
        print(f"running at the workers: {sum(stats)}")
    table("running tasks, 54 workers, 3 entries together", "tasks", points,
          ["rss_mb", "cpu_ms/s", "worker_B/s", "peer_B/s", "log_B/s", "append_B/s"])


def starts(rates=(0, 10, 25, 50)):
    points = []
    with c.Cell(ENTRIES, SHARDS, workers=54) as cell:
        cell.wait_served(even=True)
        assert cell.publish(c.rules(), "first", 0)[0] == 200
        for rate in rates:
            def step(number, rate=rate):
                try:
                    return c.submit(cell, 1 + number % ENTRIES, f"short-{rate}-{c.time.monotonic_ns()}-{number}", run_ms=1000)[0]
                except OSError as failed:
                    return type(failed).__name__
            if rate:
                c.paced(rate, 4, step)
            runs = []
            for _ in range(3):
                total, answers = spend(cell, 6, step, rate)
                runs.append(total)
                if rate:
                    print(f"rate {rate}: " + str({each: answers.count(each) for each in set(answers)}))
            points.append((rate, gather(runs)))
        c.time.sleep(3)
        stats = [json.loads(c.ask(port, "GET", "/stats")[2]) for port in cell.ports["workers"]]
        print("workers: starts", sum(each["starts"] for each in stats), "doubled", sum(each["doubled"] for each in stats),
              "overcommitted", sum(each["overcommitted_starts"] for each in stats))
    table("starts a second (one task a job), 3 entries together", "starts/s", points,
          ["cpu_ms/s", "worker_B/s", "peer_B/s", "log_B/s", "append_B/s", "read_records/s", "worker_msg/s", "peer_msg/s", "log_msg/s"])


def job_starts(rates=(0, 25, 50, 100), tasks=25):
    """Starts of the tasks of larger jobs, as 7,400 jobs a day and 180 starts a second suggest."""
    points = []
    with c.Cell(ENTRIES, SHARDS, workers=54) as cell:
        cell.wait_served(even=True)
        assert cell.publish(c.rules(), "first", 0)[0] == 200
        for rate in rates:
            def step(number):
                name = f"job-{c.time.monotonic_ns() // 1000}"
                return c.submit(cell, 1 + number % ENTRIES, name, count=tasks, run_ms=1000)[0]
            if rate:
                c.paced(rate / tasks, 3, step)
            runs = []
            for _ in range(3):
                total, answers = spend(cell, 5, step, rate / tasks)
                runs.append(total)
            points.append((rate, gather(runs)))
        c.time.sleep(3)
        stats = [json.loads(c.ask(port, "GET", "/stats")[2]) for port in cell.ports["workers"]]
        print("workers: starts", sum(each["starts"] for each in stats), "doubled", sum(each["doubled"] for each in stats),
              "overcommitted", sum(each["overcommitted_starts"] for each in stats))
    table(f"starts a second in jobs of {tasks} tasks, 3 entries together", "starts/s", points,
          ["cpu_ms/s", "worker_B/s", "peer_B/s", "log_B/s", "append_B/s", "worker_msg/s", "peer_msg/s", "log_msg/s"])


def request(cell, entry, name, body="{}", label="quote", **headers):
    given = {"Rosearch-Customer": "calandria", "Rosearch-Label": label, **headers}
    if label != "quote":
        given |= {"Rosearch-Request": name, "Rosearch-Issued-At": str(int(c.time.time() * 1000))}
    return c.ask(cell.entries[entry].http, "POST", "/v1/requests/fuel/order", body, given)[0]


def requests():
    for label in ("order", "quote"):
        points = []
        with c.Cell(ENTRIES, SHARDS, executors=12) as cell:
            cell.wait_served(even=True)
            assert cell.publish(c.rules(), "first", 0)[0] == 200
            c.time.sleep(3)
            total_asked = 0
            for rate in (0, 40, 120):
                def step(number, rate=rate):
                    return request(cell, 1 + number % ENTRIES, f"order-{rate}-{c.time.monotonic_ns()}-{number}", label=label)
                if rate:
                    c.paced(rate, 2, step)
                runs = []
                for _ in range(3):
                    total, answers = spend(cell, 4, step, rate)
                    runs.append(total)
                    if rate:
                        print(f"{label} {rate}: " + str({each: answers.count(each) for each in set(answers)}))
                points.append((rate, gather(runs)))
        table(f"requests a second ({label}: {'idempotent' if label == 'quote' else 'at most once'}), 3 entries together",
              "requests/s", points,
              ["cpu_ms/s", "executor_B/s", "peer_B/s", "log_B/s", "append_B/s", "peer_msg/s", "log_msg/s"])


def known():
    """Memory for each remembered id of an at-most-once request: one entry, no witness, one shard."""
    points = []
    with c.Cell(2, 1, executors=12) as cell:
        owner = cell.wait_served()[0]
        assert cell.publish(c.rules(), "first", 0)[0] == 200
        c.time.sleep(4)
        asked = 0
        for target in (0, 2000, 4000, 8000):
            todo = target - asked
            if todo:
                answers = c.paced(400, todo / 400, lambda number: request(cell, owner, f"id-{c.time.monotonic_ns()}-{number}", label="order"))
                print(target, {each: answers.count(each) for each in set(answers)})
            asked = target
            c.time.sleep(2)
            points.append((target, {"owner_rss_kb": [cell.sample(owner).memory for _ in range(3)],
                                    "witness_rss_kb": [cell.sample(3 - owner).memory for _ in range(3)]}))
    table("remembered request ids, 1 shard", "ids", points, ["owner_rss_kb", "witness_rss_kb"])


def queued():
    points = []
    with c.Cell(2, 1, workers=2, processors=100) as cell:
        owner = cell.wait_served()[0]
        assert cell.publish(c.rules(), "first", 0)[0] == 200
        c.time.sleep(4)
        for at in range(2):
            assert c.submit(cell, owner, f"fill-{at}", run_ms=0, processors=100)[0] in (200, 201, 202)
        asked = 0
        for target in (0, 1000, 2000, 4000):
            todo = target - asked
            if todo:
                answers = c.paced(200, todo / 200, lambda number: c.submit(cell, owner, f"wait-{c.time.monotonic_ns()}-{number}", processors=100)[0])
                print(target, {each: answers.count(each) for each in set(answers)})
            asked = target
            c.time.sleep(2)
            spent = [cell.spent(owner, 3) for _ in range(3)]
            points.append((target, {"owner_rss_kb": [each.memory for each in spent],
                                    "witness_rss_kb": [cell.sample(3 - owner).memory] * 3,
                                    "owner_cpu_ms/s": [1000 * each.cpu for each in spent],
                                    "peer_B/s": [each.bytes_with("peer") for each in spent]}))
    table("queued jobs, 1 shard, full cell", "jobs", points, ["owner_rss_kb", "witness_rss_kb", "owner_cpu_ms/s", "peer_B/s"])


def configured():
    points, slowest = [], []
    with c.Cell(6, 12) as cell:
        cell.wait_served()
        version = 0
        for count in (10, 100, 690):
            for change in range(7):
                before = {number: cell.sample(number) for number in cell.live()}
                begun = c.time.monotonic()
                status, _, text = cell.publish(c.rules(count, customers=21), f"change-{count}-{change}", version)
                slowest.append(c.time.monotonic() - begun)
                assert status == 200, text
                version += 1
            c.time.sleep(2)
            runs = []
            for change in range(3):
                before = {number: cell.sample(number) for number in cell.live()}
                for again in range(4):
                    status, _, text = cell.publish(c.rules(count, customers=21), f"rate-{count}-{change}-{again}", version)
                    assert status == 200, text
                    version += 1
                c.time.sleep(1)
                spent = [cell.sample(number) - before[number] for number in before]
                runs.append({"rss_mb": sum(each.memory for each in spent) / 1024,
                             "cpu_ms_per_publish": sum(1000 * each.cpu * each.seconds for each in spent) / 4,
                             "log_B_per_publish": sum(each.bytes_with("log") * each.seconds for each in spent) / 4,
                             "peer_B_per_publish": sum(each.bytes_with("peer") * each.seconds for each in spent) / 4})
            points.append((count, gather(runs)))
    table("rules in force, 6 entries together", "rules", points, list(points[0][1]))
    print(f"published and in force at all 6 entries, {len(slowest)} publishes: " + c.spread(slowest, 2) + " s")


def main():
    named = {each.__name__: each for each in (vms, tasks, starts, job_starts, requests, known, queued, configured)}
    for name in sys.argv[1:] or named:
        named[name]()


if __name__ == "__main__":
    main()
