"""Starts a cell of processes on loopback, reads what they cost, and ends them by id."""

import concurrent.futures
import http.client
import json
import os
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time


class Post(threading.local):
    """Connections of one thread, kept open."""

    def __init__(self):
        self.open = {}

    def __call__(self, port, method, path, body=None, headers=None, timeout=30):
        for attempt in (0, 1):
            known = self.open.get(port)
            if known is None:
                known = self.open[port] = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
            try:
                known.timeout = timeout
                known.request(method, path, body, headers or {})
                answer = known.getresponse()
                return answer.status, dict(answer.getheaders()), answer.read().decode()
            except (http.client.RemoteDisconnected, BrokenPipeError, ConnectionResetError):
                known.close()
                del self.open[port]
                if attempt == 1:
                    raise
            except OSError:
                known.close()
                del self.open[port]
                raise


ask = Post()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def cpu_s(pid):
    """User and system time of a process in seconds, by the scheduler's own count of each thread.

    /proc/PID/stat gives the same sum, cut to 10 ms, which is too coarse for a few seconds of an idle entry.
    """
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{thread}/schedstat") as stat:
            total += int(stat.read().split()[0])
    return total / 1e9


def memory_kb(pid):
    """VmRSS, which is what a node's share of memory is counted by."""
    with open(f"/proc/{pid}/status") as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1))


def fit(points):
    """Least squares: (slope, intercept) of [(x, y)]."""
    xs, ys = zip(*points)
    mean_x, mean_y = statistics.mean(xs), statistics.mean(ys)
    below = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / below
    return slope, mean_y - slope * mean_x


class Sample:
    """What one entry had spent at a moment."""

    def __init__(self, cell, number):
        entry = cell.entries[number]
        # The totals in the metrics are up to 0.2 s old; windows of several seconds don't mind.
        text = ask(entry.http, "GET", "/metrics")[2]
        self.at = time.monotonic()
        self.cpu = cpu_s(entry.pid)
        self.memory = memory_kb(entry.pid)
        self.totals = {}
        for line in text.splitlines():
            name, value = line.rsplit(" ", 1)
            self.totals[name] = float(value)

    def __sub__(self, before):
        return Spent(before, self)


class Spent:
    """The difference of two samples, a second."""

    def __init__(self, before, after):
        self.seconds = after.at - before.at
        self.cpu = (after.cpu - before.cpu) / self.seconds
        self.memory = after.memory
        self.rates = {
            name: (value - before.totals.get(name, 0)) / self.seconds
            for name, value in after.totals.items()
        }

    def bytes_with(self, partner):
        return sum(
            rate
            for name, rate in self.rates.items()
            if name.startswith("rosearch_traffic_bytes_total{") and f'with="{partner}' in name
        )

    def messages_with(self, partner):
        return sum(
            rate
            for name, rate in self.rates.items()
            if name.startswith("rosearch_traffic_messages_total{") and f'with="{partner}' in name
        )

    def row(self):
        partners = ["peer", "worker", "executor", "log", "vm_list"]
        return {
            "cpu_percent": round(100 * self.cpu, 2),
            "rss_mb": round(self.memory / 1024, 1),
            **{f"{each}_B/s": round(self.bytes_with(each)) for each in partners},
            "total_kB/s": round(sum(self.bytes_with(each) for each in partners) / 1000, 2),
            "appends/s": round(self.rates.get("rosearch_log_appends_total", 0), 2),
        }


class Entry:
    def __init__(self, number, http_port, peer_port):
        self.number, self.http, self.peer = number, http_port, peer_port
        self.process = None

    @property
    def pid(self):
        return self.process.pid


