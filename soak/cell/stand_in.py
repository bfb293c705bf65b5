"""A stand-in for the users' platform on loopback: store, workers and advice, with a judge.

It speaks the platform's formats, so that real processes of a cell can be run against it, and it
notes whatever breaks a promise, as the workers and the callers see it.
"""

import asyncio
import base64
import hashlib
import json
import re
import time

MAX_LEASE_MS = 3000
STOP_MS = 200
ATTEMPTS = 4
SERVICE = "pool-a"
HOST = "cell.test"
QUICK = "/quick/"
LONG = "/long/"
# Work on accelerators, in a pool of its own: gangs and single tasks, both with slow advice.
GPU_SERVICE = "pool-g"
GANG = "/gang/"
SCAN = "/scan/"
GANG_TIMEOUT_MS = 3000
# What advice costs and whom it allows, for each queue that needs it.
ADVICE = {QUICK: {"decide-ms": 18.0, "period-ms": 0.26, "valid-ms": 2500, "allowed": 0.7},
          GANG: {"decide-ms": 560.0, "period-ms": 8.0, "valid-ms": 2000, "allowed": 0.4},
          SCAN: {"decide-ms": 150.0, "period-ms": 2.2, "valid-ms": 2000, "allowed": 0.5}}
MAX_WAITING_ADVICE = 32
# Process k is bound at 127.0.9.k and worker k at 127.0.8.k; process j reaches them at 127.j.9.k and
# 127.j.8.k, so that each way can be cut by itself. All of these addresses are of one length.
ADDRESS = re.compile(rb"127\.\d\.([89])\.(\d+)")
EXPIRY_S = 4.0  # the platform removes a worker's entry after such a silence
MIN_ALLOWED = 4  # workers for each step: as many as the widest gang has members, and one more


def now_ms():
    return int(time.monotonic() * 1000)


