"""A stand-in for the users' platform on loopback: store, workers and advice, with a judge.

It speaks the platform's formats, so that real processes of a cell can be run against it, and it
notes whatever breaks a promise, as the workers and the callers see it.
"""

import asyncio
import base64
import hashlib
import json
import time

MAX_LEASE_MS = 3000
STOP_MS = 200
ATTEMPTS = 4
SERVICE = "pool-a"
HOST = "cell.test"
QUICK = "/quick/"
LONG = "/long/"


def now_ms():
    return int(time.monotonic() * 1000)


async def read_request(reader):
    """Reads one HTTP request; returns (method, target, headers, body) or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def reply(status, body=b"", kind="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class HttpServer:
    """Serves `handle(method, target, headers, body)`, which returns bytes or None for silence."""

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                answer = await self.handle(*request)
                if answer is None:
                    await asyncio.sleep(5)
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()


class Store:
    """A linearizable log with fenced appends and the newest record of each key."""

    def __init__(self, random):
        self.random = random
        self.parts = {}
        self.writers = {}
        self.news = asyncio.Condition()
        self.lose = 0.0
        self.refuse = False
        self.slow = 0.004
        self.http = HttpServer(self.handle)

    def put(self, topic, key, value):
        """A write of the operator or of a worker."""
        record = bytes([len(key)]) + key.encode() + value
        self.parts.setdefault(topic, []).append(record)

    async def wake(self):
        async with self.news:
            self.news.notify_all()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        await asyncio.sleep(self.slow)
        if self.refuse:
            return reply(503)
        topic = args["topic"]
        records = self.parts.setdefault(topic, [])
        if path == "/log-append":
            answer = self.append(topic, records, args, body)
            await self.wake()
            return None if self.random.random() < self.lose else answer
        if path == "/log-newest":
            newest = {}
            for offset, record in enumerate(records):
                length = record[0]
                key, value = record[1:1 + length].decode(), record[1 + length:]
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in newest.items()]
            return reply(200, {"items": items, "has-more": False, "end": len(records)})
        start = int(args["from"])
        until = time.monotonic() + int(args.get("wait-ms", 0)) / 1000
        while len(records) <= start and time.monotonic() < until:
            async with self.news:
                try:
                    await asyncio.wait_for(self.news.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
        out = len(records).to_bytes(8, "big") + bytes(8)
        for record in records[start:]:
            out += len(record).to_bytes(4, "big") + record
        return reply(200, out, "application/octet-stream")

    def append(self, topic, records, args, body):
        if "at" in args and int(args["at"]) != len(records):
            return reply(412, {"end": len(records)})
        fresh = []
        while body:
            length = int.from_bytes(body[:4], "big")
            fresh.append(body[4:4 + length])
            body = body[4 + length:]
        offset = len(records)
        if "producer" in args:
            epoch, sequence = int(args["epoch"]), int(args["sequence"])
            known = self.writers.setdefault((topic, args["producer"]), [0, None, {}])
            if epoch < known[0]:
                return reply(409, {"reason": "fenced", "epoch": known[0]})
            if epoch > known[0]:
                known[0], known[1], known[2] = epoch, None, {}
            if fresh:
                if sequence in known[2]:
                    return reply(200, known[2][sequence])
                if known[1] is not None and sequence != known[1]:
                    return reply(409, {"reason": "seq", "sequence": known[1]})
                known[1] = sequence + 1
                known[2][sequence] = {"offset": offset, "end": offset + len(fresh)}
                known[2] = dict(list(known[2].items())[-5:])
        records.extend(fresh)
        return reply(200, {"offset": offset, "end": len(records)})


class Judge:
    """Knows every job as its caller sent it, and notes what must not happen."""

    def __init__(self):
        self.jobs = {}
        self.broken = []
        self.workers = []

    def add(self, job_id, prefix, steps):
        self.jobs[job_id] = {"prefix": prefix, "steps": steps, "accepted": False, "answers": [],
                             "done": set(), "noted": set(), "failed": {}, "cancelled": None,
                             "phase": None, "started": False}

    def note(self, what):
        self.broken.append(f"{time.monotonic():.3f} {what}")

    def refused_but_ran(self):
        """Call once nobody waits for an answer any more."""
        for job_id, job in self.jobs.items():
            refused = job["answers"] and all(status in (429, 503) for status in job["answers"])
            if refused and job["started"]:
                self.note(f"refused, but runs: {job_id}")

    def started(self, worker, task):
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None:
            self.note(f"started what nobody sent: {task}")
            return
        spec = job["steps"][int(step)]
        used = sum(run["cpu"] for run in worker.running.values()) + spec["cpu"]
        if used > worker.cpu:
            self.note(f"overcommitted {worker.id}: {used} of {worker.cpu} with {task}")
        for other in self.workers:
            other.advance()
            if task in other.running:
                self.note(f"twice at a time: {task} on {worker.id} and {other.id}")
        if task in job["noted"]:
            self.note(f"again after its end was noted: {task}")
        if len(job["failed"].get(task, ())) >= ATTEMPTS:
            self.note(f"too many attempts: {task}")
        for before in spec.get("depends-on", []):
            for index in range(job["steps"][before]["count"]):
                if f"{job_id}.0.{before}.{index}" not in job["done"]:
                    self.note(f"too early: {task}")
        job["started"] = True
        if job["cancelled"] and time.monotonic() > job["cancelled"] + 3:
            self.note(f"cancelled, but starts: {task}")


class Worker:
    """Runs whatever it is told to, under leases, and lists what ended."""

    def __init__(self, number, random, judge, store):
        self.random, self.judge, self.store = random, judge, store
        self.number = number
        self.cpu = 4000 + 4000 * (number % 3)
        self.fail = 0.05
        self.lose = 0.0
        self.http = HttpServer(self.handle)
        self.id, self.life = None, 0
        self.reborn()

    def reborn(self):
        """Restarts the worker. Every second one keeps its id and reports when it was born."""
        self.life += 1
        if self.number % 2 == 0 or self.id is None:
            self.id = f"i-{self.random.getrandbits(40):010x}"
        self.born = None if self.number % 2 == 0 else int(time.time() * 1000)
        self.clock_zero = 0 if self.born is None else now_ms() - 1
        self.fence, self.deadline, self.count = 0, 0, 0
        self.running, self.ended, self.over = {}, [], {}
        self.news = asyncio.Event()

    def clock_ms(self):
        return now_ms() - self.clock_zero

    def with_born(self, members):
        return members if self.born is None else {**members, "born": self.born}

    def register(self, state="ready"):
        self.store.put("keyed.servers", self.id, json.dumps(self.with_born(
            {"service": SERVICE, "address": f"127.0.0.1:{self.http.port}", "zone": "z",
             "version": "v1", "slots": 8, "state": state, "cold-remaining-ms": 0,
             "capacity": {"cpu": self.cpu, "mem-mb": self.cpu * 4, "gpu": 0},
             "labels": ["a", f"r{self.number // 4}"], "clock-ms": self.clock_ms(),
             "remaining-ms": 4000, "sequence": 1})).encode())

    def advance(self):
        moment = self.clock_ms()
        for task, run in list(self.running.items()):
            if run["stop_at"] is not None and moment >= run["stop_at"]:
                self.end(task, "stopped")
            elif moment >= run["ends"] and run["ends"] < self.deadline:
                self.end(task, "failed" if run["fails"] else "done")
            elif moment >= self.deadline:
                self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        self.over[task] = max(self.over.get(task, 0), run["run"])
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        if how == "done":
            self.judge.jobs[task.split(".")[0]]["done"].add(task)
        self.news.set()

    def acknowledge(self, cursor):
        for number, task, run, how, _ in self.ended:
            if number <= cursor:
                job = self.judge.jobs[task.split(".")[0]]
                if how == "done":
                    job["noted"].add(task)
                elif how == "failed":
                    job["failed"].setdefault(task, set()).add(run)
        self.ended = [row for row in self.ended if row[0] > cursor]

    async def handle(self, method, path, headers, body):
        if headers.get("x-target-instance", self.id) != self.id:
            return reply(421, {"clock-ms": self.clock_ms()})
        call = json.loads(body)
        self.advance()
        if call.get("fence", 0) < self.fence:
            return reply(409, {"clock-ms": self.clock_ms(), "reason": "fence"})
        self.fence = call.get("fence", 0)
        answer = await {"/run-start": self.start, "/run-stop": self.stop,
                        "/hold": self.hold, "/pace": self.pace}[path](call)
        return None if self.random.random() < self.lose else answer

    async def pace(self, call):
        return reply(200, {"clock-ms": self.clock_ms()})

    def extend(self, call):
        if "deadline-ms" in call:
            longest = self.clock_ms() + MAX_LEASE_MS
            self.deadline = max(self.deadline, min(call["deadline-ms"], longest))

    async def start(self, call):
        task, run = call["task"], call["run"]
        if call.get("deadline-ms", 0) <= self.clock_ms():
            return reply(409, {"clock-ms": self.clock_ms(), "reason": "late"})
        self.extend(call)
        if task in self.running and self.running[task]["run"] == run:
            return reply(200, {"clock-ms": self.clock_ms()})
        if run <= self.over.get(task, 0):
            return reply(409, {"clock-ms": self.clock_ms(), "reason": "old"})
        self.judge.started(self, task)
        job_id, _, step, _ = task.split(".")
        spec = self.judge.jobs[job_id]["steps"][int(step)]
        length = int(spec["estimate-ms"] * (0.5 + self.random.random()))
        if spec.get("long-running"):
            length = 10**9
        self.running[task] = {"run": run, "cpu": spec["cpu"], "began": self.clock_ms(),
                              "ends": self.clock_ms() + length, "stop_at": None,
                              "fails": self.random.random() < self.fail}
        return reply(200, {"clock-ms": self.clock_ms()})

    async def stop(self, call):
        task, run = call["task"], call["run"]
        self.over[task] = max(self.over.get(task, 0), run)
        if task in self.running and self.running[task]["run"] <= run:
            self.running[task]["stop_at"] = self.clock_ms() + STOP_MS
        return reply(200, {"clock-ms": self.clock_ms()})

    async def hold(self, call):
        self.acknowledge(call.get("ack-cursor", 0))
        self.extend(call)
        until = time.monotonic() + call.get("wait-ms", 0) / 1000
        life = self.life
        while not self.ended and time.monotonic() < until and life == self.life:
            await asyncio.sleep(0.01)
            self.advance()
        if life != self.life:
            return None if self.born else reply(421, {"clock-ms": self.clock_ms()})
        moment = self.clock_ms()
        rows = []
        for task, run in self.running.items():
            part = min(99, int(100 * (moment - run["began"]) / max(1, run["ends"] - run["began"])))
            rows.append([task, run["run"], "", 100 if run["ends"] - run["began"] > 10**8 else part,
                         0])
        return reply(200, self.with_born(
            {"clock-ms": moment, "running": rows, "ended-runs": self.ended[:500]}))


class Advice:
    """Allows seven of ten workers for each step."""

    def __init__(self):
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, headers, body):
        call = json.loads(body)
        await asyncio.sleep(0.018 + 0.00026 * len(call["workers"]))
        good = [[worker, "ticket"] for worker in call["workers"]
                if hashlib.md5((call["step"] + worker).encode()).digest()[0] % 10 < 7]
        return reply(200, {"good": good, "valid-ms": 2500})


class Proxy:
    """A way to the store that can be slowed, cut one way or both, silenced or reset."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.writers = set()
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        there_reader, there_writer = await asyncio.open_connection("127.0.0.1", self.target)
        self.writers |= {writer, there_writer}
        await asyncio.gather(self.pump(reader, there_writer, False),
                             self.pump(there_reader, writer, True))
        self.writers -= {writer, there_writer}

    async def pump(self, reader, writer, back):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if self.mode == "silent" or (self.mode == "one_way" and back):
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