class Cell:
    def __init__(self, entries, shards, workers=0, executors=0, settings=None, threads=4, region="south",
                 domains=3, processors=16000, memory=65536, slots=8, vm_list_rows=0):
        self.bin = os.environ.get("ROSEARCH_BIN", "build/release")
        self.folder = tempfile.mkdtemp(prefix="rosearch-measure-")
        self.shards, self.region, self.domains, self.threads = shards, region, domains, threads
        self.extra = settings or {}
        self.children, self.entries = [], {}
        self.ports = {}
        self.stand_in("log", "log")
        self.stand_in("vms", "vms")
        if workers:
            self.stand_in("workers", "workers", "--count", str(workers), "--processors-milli", str(processors),
                          "--memory-mb", str(memory))
        if executors:
            self.stand_in("executors", "executors", "--count", str(executors), "--slots", str(slots))
        rows = [self.vm(f"worker-{at}", "VM_WORKER", port, at, at % domains,
                        holds={"processors_milli": processors, "memory_mb": memory})
                for at, port in enumerate(self.ports.get("workers", []))]
        rows += [self.vm(f"executor-{at}", "VM_EXECUTOR", port, at, at % domains, slots=slots, connections=60,
                         service="fuel")
                 for at, port in enumerate(self.ports.get("executors", []))]
        # Rows of another region: in the list, but nobody's here.
        rows += [self.vm(f"other-{at}", "VM_WORKER", 9, at, at % domains, region="elsewhere",
                         holds={"processors_milli": processors, "memory_mb": memory})
                 for at in range(vm_list_rows)]
        self.list_vms(rows)
        for _ in range(entries):
            self.add_entry()

    def vm(self, name, kind, port, at, domain, region=None, **extra):
        return {"vm": name, "kind": kind, "address": f"127.0.0.1:{port}", "region": region or self.region,
                "failure_domain": f"fd-{domain}", "rack": f"rack-{at // 8}", "instance": at + 1, **extra}

    def list_vms(self, rows, verb="set"):
        for at in range(0, len(rows), 500):
            status, _, text = ask(self.ports["vms"][0], "POST", f"/v1/{verb}", json.dumps({"vms": rows[at:at + 500]}))
            assert status == 200, text

    def stand_in(self, name, *command):
        file = f"{self.folder}/{name}.port"
        with open(f"{self.folder}/{name}.err", "w") as errors:
            process = subprocess.Popen([f"{self.bin}/rosearch_testbed", *command, "--port-file", file], stderr=errors)
        self.children.append(process)
        while not os.path.exists(file):
            assert process.poll() is None, f"{name} ended"
            time.sleep(0.02)
        with open(file) as ports:
            self.ports[name] = [int(line) for line in ports]

    def settings_of(self, entry):
        settings = {
            "entry": {"name": f"entry-{entry.number}", "region": self.region,
                      "failure_domain": f"fd-{entry.number % self.domains}"},
            "http": {"port": entry.http, "threads": self.threads},
            "peer": {"port": entry.peer},
            "platform": {"log": [f"127.0.0.1:{self.ports['log'][0]}"], "vm_list": f"127.0.0.1:{self.ports['vms'][0]}"},
            "cell": {"regions": [{"name": self.region, "shards": self.shards}]},
            "stop": {"unready_ms": 500},
        }
        for section, values in self.extra.items():
            settings.setdefault(section, {}).update(values)
        return settings

    def add_entry(self):
        number = len(self.entries) + 1
        entry = self.entries[number] = Entry(number, *free_ports(2))
        self.start(entry, instance=number)
        return entry

    def start(self, entry, instance):
        file = f"{self.folder}/entry-{entry.number}.json"
        with open(file, "w") as out:
            json.dump(self.settings_of(entry), out)
        self.list_vms([self.vm(f"entry-{entry.number}", "VM_ENTRY", entry.peer, entry.number,
                               entry.number % self.domains) | {"instance": instance}])
        with open(f"{self.folder}/entry-{entry.number}.err", "a") as errors:
            entry.process = subprocess.Popen(
                [f"{self.bin}/rosearch", "serve", "--settings", file, "--instance", str(instance)], stderr=errors)
        self.children.append(entry.process)

    def dump(self, number):
        return json.loads(ask(self.entries[number].http, "GET", "/v1/dump")[2])

    def live(self):
        return [number for number, entry in self.entries.items() if entry.process.poll() is None]

    def served(self):
        """{shard: entry} as the entries themselves say."""
        owners = {}
        for number in self.live():
            for shard in self.dump(number)["shards"]:
                if shard.get("serving"):
                    owners[shard["shard"]] = number
        return owners

    def wait_served(self, limit=60, even=False):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                owners = self.served()
                counts = [list(owners.values()).count(each) for each in self.live()]
                if len(owners) == self.shards and (not even or max(counts) - min(counts) <= 1):
                    return owners
            except OSError:
                pass
            time.sleep(0.25)
        raise TimeoutError(f"shards served after {limit} s: {self.served()}")

    def publish(self, document, change, replaces=None, wait_ms=15000, entry=1):
        if replaces is None:
            replaces = json.loads(ask(self.entries[entry].http, "GET", "/v1/configuration")[2])["version"]
        return ask(self.entries[entry].http, "POST", f"/v1/configuration?wait_ms={wait_ms}", json.dumps(document),
                   {"Rosearch-Change": change, "Rosearch-Replaces": str(replaces), "Rosearch-Author": "measure"})

    def sample(self, number):
        return Sample(self, number)

    def spent(self, number, seconds):
        before = self.sample(number)
        time.sleep(seconds)
        return self.sample(number) - before

    def stop(self):
        for process in reversed(self.children):
            if process.poll() is None:
                process.terminate()
        for process in self.children:
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        if failure[0]:
            for number in self.entries:
                with open(f"{self.folder}/entry-{number}.err") as errors:
                    print(f"-- entry-{number}", *errors.readlines()[-6:], sep="\n", file=sys.stderr)
        self.stop()