def translate(data, viewer):
    """Writes addresses as process `viewer` reaches them; 0: as bound, None: unchanged."""
    def one(found):
        own = found[1] == b"9" and int(found[2]) == viewer
        return b"127.%d.%s.%s" % (0 if own else viewer, found[1], found[2])
    return data if viewer is None else ADDRESS.sub(one, data)


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

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, self.port)
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
        self.claimer = None  # the viewer whose claim to lead was stored last
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

    def seen_by(self, viewer):
        """A server of the log for one process, with addresses as that process reaches them."""
        async def handle(*request):
            return await self.handle(*request, viewer=viewer)
        return HttpServer(handle)

    async def handle(self, method, target, headers, body, viewer=None):
        path, _, query = target.partition("?")
        args = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        await asyncio.sleep(self.slow)
        if self.refuse:
            return reply(503)
        topic = args["topic"]
        records = self.parts.setdefault(topic, [])
        if path == "/log-append":
            length = len(records)
            answer = self.append(topic, records, args, translate(body, viewer and 0))
            if topic == "keyed.rosearch-leader" and len(records) > length:
                self.claimer = viewer
            await self.wake()
            return None if self.random.random() < self.lose else answer
        if path == "/log-newest":
            newest = {}
            for offset, record in enumerate(records):
                length = record[0]
                key, value = record[1:1 + length].decode(), record[1 + length:]
                newest.pop(key, None)
                if value:
                    newest[key] = (translate(value, viewer), offset)
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
            out += len(record).to_bytes(4, "big") + translate(record, viewer)
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
        self.gangs = {}  # members by (step, run)
        self.record = []  # every start, end and acknowledged end
        self.stands_since = {}  # jobs that could run and have nothing running

    def add(self, job_id, prefix, steps):
        self.jobs[job_id] = {"prefix": prefix, "steps": steps, "accepted": False, "answers": [],
                             "done": set(), "noted": set(), "failed": {}, "cancelled": None,
                             "phase": None, "started": False}

    def tell(self, what):
        self.record.append(f"{time.time():.3f} {what}")

    def note(self, what):
        self.tell(f"BROKEN {what}")
        self.broken.append(f"{time.monotonic():.3f} {what}")

    def find_standing(self, allows, calm_since):
        """Notes accepted jobs without a run for 3 s, with room for twice what they want.

        A disruption excuses what stands until 4 s after its end.
        """
        moment = time.monotonic()
        running = set()
        for worker in self.workers:
            worker.advance()
            running |= {task.partition(".")[0] for task in worker.running}
        for job_id, job in self.jobs.items():
            open_job = job["accepted"] and not job["cancelled"] and job_id not in running
            if not open_job or not self.could_run(job_id, job, allows):
                self.stands_since.pop(job_id, None)
                continue
            since = max(self.stands_since.setdefault(job_id, moment), calm_since + 4)
            if moment - since >= 3 and "stood" not in job:
                job["stood"] = True
                self.note(f"stands with room: {job_id} {job['prefix']} since {since:.3f}")

    def could_run(self, job_id, job, allows):
        """Tells whether a step of a job without a run has room for twice what it wants."""
        tasks = [(number, f"{job_id}.0.{number}.{index}") for number, step in enumerate(job["steps"])
                 for index in range(step["count"])]
        given_up = any(len(runs) >= ATTEMPTS for runs in job["failed"].values())
        left = {number for number, task in tasks if task not in job["done"]}
        for number in left if not given_up else ():
            step = job["steps"][number]
            if any(before in left for before in step.get("depends-on", [])):
                continue
            places = 0
            for worker in self.workers:
                if worker.takes(job["prefix"]) and allows(f"{job_id}.0.{number}", worker.id):
                    places += worker.places(step)
            if places >= 2 * (step["count"] if step.get("all-or-nothing") else 1):
                return True
        return False

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
        for kind, held in (("cpu", worker.cpu), ("gpu", worker.gpu)):
            used = sum(run[kind] for run in worker.running.values()) + spec.get(kind, 0)
            if used > held:
                self.note(f"overcommitted {worker.id}: {used} of {held} {kind} with {task}")
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
        self.service, self.cpu, self.gpu = SERVICE, 4000 + 4000 * (number % 3), 0
        self.fail = 0.05
        self.lose = 0.0
        self.dark = False  # cut off from all processes; what runs goes on under its lease
        self.unlisted_since = None  # since then it is cut off from the platform
        self.host = "127.0.0.1"
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

    def takes(self, prefix):
        return (self.service == GPU_SERVICE) == (prefix in (GANG, SCAN))

    def places(self, step):
        """Tells how many tasks of a step fit beside what runs."""
        free = {kind: held - sum(run[kind] for run in self.running.values())
                for kind, held in (("cpu", self.cpu), ("gpu", self.gpu))}
        return min(free[kind] // step[kind] for kind in free if step.get(kind, 0) > 0)

    def clock_ms(self):
        return now_ms() - self.clock_zero

    def with_born(self, members):
        return members if self.born is None else {**members, "born": self.born}

    def register(self, state="ready"):
        self.store.put("keyed.servers", self.id, json.dumps(self.with_born(
            {"service": self.service, "address": f"{self.host}:{self.http.port}", "zone": "z",
             "version": "v1", "slots": 8, "state": state, "cold-remaining-ms": 0,
             "capacity": {"cpu": self.cpu, "mem-mb": self.cpu * 4, "gpu": self.gpu},
             "labels": ["a", f"r{self.number // 4}"], "clock-ms": self.clock_ms(),
             "remaining-ms": 4000, "sequence": 1})).encode())

    def beat(self):
        """Writes the worker's entry. The platform removes that of a worker that is silent to it."""
        if self.unlisted_since is None:
            self.register()
        elif time.monotonic() - self.unlisted_since > EXPIRY_S:
            self.store.put("keyed.servers", self.id, b"")

    def advance(self):
        moment = self.clock_ms()
        for task, run in list(self.running.items()):
            if run["stop_at"] is not None and moment >= run["stop_at"]:
                self.end(task, "stopped")
            elif run["ends"] is None and moment >= run["began"] + GANG_TIMEOUT_MS:
                self.end(task, "alone")
            elif run["ends"] is not None and run["ends"] <= moment and run["ends"] < self.deadline:
                self.end(task, "failed" if run["fails"] else "done")
            elif moment >= self.deadline:
                self.end(task, "lapsed")

    def join_gang(self, task, run, size, length):
        """The members of a gang work from the moment when all of them are there."""
        members = self.judge.gangs.setdefault((task.rpartition(".")[0], run), {})
        members[task] = self
        self.running[task]["gang"], self.running[task]["ends"] = members, None
        if len(members) == size:
            for member, worker in members.items():
                began = worker.clock_ms()
                worker.running[member].update(began=began, ends=began + length)

    def end(self, task, how):
        if task not in self.running:
            return
        run = self.running.pop(task)
        if run["gang"]:
            run["gang"].pop(task, None)
            for member, worker in list(run["gang"].items()):
                worker.end(member, "done" if how == "done" else "broken")
        self.over[task] = max(self.over.get(task, 0), run["run"])
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        self.judge.tell(f"end {task} run={run['run']} {how} worker={self.number} {self.id}")
        if how == "done":
            self.judge.jobs[task.split(".")[0]]["done"].add(task)
        self.news.set()

    def acknowledge(self, cursor):
        for number, task, run, how, _ in self.ended:
            if number <= cursor:
                self.judge.tell(f"noted {task} run={run} {how} worker={self.number} "
                                f"fence={self.fence}")
                job = self.judge.jobs[task.split(".")[0]]
                if how == "done":
                    job["noted"].add(task)
                elif how == "failed":
                    job["failed"].setdefault(task, set()).add(run)
        self.ended = [row for row in self.ended if row[0] > cursor]

    async def handle(self, method, path, headers, body):
        if self.dark:
            return None
        if headers.get("x-target-instance", self.id) != self.id:
            return reply(421, {"clock-ms": self.clock_ms()})
        call = json.loads(body)
        self.advance()
        if call.get("fence", 0) < self.fence:
            return reply(409, {"clock-ms": self.clock_ms(), "reason": "fence"})
        self.fence = call.get("fence", 0)
        answer = await {"/run-start": self.start, "/run-stop": self.stop,
                        "/hold": self.hold, "/pace": self.pace}[path](call)
        return None if self.dark or self.random.random() < self.lose else answer

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
        self.judge.tell(f"start {task} run={run} worker={self.number} {self.id} fence={self.fence}")
        self.judge.started(self, task)
        job_id, _, step, _ = task.split(".")
        spec = self.judge.jobs[job_id]["steps"][int(step)]
        length = int(spec["estimate-ms"] * (0.5 + self.random.random()))
        if spec.get("long-running"):
            length = 10**9
        self.running[task] = {"run": run, "cpu": spec["cpu"], "gpu": spec.get("gpu", 0),
                              "began": self.clock_ms(), "ends": self.clock_ms() + length,
                              "stop_at": None, "gang": None,
                              "fails": self.random.random() < self.fail}
        if spec.get("all-or-nothing"):
            self.join_gang(task, run, spec["count"], length)
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
            length = (run["ends"] or moment + 10**6) - run["began"]
            part = min(99, int(100 * (moment - run["began"]) / max(1, length)))
            rows.append([task, run["run"], "", 100 if length > 10**8 else part, 0])
        return reply(200, self.with_born(
            {"clock-ms": moment, "running": rows, "ended-runs": self.ended[:500]}))


class AdviceServer(HttpServer):
    """Serves calls for advice, each with the machine that it comes from."""

    def __init__(self, advice):
        super().__init__(None)
        self.advice = advice

    async def serve(self, reader, writer):
        machine = None if self.advice.one_address else writer.get_extra_info("peername")

        async def handle(method, path, headers, body):
            return await self.advice.answer(machine, json.loads(body))
        await HttpServer(handle).serve(reader, writer)


class Advice:
    """Tells which workers may run a step. Answers one call at a time for each calling machine.

    A process keeps one connection, so each connection counts as a machine, unless all processes
    share an address. Without a judge it knows no jobs, and serves routes without advice only.
    """

    def __init__(self, judge=None, one_address=False):
        self.judge, self.one_address = judge or Judge(), one_address
        self.waiting = {}
        self.turns = {}
        self.back_at = 0.0  # until then it answers nothing, and calls wait
        self.http = AdviceServer(self)

    def allows(self, step, worker):
        prefix = self.judge.jobs[step.split(".")[0]]["prefix"]
        if prefix not in ADVICE:
            return True
        # By rank, so that each step may run on some workers; a worker keeps its rank in each life.
        drawn = {each.id: hashlib.md5(f"{step} {each.number}".encode()).digest()
                 for each in self.judge.workers if each.takes(prefix)}
        ranks = sorted(drawn, key=drawn.get)
        allowed = max(MIN_ALLOWED, round(ADVICE[prefix]["allowed"] * len(ranks)))
        return worker in ranks[:allowed]

    async def answer(self, machine, call):
        if self.waiting.get(machine, 0) >= MAX_WAITING_ADVICE:
            return reply(429)
        step, workers = call["step"], call["workers"]
        cost = ADVICE[self.judge.jobs[step.split(".")[0]]["prefix"]]
        self.waiting[machine] = self.waiting.get(machine, 0) + 1
        async with self.turns.setdefault(machine, asyncio.Lock()):
            self.waiting[machine] -= 1
            await asyncio.sleep(max(0.0, self.back_at - time.monotonic()))
            await asyncio.sleep((cost["decide-ms"] + cost["period-ms"] * len(workers)) / 1000)
        good = [[worker, "ticket"] for worker in workers if self.allows(step, worker)]
        return reply(200, {"good": good, "valid-ms": cost["valid-ms"]})


async def read_pieces(reader, viewer):
    """Yields what is read; with a viewer messages of processes (ZMTP: a greeting, then frames)."""
    while viewer is None and (data := await reader.read(65536)):
        yield data
    greeting = 0 if viewer is None else 64
    while greeting > 0 and (data := await reader.read(greeting)):
        greeting -= len(data)
        yield data
    while viewer is not None:
        head = await reader.readexactly(2)
        if head[0] & 2:
            head += await reader.readexactly(7)
        yield head + translate(await reader.readexactly(int.from_bytes(head[1:], "big")), viewer)


class Proxy:
    """A way between two machines that can be slowed (delay), cut or reset.

    What is sent on a cut way is lost (silent, and one_way for what comes back), or kept until the
    cut ends, also when its sender has closed meanwhile (held). A cut may be of one direction.
    """

    def __init__(self, target, host="127.0.0.1", port=0, viewers=(None, None)):
        self.target = ("127.0.0.1", target) if isinstance(target, int) else target
        self.host, self.port = host, port
        self.viewers = viewers  # of a way between processes: who reads there, and who reads back
        self.mode, self.cut_ways = "pass", (False, True)
        self.passes = asyncio.Event()
        self.passes.set()
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self, mode, ways=(False, True)):
        """Changes the mode; `ways` are the directions that are cut: False there, True back."""
        self.mode, self.cut_ways = mode, (True,) if mode == "one_way" else ways
        if mode in ("silent", "one_way", "held"):
            self.passes.clear()

    def heal(self):
        self.mode = "pass"
        self.passes.set()

    def is_cut(self, back):
        return not self.passes.is_set() and back in self.cut_ways

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        opened = {writer}
        self.writers |= opened
        try:
            if self.is_cut(False):
                await self.passes.wait()
            there_reader, there_writer = await asyncio.open_connection(*self.target)
            opened.add(there_writer)
            self.writers |= opened
            await asyncio.gather(self.pump(reader, there_writer, False),
                                 self.pump(there_reader, writer, True))
        except ConnectionError:
            writer.close()
        finally:
            self.writers -= opened

    async def pump(self, reader, writer, back):
        pieces = asyncio.Queue()
        delivery = asyncio.create_task(self.deliver(pieces, writer, back))
        try:
            async for data in read_pieces(reader, self.viewers[back]):
                pieces.put_nowait(data)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        pieces.put_nowait(b"")
        await delivery

    async def deliver(self, pieces, writer, back):
        try:
            while data := await pieces.get():
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if self.mode == "held" and self.is_cut(back):
                    await self.passes.wait()
                if self.is_cut(back):
                    continue
                writer.write(data)
                await writer.drain()
            if self.is_cut(back):
                await self.passes.wait()
        except ConnectionError:
            pass
        finally:
            writer.close()
