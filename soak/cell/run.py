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
"""

import argparse
import asyncio
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


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Node:
    """One process of the cell, started and ended by its own id."""

    def __init__(self, number, binaries, folder, proxy, advice_port):
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
            "stop_timeout_ms": stand_in.STOP_MS}
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
        self.folder = folder
        self.faults = []
        self.disturbed_at = 0.0

    async def begin(self):
        await self.store.http.start()
        await self.advice.http.start()
        for worker in self.workers:
            await worker.http.start()
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
        for number in range(self.options.nodes):
            proxy = stand_in.Proxy(self.store.http.port)
            await proxy.start()
            node = Node(number, self.binaries(number), self.folder, proxy, self.advice.http.port)
            node.start()
            self.nodes.append(node)

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

    async def leading(self):
        """The process that leads, as its commands tell; any where none says so."""
        for node in self.nodes:
            if " leading=1 " in await self.ask(node, "dump"):
                return node
        return self.random.choice(self.nodes)

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
        until = time.monotonic() + DRAIN_SECONDS
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
                   self.overlapping_trouble() if self.options.overlap else self.trouble())
        await asyncio.gather(*(self.caller(n) for n in range(4)), changes)
        await self.settle()
        await self.explain()
        beat.cancel()
        for node in self.nodes:
            await node.end(signal.SIGKILL)
        accepted = sum(job["accepted"] for job in self.judge.jobs.values())
        print(f"seed={self.options.seed} jobs={len(self.judge.jobs)} accepted={accepted} "
              f"faults={len(self.faults)} broken={len(self.judge.broken)}", flush=True)
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
    with tempfile.TemporaryDirectory() as made:
        folder = options.logs or made
        os.makedirs(folder, exist_ok=True)
        asyncio.run(Soak(options, folder).run())


if __name__ == "__main__":
    main()
