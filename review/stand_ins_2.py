"""Stand-ins for the platform of a small deployment, on loopback addresses: store, executors, callers, network.

Every process j of the system sees each other machine at an address of its own (127.j.9.k is process k as
process j reaches it), so that single paths can be cut. The store, the executors and the links between the
processes translate these addresses; they are all of one length. A cut path is silent: what is sent on it
is lost, and connections that were open across it are reset when the cut ends.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import time

HOST = "orders.example"
SERVICE = "fuelorder"
HEARTBEAT_S = 1.5
ADDRESS = re.compile(rb"127\.\d\.([89])\.(\d+)")


def translate(data, to):
    """Rewrites addresses as process `to` sees them; 0: as they are bound."""
    def one(found):
        own = found[1] == b"9" and int(found[2]) == to
        return b"127.%d.%s.%s" % (0 if own else to, found[1], found[2])
    return ADDRESS.sub(one, data)


def free_port(hosts):
    for _ in range(200):
        port = random.randint(20000, 32000)
        probes = []
        try:
            for host in hosts:
                probe = socket.socket()
                probes.append(probe)
                probe.bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise OSError("no free port")


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.out = open(path, "w")
        self.broken = []

    def write(self, text):
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.out.flush()

    def breaks(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.write(f"BROKEN {rule}: {text}")


class Network:
    """Which paths are cut. A machine is ("node", k), ("worker", k), ("store", 0)."""

    def __init__(self):
        self.island = set()  # machines that the others don't reach
        self.kept = set()    # kinds of machines that reach all others nevertheless
        self.open = set()    # writers of connections, with the two machines

    def passes(self, one, other):
        return ((one in self.island) == (other in self.island)
                or one[0] in self.kept or other[0] in self.kept)

    def cut(self, island, kept=()):
        """Cuts some machines off from all others but those of some kinds."""
        self.island, self.kept = set(island), set(kept)

    def heal(self):
        for one, other, writer in list(self.open):
            if not self.passes(one, other):
                writer.transport.abort()
        self.island, self.kept = set(), set()


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return method, target, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def reply(status, body, kind="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """Serves one machine's HTTP calls to all processes, each at the address at which it sees the machine."""

    def __init__(self, network, machine, host, port, nodes, handle):
        self.network, self.machine, self.handle = network, machine, handle
        self.places = [(j, host.format(j), port) for j in nodes]

    async def start(self):
        for j, host, port in self.places:
            await asyncio.start_server(
                lambda reader, writer, j=j: self.serve(j, reader, writer), host, port)

    async def serve(self, j, reader, writer):
        entry = (("node", j), self.machine, writer)
        self.network.open.add(entry)
        try:
            while True:
                request = await read_request(reader)
                if not self.network.passes(entry[0], self.machine):
                    continue
                answer = await self.handle(j, *request)
                if answer is None or not self.network.passes(entry[0], self.machine):
                    continue
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.network.open.discard(entry)
            writer.close()


class Link:
    """The path of process j's messages to process k (ZMTP: a greeting of 64 bytes, then frames)."""

    def __init__(self, network, j, k, port):
        self.network, self.j, self.k, self.port = network, j, k, port

    async def start(self):
        await asyncio.start_server(self.serve, f"127.{self.j}.9.{self.k}", self.port)

    async def serve(self, reader, writer):
        entry = (("node", self.j), ("node", self.k), writer)
        self.network.open.add(entry)
        there = None
        try:
            while not self.network.passes(*entry[:2]):
                await asyncio.sleep(0.02)
            there_reader, there = await asyncio.open_connection(f"127.0.9.{self.k}", self.port)
            await asyncio.gather(self.pump(reader, there, self.k), self.pump(there_reader, writer, self.j))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.network.open.discard(entry)
            writer.close()
            if there is not None:
                there.close()

    async def pump(self, reader, writer, to):
        try:
            left = 64
            while left:
                data = await reader.read(left)
                if not data:
                    return
                left -= len(data)
                await self.send(writer, data)
            while True:
                head = await reader.readexactly(2)
                if head[0] & 2:
                    head += await reader.readexactly(7)
                body = await reader.readexactly(int.from_bytes(head[1:], "big"))
                await self.send(writer, head + translate(body, to))
        finally:
            writer.close()

    async def send(self, writer, data):
        if self.network.passes(("node", self.j), ("node", self.k)):
            writer.write(data)
            await writer.drain()