def rules(count=3, customers=2):
    """A document with so many rules; the last ones match everything that is asked for here."""
    names = ["calandria", "trinacria"] + [f"customer-{at}" for at in range(customers - 2)]
    quota = {"processors_milli": 1_000_000_000, "memory_mb": 1_000_000_000}
    fixed = [
        {"name": "quotes", "match": {"customer": "calandria", "kind": "request", "label": "quote"},
         "treat": {"policy": "quick", "retries": 2, "idempotent": True}},
        {"name": "orders", "match": {"customer": "calandria", "kind": "request"}, "treat": {"idempotent": False}},
        {"name": "jobs", "match": {"customer": "calandria"}, "treat": {"retries": 1}},
    ]
    more = [{"name": f"rule-{at}", "match": {"customer": names[at % len(names)], "label": f"label-{at}"},
             "treat": {"retries": at % 4}} for at in range(count - len(fixed))]
    return {"customers": [{"name": name, "quota": quota} for name in names], "rules": more + fixed}


def submit(cell, entry, job, count=1, kind="batch", run_ms=0, processors=10, memory=10, timeout=15, **more):
    body = {"customer": "calandria", "job": job, "kind": kind, "count": count, "run_ms": run_ms,
            "needs": {"processors_milli": processors, "memory_mb": memory}, **more}
    return ask(cell.entries[entry].http, "POST", "/v1/jobs", json.dumps(body), timeout=timeout)


def job(cell, entry, name):
    status, _, text = ask(cell.entries[entry].http, "GET", f"/v1/jobs/calandria/{name}", timeout=15)
    return json.loads(text) if status == 200 else {}


def paced(rate, seconds, step, threads=32):
    """Calls step(number) at a steady rate; returns its answers. Late calls are not dropped."""
    begun = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        open_calls = []
        for number in range(int(rate * seconds)):
            wait = begun + number / rate - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            open_calls.append(pool.submit(step, number))
        return [each.result() for each in open_calls]


def load():
    return os.getloadavg()[0]


def report(title, rows):
    """Prints rows as a table for docs/MEASUREMENTS.md."""
    print(f"\n### {title}\n\nload {load():.1f}, {time.strftime('%Y-%m-%d %H:%M')}\n")
    if rows:
        names = list(rows[0])
        print("| " + " | ".join(names) + " |")
        print("|" + "---|" * len(names))
        for row in rows:
            print("| " + " | ".join(str(row.get(name, "")) for name in names) + " |")
    sys.stdout.flush()


def spread(values, digits=2):
    """Median and range of the runs."""
    return f"{statistics.median(values):.{digits}f} ({min(values):.{digits}f}..{max(values):.{digits}f})"
