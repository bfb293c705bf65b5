#!/usr/bin/env python3
"""Runs real processes of a cell against the stand-in platform, with faults from outside.

    soak/cell/run.py --binary build/release/rosearch --seed 7 [--seconds 15] [--nodes 4]
                     [--also-binary OTHER/rosearch [--upgrade]]

One seed draws one series of faults: processes killed, frozen, stopped and started again, settings
read anew; the store refusing, slow or losing answers, and its way cut for single processes; workers
restarted, leaving, losing answers. Callers use open connections until the process is gone. Ends with
0 where no promise was broken and every accepted job ended.

With --also-binary every second process runs another build, and a process that was killed or stopped
comes back with the build that it didn't run before: leaders and followers of both builds, each reading
what the other stored. With --upgrade all processes run --binary at first; halfway all of them are
killed at once and come back with the other build, on the records and running tasks of the first.

With --overlap the faults come in series that meet on the same workers and leader: two workers are
cut off past their leases while the leader is replaced and a worker joins, then again with the next
leader; in some seeds the leader is replaced before, with the first tasks of a wide step at work.

With --islands every process has a way of its own to each other process, to each worker and to the
store. Twice two processes are cut off with one worker or two, from the store as well, for longer
than a lease, while long tasks are at work everywhere; in half of the draws one of them leads. What
is sent on a cut way is lost, arrives at the end, or is answered by a reset, in both directions or
one; meanwhile processes stand still for moments, and in some draws leaders are killed.
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import stand_in

DRAIN_SECONDS = 25
LONG_DRAIN_SECONDS = 60  # with long tasks, of which many are lost and start again


def free_port_on(hosts):
    """A port that is free at all of some addresses."""
    while True:
        port = random.SystemRandom().randint(20000, 32000)
        with contextlib.ExitStack() as probes:
            try:
                for host in hosts:
                    probes.enter_context(socket.socket()).bind((host, port))
                return port
            except OSError:
                continue


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Node:
    """One process of the cell, started and ended by its own id."""

    def __init__(self, number, binaries, folder, proxy, advice_port, **others):
        self.binaries, self.proxy = binaries, proxy  # the first one is started next
        self.port, self.ready, self.peer = free_port(), free_port(), free_port()
        self.metrics = free_port()
        self.path = os.path.join(folder, f"node-{number}.json")
        self.log = open(os.path.join(folder, f"node-{number}.log"), "ab")
        self.settings = {
            "name": f"node-{number}", "callers_address": f"127.0.0.1:{self.port}",
            "ready_address": f"127.0.0.1:{self.ready}",
            "metrics_address": f"127.0.0.1:{self.metrics}", "peer_address": f"127.0.0.1:{self.peer}",
            "store_address": f"127.0.0.1:{proxy.port}",
            "advice_address": f"127.0.0.1:{advice_port}", "processors": 0.25,
            "file_descriptors": 1024, "grace_s": 4, "max_lease_ms": stand_in.MAX_LEASE_MS,
            "stop_timeout_ms": stand_in.STOP_MS, **others}
        with open(self.path, "w") as out:
            json.dump(self.settings, out)
        self.process = None

    def start(self):
        self.process = subprocess.Popen([self.binaries[0], "join", "--settings", self.path],
                                        stdout=self.log, stderr=self.log)

    def restart(self):
        """Starts the process again, with the next of its builds."""
        self.binaries = self.binaries[1:] + self.binaries[:1]
        self.start()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self, number, patience=6):
        self.signal(number)
        until = time.monotonic() + patience
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def call(port, method, path, body=b"", patience=3.0):
    """One HTTP call; returns (status, body), or (None, b"") without an answer."""
    writer = None
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {stand_in.HOST}\r\n"
                          f"X-Deadline-Ms: {int(patience * 1000)}\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            return int(head.split(" ")[1]), await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


class Soak:
    def __init__(self, options, folder):
        self.random = random.Random(options.seed)
        self.options = options
        self.judge = stand_in.Judge()
        self.store = stand_in.Store(self.random)
        self.advice = stand_in.Advice(self.judge, options.one_address)
        self.workers = [stand_in.Worker(n, self.random, self.judge, self.store)
                        for n in range(options.workers)]
        for number in range(options.accelerator_workers):
            self.workers.append(stand_in.Worker(options.workers + number, self.random, self.judge,
                                                self.store))
            self.workers[-1].service, self.workers[-1].cpu = stand_in.GPU_SERVICE, 64000
            self.workers[-1].gpu = 8
        self.judge.workers = self.workers
        self.nodes = []
        self.ways = {}  # with --islands, by the kinds and numbers of the two machines
        self.folder = folder
        self.faults = []
        self.disturbed_at = 0.0

    async def begin(self):
        await self.store.http.start()
        await self.advice.http.start()
        for worker in self.workers:
            if self.options.islands:
                worker.host = f"127.0.8.{worker.number + 1}"
            await worker.http.start(worker.host)
            worker.register()
        route = {"host": stand_in.HOST, "service": stand_in.SERVICE,
                 "max-attempts": stand_in.ATTEMPTS, "target-latency-ms": 250, "stretch": 1.5}
        advice = {prefix: {key: value for key, value in cost.items() if key != "allowed"}
                  for prefix, cost in stand_in.ADVICE.items()}
        on_accelerators = {**route, "service": stand_in.GPU_SERVICE, "stretch": 4.0}
        self.store.put("keyed.op", "config", json.dumps(
            {"version": 1, "routes": [
                {**route, "name": "q", "path-prefix": stand_in.QUICK, "priority": 0,
                 "advice": advice[stand_in.QUICK]},
                {**route, "name": "l", "path-prefix": stand_in.LONG, "priority": 2},
                {**on_accelerators, "name": "g", "path-prefix": stand_in.GANG, "priority": 1,
                 "advice": advice[stand_in.GANG]},
                {**on_accelerators, "name": "s", "path-prefix": stand_in.SCAN, "priority": 2,
                 "advice": advice[stand_in.SCAN]}],
             "services": [{"name": name, "enforces-capacity": False}
                          for name in (stand_in.SERVICE, stand_in.GPU_SERVICE)],
             "limits": {}}).encode())
        others = await self.join_by_ways() if self.options.islands else {}
        for number in range(self.options.nodes):
            store = self.store.http
            if self.options.islands:
                store = self.store.seen_by(number + 1)
                await store.start()
            proxy = stand_in.Proxy(store.port)
            await proxy.start()
            node = Node(number, self.binaries(number), self.folder, proxy, self.advice.http.port,
                        **others.get(number, {}))
            node.start()
            self.nodes.append(node)

    async def join_by_ways(self):
        """Makes a way for each process to each other one and to each worker; returns settings."""
        nodes = range(self.options.nodes)
        bound = [f"127.0.9.{to + 1}" for to in nodes]
        port = free_port_on(bound + [f"127.{one + 1}.9.{to + 1}" for one in nodes for to in nodes])
        for one in nodes:
            for to in nodes:
                self.ways["node", one, "node", to] = stand_in.Proxy(
                    (bound[to], port), f"127.{one + 1}.9.{to + 1}", port, (to + 1, one + 1))
            for worker in self.workers:
                self.ways["node", one, "worker", worker.number] = stand_in.Proxy(
                    (worker.host, worker.http.port), f"127.{one + 1}.8.{worker.number + 1}",
                    worker.http.port)
        for way in self.ways.values():
            await way.start()
        return {one: {"peer_address": f"{bound[one]}:{port}",
                      "seeds": [f"127.{one + 1}.9.{to + 1}:{port}"
                                for to in nodes[:3] if to != one]}
                for one in nodes}

    def binaries(self, number):
        """The builds of a process, in the order in which its restarts use them."""
        options = self.options
        if options.also_binary is None:
            return [options.binary]
        if number % 2 == 0 or options.upgrade:
            return [options.binary, options.also_binary]
        return [options.also_binary, options.binary]

    async def upgrade(self):
        """Kills all processes at once, with jobs open, and brings the other build up."""
        await asyncio.sleep(self.options.seconds / 2)
        open_jobs = sum(job["accepted"] for job in self.judge.jobs.values())
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            node.process.wait()
            node.restart()
        print(f"upgraded {len(self.nodes)} processes; {open_jobs} jobs accepted before", flush=True)

    async def beat(self):
        while True:
            for worker in self.workers:
                worker.advance()
                if not getattr(worker, "leaving", False):
                    worker.beat()
            await self.store.wake()
            await asyncio.sleep(1.0)

    async def caller(self, number):
        until = time.monotonic() + self.options.seconds
        while time.monotonic() < until:
            if self.options.accelerator_workers and self.random.random() < 0.1:
                self.submit_to_accelerators()
                await asyncio.sleep(self.random.random())
                continue
            long = self.random.random() < 0.2
            prefix = stand_in.LONG if long else stand_in.QUICK
            steps = [{"count": self.random.randint(1, 5), "cpu": self.random.randint(300, 2000),
                      "mem-mb": 64, "estimate-ms": 1500 if long else 300}]
            if self.random.random() < 0.4:
                steps.append({"count": 2, "cpu": 500, "mem-mb": 64, "estimate-ms": 200,
                              "depends-on": [0]})
            job_id = f"{self.random.getrandbits(64):016x}"
            self.judge.add(job_id, prefix, steps)
            asyncio.create_task(self.follow(job_id))
            await asyncio.sleep(self.random.random() * self.options.pace)

    def submit_to_accelerators(self):
        gang = self.random.random() < 0.5
        step = {"cpu": 5600, "gpu": 1, "mem-mb": 64, "estimate-ms": 1500,
                "count": self.random.randint(2, 9)}
        if gang:
            step.update({"cpu": 31000, "gpu": self.random.choice([2, 4, 8, 8]), "count":
                         self.random.choice([1, 1, 2, 3]), "all-or-nothing": True})
        job_id = f"{self.random.getrandbits(64):016x}"
        self.judge.add(job_id, stand_in.GANG if gang else stand_in.SCAN, [step])
        asyncio.create_task(self.follow(job_id))

    async def watch_standing(self):
        while True:
            self.judge.find_standing(self.advice.allows, self.disturbed_at)
            await asyncio.sleep(0.25)

    async def follow(self, job_id):
        job = self.judge.jobs[job_id]
        body = json.dumps({"spec": "x", "steps": job["steps"]}).encode()
        for _ in range(5):
            status, _ = await call(self.random.choice(self.nodes).port, "POST",
                                   job["prefix"] + job_id, body)
            job["answers"].append(status)
            if status == 200:
                job["accepted"] = True
                break
            await asyncio.sleep(0.5)
        if job["accepted"] and self.random.random() < 0.05:
            status, _ = await call(self.random.choice(self.nodes).port, "DELETE",
                                   job["prefix"] + job_id)
            if status == 200:
                job["cancelled"] = time.monotonic()

    async def stop_advice(self):
        """Stops the advice service halfway, if asked to; calls to it wait."""
        if self.options.advice_away > 0:
            await asyncio.sleep(self.options.seconds / 2)
            self.advice.back_at = time.monotonic() + self.options.advice_away
            self.disturbed_at = self.advice.back_at

    async def trouble(self):
        until = time.monotonic() + self.options.seconds
        await asyncio.sleep(2)
        while time.monotonic() < until:
            kind = self.random.choice(["kill", "freeze", "term", "hup", "refuse", "slow", "lose",
                                       "way", "way", "reborn", "worker_lose", "reset"])
            self.faults.append(f"{time.monotonic():.3f} {kind}")
            asyncio.create_task(getattr(self, "do_" + kind)(self.random.choice(self.nodes),
                                                            self.random.uniform(0.5, 3)))
            await asyncio.sleep(self.random.uniform(0.3, 2.0))

    async def overlapping_trouble(self):
        await asyncio.sleep(1)
        if self.random.random() < 0.3:
            await self.replace_during_wide_step()
        await self.lapse_with_newcomer()

    async def leading(self, nodes=None):
        """The process that leads, as its commands tell, else the last claimer, else any."""
        nodes = nodes or self.nodes
        for node in nodes:
            if " leading=1 " in await self.ask(node, "dump"):
                return node
        claimer = self.nodes[self.store.claimer - 1] if self.store.claimer else None
        return claimer if claimer in nodes else self.random.choice(nodes)

    def submit_long(self, count, cpu, estimate_ms):
        job_id = f"{self.random.getrandbits(64):016x}"
        self.judge.add(job_id, stand_in.LONG, [
            {"count": count, "cpu": cpu, "mem-mb": 64, "estimate-ms": estimate_ms}])
        asyncio.create_task(self.follow(job_id))

    async def cut_off(self, workers, span):
        """Cuts workers off from all processes, but not from the platform."""
        for worker in workers:
            worker.dark = True
        await asyncio.sleep(span)
        for worker in workers:
            worker.dark = False

    async def lapse_with_newcomer(self):
        cut = self.random.sample(self.workers[:self.options.workers], 2)
        lapse = 1.1 * stand_in.MAX_LEASE_MS / 1000 + 2.5
        self.faults.append(f"{time.monotonic():.3f} lapse of {[worker.number for worker in cut]}")
        back = asyncio.create_task(self.cut_off(cut, lapse + 3))
        await asyncio.sleep(self.random.uniform(0.2, 0.6))
        stopped = asyncio.create_task(self.do_term(await self.leading(), 0))
        await asyncio.sleep(lapse + 0.5)
        newcomer = stand_in.Worker(len(self.workers), self.random, self.judge, self.store)
        await newcomer.http.start()
        self.workers.append(newcomer)
        newcomer.register()
        await self.store.wake()
        await asyncio.gather(back, stopped)
        for _ in range(3):
            self.submit_long(12, 700, 6000)
        await asyncio.sleep(self.random.uniform(0.8, 1.6))
        again = asyncio.create_task(self.cut_off(cut, 2.5))
        await self.do_kill(await self.leading(), 0.3)
        await again

    async def islands(self):
        """Twice cuts two processes off, often the leader, with a worker or two, amid long tasks."""
        for _ in range(2):
            await self.work_everywhere()
            lead, numbers = await self.leading(), list(range(self.options.nodes))
            if self.random.random() < 0.5:  # the leader keeps the majority, and loses workers
                lead = self.random.choice([node for node in self.nodes if node is not lead])
            numbers.remove(self.nodes.index(lead))
            processes = [lead, self.nodes[self.random.choice(numbers)]]
            workers = list(self.workers)
            self.random.shuffle(workers)
            if self.random.random() < 0.5:  # the idlest
                workers.sort(key=lambda worker: -worker.places({"cpu": 1}))
            workers = workers[:self.random.choice([1, 1, 2])]
            span = self.random.uniform(1.1 * stand_in.MAX_LEASE_MS / 1000 + 3, 12)
            others = [asyncio.create_task(self.kill_a_leader(lead, span))]
            if self.random.random() < 0.7:
                others.append(asyncio.create_task(self.stand_still(span)))
            await self.cut_island(processes, workers, span)
            await asyncio.gather(*others)
            await asyncio.sleep(self.random.uniform(1, 4))

    async def work_everywhere(self):
        cpu, tasks = 1000, 0
        room = sum(worker.cpu for worker in self.workers)
        wanted = int(self.random.uniform(0.5, 1.0) * room / cpu)
        while tasks < wanted:
            self.submit_long(12, cpu, self.random.randint(5000, 8000))
            tasks += 12
        until = time.monotonic() + 4
        while (time.monotonic() < until
               and sum(len(worker.running) for worker in self.workers) < 0.8 * wanted):
            await asyncio.sleep(0.1)

    async def cut_island(self, processes, workers, span):
        """Cuts some machines off from all others, in both directions or one, and from the store."""
        mode = self.random.choice(["silent", "held", "held", "reset"])
        lost = self.random.choice(["both", "both", "out", "in"])
        island = ({("node", self.nodes.index(node)) for node in processes}
                  | {("worker", worker.number) for worker in workers})
        ways = [(way, ends[:2] in island) for ends, way in self.ways.items()
                if (ends[:2] in island) != (ends[2:] in island)]
        store_mode = self.random.choice(["silent", "held", "reset"])
        self.faults.append(f"{time.monotonic():.3f} cut {sorted(island)} {mode} {lost}, "
                           f"store {store_mode}, {span:.1f} s")
        self.judge.tell(f"CUT {self.faults[-1]}")
        for way, there_leaves in ways:
            way.cut(mode, (False, True) if lost == "both" else ((lost == "out") != there_leaves,))
        if self.random.random() < 0.3:
            slow = self.random.sample([way for way in self.ways.values() if way.mode == "pass"], 10)
            self.judge.tell("10 other ways are slow")
            for way in slow:
                way.cut("delay")
                ways.append((way, True))
        for node in processes:
            node.proxy.cut(store_mode)
            ways.append((node.proxy, True))
        for worker in workers:
            worker.unlisted_since = time.monotonic()
        for way, _ in ways:
            if way.mode == "reset":
                way.reset()
        await asyncio.sleep(span)
        self.judge.tell("CUT ends")
        self.random.shuffle(ways)
        at_once = self.random.random() < 0.5
        for way, _ in ways:
            loses = way.mode == "silent"
            way.heal()
            if loses:
                way.reset()
            if not at_once:
                await asyncio.sleep(self.random.uniform(0, 0.05))
        for worker in workers:
            worker.unlisted_since = None

    async def kill_a_leader(self, lead, span):
        """In some draws: kills the leader that is cut off, or the one that the others have now."""
        kind, at = self.random.choice(["none", "none", "old", "new"]), self.random.uniform(0.1, 0.9)
        await asyncio.sleep(at * span)
        if kind == "new":
            rest = [node for node in self.nodes if node is not lead]
            lead = await self.leading(rest)
        if kind != "none":
            self.faults.append(f"{time.monotonic():.3f} kill of the {kind} leader")
            self.judge.tell(self.faults[-1])
            await self.do_kill(lead, self.random.uniform(0.3, 6))

    async def stand_still(self, span):
        """Processes stand still for a moment, as with a small share of a processor."""
        until = time.monotonic() + span
        while time.monotonic() < until:
            node = self.random.choice(self.nodes)
            asyncio.create_task(self.do_freeze(node, self.random.uniform(0.05, 0.4)))
            await asyncio.sleep(self.random.uniform(0.05, 0.4))

    async def replace_during_wide_step(self):
        room = sum(worker.cpu for worker in self.workers[:self.options.workers])
        cpu = 2000
        self.submit_long(int(1.4 * room / cpu), cpu, 5000)
        await asyncio.sleep(self.random.uniform(2.5, 4.5))
        self.faults.append(f"{time.monotonic():.3f} replaced during a wide step")
        await self.do_term(await self.leading(), 0)

    async def do_kill(self, node, span):
        node.signal(signal.SIGCONT)
        await node.end(signal.SIGKILL)
        await asyncio.sleep(span / 3)
        node.restart()

    async def do_term(self, node, span):
        node.signal(signal.SIGCONT)
        await node.end(signal.SIGTERM)
        node.restart()

    async def do_freeze(self, node, span):
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(span)
        node.signal(signal.SIGCONT)

    async def do_hup(self, node, span):
        node.signal(signal.SIGHUP)

    async def do_refuse(self, node, span):
        self.store.refuse = True
        await asyncio.sleep(span)
        self.store.refuse = False

    async def do_slow(self, node, span):
        self.store.slow = 0.2
        await asyncio.sleep(span)
        self.store.slow = 0.004

    async def do_lose(self, node, span):
        self.store.lose = 0.3
        await asyncio.sleep(span)
        self.store.lose = 0.0

    async def do_way(self, node, span):
        node.proxy.cut(self.random.choice(["delay", "silent", "one_way", "reset"]))
        await asyncio.sleep(span)
        node.proxy.heal()
        node.proxy.reset()

    async def do_reset(self, node, span):
        node.proxy.reset()

    async def do_reborn(self, node, span):
        worker = self.random.choice(self.workers)
        if worker.born is None:
            self.store.put("keyed.servers", worker.id, b"")
        worker.reborn()
        worker.register()

    async def do_worker_lose(self, node, span):
        worker = self.random.choice(self.workers)
        worker.lose = 0.3
        await asyncio.sleep(span)
        worker.lose = 0.0

    async def settle(self):
        """Heals everything, then asks for every accepted job until it has ended."""
        self.store.refuse, self.store.lose, self.store.slow = False, 0.0, 0.004
        for node in self.nodes:
            node.proxy.heal()
            node.signal(signal.SIGCONT)
        await asyncio.sleep(4)
        until = time.monotonic() + (LONG_DRAIN_SECONDS if self.options.islands else DRAIN_SECONDS)
        open_jobs = [job_id for job_id, job in self.judge.jobs.items() if job["accepted"]]
        while open_jobs and time.monotonic() < until:
            still = []
            for job_id in open_jobs:
                job = self.judge.jobs[job_id]
                status, body = await call(self.random.choice(self.nodes).port, "GET",
                                          job["prefix"] + job_id)
                job["phase"] = json.loads(body)["state"] if status == 200 else status
                if status == 410:
                    self.judge.note(f"accepted and unknown: {job_id}")
                elif job["phase"] not in ("completed", "failed", "cancelled"):
                    still.append(job_id)
                elif job["phase"] == "completed":
                    tasks = sum(step["count"] for step in job["steps"])
                    if len(job["done"]) < tasks:
                        self.judge.note(f"shown as completed too early: {job_id}")
            open_jobs = still
            await asyncio.sleep(0.5)
        self.judge.refused_but_ran()
        for job_id in open_jobs:
            self.judge.note(f"never ended: {job_id} {self.judge.jobs[job_id]['phase']}")

    async def ask(self, node, *words):
        """Runs a command against a process's metrics address; returns what it prints."""
        asked = await asyncio.create_subprocess_exec(
            self.options.binary, words[0], "--process", f"127.0.0.1:{node.metrics}", *words[1:],
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        return (await asked.communicate())[0].decode()

    async def explain(self):
        """Whoever is on call must find the leader, and at it every job, by the commands alone."""
        dumps = [(node, await self.ask(node, "dump")) for node in self.nodes]
        leaders = [node for node, text in dumps if " leading=1 " in text]
        if len(leaders) != 1:
            self.judge.note(f"{len(leaders)} processes say that they lead")
            return
        ended = [job_id for job_id, job in self.judge.jobs.items()
                 if job["accepted"] and job.get("phase") in ("completed", "failed", "cancelled")]
        for job_id in ended[-3:]:
            text = await self.ask(leaders[0], "explain", job_id)
            if f"job {job_id} phase={self.judge.jobs[job_id]['phase']}" not in text:
                self.judge.note(f"not explained: {job_id}: {text.strip()}")

    async def run(self):
        await self.begin()
        beat = asyncio.create_task(self.beat())
        await asyncio.sleep(2)
        self.disturbed_at = time.monotonic()
        if self.options.calm:
            watch = asyncio.create_task(self.watch_standing())
        changes = (self.upgrade() if self.options.upgrade else
                   self.stop_advice() if self.options.calm else
                   self.overlapping_trouble() if self.options.overlap else
                   self.islands() if self.options.islands else self.trouble())
        callers = 1 if self.options.islands else 4
        await asyncio.gather(*(self.caller(n) for n in range(callers)), changes)
        await self.settle()
        await self.explain()
        beat.cancel()
        for node in self.nodes:
            await node.end(signal.SIGKILL)
        accepted = sum(job["accepted"] for job in self.judge.jobs.values())
        print(f"seed={self.options.seed} jobs={len(self.judge.jobs)} accepted={accepted} "
              f"faults={len(self.faults)} broken={len(self.judge.broken)}", flush=True)
        if self.options.logs:
            with open(os.path.join(self.folder, "record.txt"), "w") as out:
                out.write("\n".join(self.judge.record) + "\n")
        for line in self.judge.broken[:20]:
            print("  " + line)
        if self.judge.broken:
            print("  faults: " + "; ".join(self.faults))
        sys.stdout.flush()
        # Open connections of the stand-in would each end with a traceback.
        os._exit(1 if self.judge.broken or accepted == 0 else 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", required=True)
    parser.add_argument("--also-binary", help="another build, run by every second process")
    parser.add_argument("--upgrade", action="store_true",
                        help="change from --binary to --also-binary halfway, all processes at once")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--workers", type=int, default=9)
    parser.add_argument("--pace", type=float, default=0.5,
                        help="largest pause of a caller between two jobs, in seconds")
    parser.add_argument("--accelerator-workers", type=int, default=0,
                        help="workers of a second pool, for gangs and scans with slow advice")
    parser.add_argument("--overlap", action="store_true",
                        help="faults in series that meet on the same workers and leader")
    parser.add_argument("--islands", action="store_true",
                        help="two processes are cut off, often the leader, with a worker or two; "
                             "the seed draws 5 to 7 processes and 9 to 12 workers")
    parser.add_argument("--calm", action="store_true",
                        help="no faults; no job may stand for 3 s with room for it twice over")
    parser.add_argument("--advice-away", type=float, default=0, metavar="SECONDS",
                        help="with --calm: the advice service stops halfway for so long")
    parser.add_argument("--one-address", action="store_true",
                        help="the advice service takes all processes for one calling machine")
    parser.add_argument("--logs", help="folder that keeps the processes' logs")
    options = parser.parse_args()
    if options.upgrade and options.also_binary is None:
        parser.error("--upgrade needs --also-binary")
    if options.islands:
        sizes = random.Random(options.seed)
        options.nodes, options.workers = sizes.randint(5, 7), sizes.randint(9, 12)
    with tempfile.TemporaryDirectory() as made:
        folder = options.logs or made
        os.makedirs(folder, exist_ok=True)
        asyncio.run(Soak(options, folder).run())


if __name__ == "__main__":
    main()