class Store:
    """A linearizable log with fenced appends and the newest record of each key."""

    def __init__(self, network, nodes, record):
        self.network, self.record = network, record
        self.topics, self.writers = {}, {}
        self.news = asyncio.Condition()
        self.leader = None  # the process whose claim was stored last
        self.port = free_port([f"127.{j}.7.1" for j in nodes])
        self.server = Server(network, ("store", 0), "127.{}.7.1", self.port, nodes, self.handle)

    async def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append(bytes([len(key)]) + key.encode() + value)
        async with self.news:
            self.news.notify_all()

    async def handle(self, j, method, target, headers, body):
        path, _, query = target.partition("?")
        args = dict(pair.split("=", 1) for pair in query.split("&"))
        topic = args["topic"]
        await asyncio.sleep(0.004)
        records = self.topics.setdefault(topic, [])
        if path == "/log-append":
            status, answer = self.append(j, topic, records, args, translate(body, 0))
            async with self.news:
                self.news.notify_all()
            return reply(status, answer)
        if path == "/log-newest":
            newest = {}
            for offset, each in enumerate(records):
                key, value = each[1:1 + each[0]].decode(), each[1 + each[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = (translate(value, j), offset)
            after = args.get("depends-on")
            keys = [key for key in sorted(newest) if after is None or key > after]
            items = [{"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
                     for key in keys[:500]]
            return reply(200, {"items": items, "has-more": len(keys) > 500, "end": len(records)})
        start, until = int(args["from"]), time.monotonic() + int(args.get("wait-ms", 0)) / 1000
        while len(records) <= start and time.monotonic() < until:
            async with self.news:
                try:
                    await asyncio.wait_for(self.news.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
        out = len(records).to_bytes(8, "big") + bytes(8)
        for each in records[start:]:
            out += len(each).to_bytes(4, "big") + translate(each, j)
        return reply(200, out, "application/octet-stream")

    def append(self, j, topic, records, args, body):
        if "at" in args and int(args["at"]) != len(records):
            return 412, {"end": len(records)}
        fresh = []
        while body:
            size = int.from_bytes(body[:4], "big")
            fresh.append(body[4:4 + size])
            body = body[4 + size:]
        offset = len(records)
        if "producer" in args:
            epoch, sequence = int(args["epoch"]), int(args["sequence"])
            known = self.writers.setdefault((topic, args["producer"]), [0, None, {}])
            if epoch < known[0]:
                return 409, {"reason": "fenced", "epoch": known[0]}
            if epoch > known[0]:
                known[:] = [epoch, None, {}]
            if fresh:
                if sequence in known[2]:
                    return 200, known[2][sequence]
                if known[1] is not None and sequence != known[1]:
                    return 409, {"reason": "seq", "sequence": known[1]}
                known[1] = sequence + 1
                known[2][sequence] = {"offset": offset, "end": offset + len(fresh)}
                known[2] = dict(list(known[2].items())[-5:])
        records.extend(fresh)
        if topic == "keyed.rosearch-leader":
            if self.leader != j:
                self.record.write(f"store: process {j} has claimed at offset {offset}")
            self.leader = j
        return 200, {"offset": offset, "end": len(records)}


class Worker:
    """An executor: runs what it is told to, under its lease, and lists what ended."""

    def __init__(self, number, network, nodes, store, record, rack_size=2, cores=16):
        self.number, self.network, self.store, self.record = number, network, store, record
        self.id = f"i-{random.getrandbits(40):010x}"
        self.cpu = cores * 1000
        self.rack = f"r1-{(number - 1) // rack_size}"
        self.max_hold_ms, self.stop_ms = 6000, 900
        self.zero = time.monotonic()
        self.fence, self.deadline, self.count = 0, 0, 0
        self.running, self.ended, self.over, self.done = {}, [], {}, set()
        self.others = []
        self.jobs = {}
        self.lose = 0.0
        self.port = free_port([f"127.{j}.8.{number}" for j in nodes])
        self.server = Server(network, ("worker", number), "127.{}.8." + str(number), self.port, nodes, self.handle)

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def heartbeats(self):
        """Writes the entry; the platform removes it after three intervals of silence."""
        silent = 0
        while True:
            if self.network.passes(("worker", self.number), ("store", 0)):
                silent = 0
                await self.store.put("keyed.servers", self.id, json.dumps(
                    {"service": SERVICE, "address": f"127.0.8.{self.number}:{self.port}", "zone": "hall-a",
                     "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
                     "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0},
                     "labels": ["a", self.rack], "sequence": self.count}).encode())
            else:
                silent += 1
                if silent == 3:
                    self.record.write(f"platform: entry of executor {self.number} has expired")
                    await self.store.put("keyed.servers", self.id, b"")
            await asyncio.sleep(HEARTBEAT_S)

    def advance(self):
        now = self.clock_ms()
        for task, run in list(self.running.items()):
            if run["stop_at"] is not None and now >= run["stop_at"]:
                self.end(task, "stopped")
            elif now >= run["ends"] and run["ends"] < self.deadline:
                self.end(task, "done")
            elif now >= self.deadline:
                self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        self.over[task] = max(self.over.get(task, 0), run["run"])
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        if how == "done":
            self.done.add(task)
        self.record.write(f"executor {self.number}: {task} run {run['run']} ends {how}")

    async def handle(self, j, method, path, headers, body):
        if headers.get("x-target-instance", self.id) != self.id:
            return reply(421, {"clock-ms": self.clock_ms()})
        call = json.loads(body)
        self.advance()
        if call.get("fence", 0) < self.fence:
            self.record.write(f"executor {self.number}: {path} of process {j} refused, fence {call.get('fence', 0)}"
                              f" < {self.fence}")
            return reply(409, {"clock-ms": self.clock_ms(), "reason": "fence"})
        if call.get("fence", 0) > self.fence:
            self.record.write(f"executor {self.number}: fence is now {call['fence']} (process {j})")
        self.fence = call.get("fence", 0)
        return await {"/run-start": self.start, "/run-stop": self.stop, "/hold": self.hold,
                      "/pace": self.pace}[path](j, call)

    async def pace(self, j, call):
        return reply(200, {"clock-ms": self.clock_ms()})

    def extend(self, call):
        if "deadline-ms" in call:
            self.deadline = max(self.deadline, min(call["deadline-ms"], self.clock_ms() + self.max_hold_ms))

    async def start(self, j, call):
        task, run = call["task"], call["run"]
        if call.get("deadline-ms", 0) <= self.clock_ms():
            return reply(409, {"clock-ms": self.clock_ms(), "reason": "late"})
        self.extend(call)
        if task in self.running and self.running[task]["run"] == run:
            return reply(200, {"clock-ms": self.clock_ms()})
        if run <= self.over.get(task, 0):
            return reply(409, {"clock-ms": self.clock_ms(), "reason": "old"})
        self.record.write(f"executor {self.number}: {task} run {run} starts (process {j}, fence {call['fence']})")
        self.judge_start(task)
        job, _, step, _ = task.split(".")
        spec = self.jobs[job][int(step)]
        far = 1.5 if spec.get("data-rack", self.rack) != self.rack else 1.0
        self.running[task] = {"run": run, "began": self.clock_ms(), "stop_at": None,
                              "ends": self.clock_ms() + int(spec["estimate-ms"] * far)}
        return reply(200, {"clock-ms": self.clock_ms()})

    def judge_start(self, task):
        job = task.split(".")[0]
        if job not in self.jobs:
            self.record.breaks("UNASKED", f"{task} starts, and nobody sent it")
        for other in self.others:
            other.advance()
            if task in other.running:
                self.record.breaks("TWICE", f"{task} starts on executor {self.number} and is still at work on "
                                            f"executor {other.number} (run {other.running[task]['run']})")

    async def stop(self, j, call):
        task, run = call["task"], call["run"]
        self.over[task] = max(self.over.get(task, 0), run)
        if task in self.running and self.running[task]["run"] <= run:
            self.running[task]["stop_at"] = self.clock_ms() + self.stop_ms // 3
        return reply(200, {"clock-ms": self.clock_ms()})

    async def hold(self, j, call):
        self.ended = [row for row in self.ended if row[0] > call.get("ack-cursor", 0)]
        self.extend(call)
        until = time.monotonic() + call.get("wait-ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            await asyncio.sleep(0.01)
            self.advance()
        now = self.clock_ms()
        rows = [[task, run["run"], "", 100 if run["ends"] > 10 ** 9 else min(99, 100 * (now - run["began"]) // max(1, run["ends"] - run["began"])), 0]
                for task, run in self.running.items()]
        return reply(200, {"clock-ms": now, "running": rows, "ended-runs": self.ended[:500]})


class Process:
    """One process of the system, started with the command of the deploy file."""

    started = []  # all of them

    def __init__(self, number, nodes, peer_port, store_port, folder, root):
        self.number, self.root = number, root
        host = f"127.0.9.{number}"
        self.host = host
        self.front, self.ready, self.metrics = (free_port([host]) for _ in range(3))
        self.path = os.path.join(folder, f"settings-{number}.json")
        self.log = open(os.path.join(folder, f"process-{number}.log"), "ab")
        with open(self.path, "w") as out:
            json.dump({"name": f"front-{number}", "callers_address": f"{host}:{self.front}",
                       "ready_address": f"{host}:{self.ready}", "metrics_address": f"{host}:{self.metrics}",
                       "peer_address": f"{host}:{peer_port}",
                       "seeds": [f"127.{number}.9.{k}:8166" for k in nodes[:3] if k != number],
                       "store_address": f"127.{number}.7.1:{store_port}", "processors": 0.25, "link_mbps": 1000.0,
                       "file_descriptors": 4100, "grace_s": 6, "max_lease_ms": 6000, "stop_timeout_ms": 900,
                       "restore_ms": 250}, out)
        self.process = None

    def start(self):
        self.process = subprocess.Popen([os.path.join(self.root, "target/rosearch"), "join"], cwd=self.root,
                                        env={**os.environ, "ROSEARCH_SETTINGS": self.path},
                                        stdout=self.log, stderr=self.log)
        if self not in Process.started:
            Process.started.append(self)

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


async def call(process, method, path, body=b"", deadline_s=3.0, port=None):
    """One HTTP call of a caller; returns (status, body), or (None, b"") without an answer."""
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(process.host, port or process.front)
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: {int(deadline_s * 1000)}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = re.search(r"content-length: *(\d+)", head, re.I)
            return int(head.split(" ")[1]), await reader.readexactly(int(length[1]) if length else 0)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


class Cell:
    """A small deployment: processes, their links, a store and executors."""

    def __init__(self, record, folder, root, processes=7, workers=12, rack_size=2):
        self.record, self.network = record, Network()
        self.nodes = list(range(1, processes + 1))
        self.store = Store(self.network, self.nodes, record)
        self.workers = [Worker(w, self.network, self.nodes, self.store, record, rack_size)
                        for w in range(1, workers + 1)]
        self.jobs = {}
        for worker in self.workers:
            worker.jobs = self.jobs
            worker.others = [each for each in self.workers if each is not worker]
        hosts = [f"127.0.9.{k}" for k in self.nodes]
        hosts += [f"127.{j}.9.{k}" for j in self.nodes for k in self.nodes if j != k]
        peer_port = free_port(hosts)
        self.links = [Link(self.network, j, k, peer_port) for j in self.nodes for k in self.nodes if j != k]
        self.processes = {k: Process(k, self.nodes, peer_port, self.store.port, folder, root) for k in self.nodes}
        self.beats = []

    async def start(self, routes, later=()):
        """Starts the cell; the executors in `later` join by `join`."""
        await self.store.server.start()
        for link in self.links:
            await link.start()
        await self.store.put("keyed.op", "config", json.dumps(
            {"version": 3, "routes": routes, "services": [{"name": SERVICE, "enforces-capacity": False}],
             "limits": {}}).encode())
        for worker in self.workers:
            if worker.number not in later:
                await self.join(worker)
        for process in self.processes.values():
            process.start()

    async def join(self, worker):
        await worker.server.start()
        self.beats.append(asyncio.create_task(worker.heartbeats()))

    async def restart(self, number, grace_s=6.0):
        """Stops a process as the platform does, and starts it again."""
        process, began = self.processes[number], time.monotonic()
        self.record.write(f"SIGTERM to process {number}")
        process.send(signal.SIGTERM)
        while process.process.poll() is None and time.monotonic() < began + grace_s:
            await asyncio.sleep(0.05)
        process.end()
        process.start()
        self.record.write(f"process {number} is started again")

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answers = await asyncio.gather(*(call(each, "GET", "/ready", port=each.ready)
                                             for each in self.processes.values()))
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def submit(self, process, prefix, steps):
        job = f"{random.getrandbits(64):016x}"
        self.jobs[job] = steps
        body = json.dumps({"spec": "quote", "steps": steps}).encode()
        for _ in range(5):
            status, _ = await call(process, "POST", prefix + job, body)
            self.record.write(f"caller: POST {prefix}{job} to process {process.number} -> {status}")
            if status == 200:
                return job
            await asyncio.sleep(0.5)
        return None

    def end(self):
        for process in self.processes.values():
            process.end()


BROKEN = 42  # status for a broken rule; Python itself ends with 1 on an error


def run(case, record, folder):
    """Runs a case, prints what was broken, and ends this program."""
    def end(status):
        for process in Process.started:
            process.end()
        record.write(f"ends with {status}")
        for line in record.broken[:10]:
            print(line)
        sys.stdout.flush()
        shutil.rmtree(folder, ignore_errors=True)
        os._exit(status)  # open connections of the stand-ins would each end with a traceback

    async def play():
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, end, 2)
        try:
            end(await case)
        except Exception as failed:  # the case couldn't run
            record.write(f"failed: {failed!r}")
            end(2)

    asyncio.run(play())
