"""A small cell of real processes on loopback, and a watch on what its processes hold."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "soak" / "cell"))
import run as soak  # noqa: E402
import stand_in  # noqa: E402

# The machine of each process. The users' smallest has 120 MB and 3,075 descriptors; these are lower,
# so that a crowd that fits on any developer's machine fills them.
MEMORY_MB = 64
DESCRIPTORS = 700
# A process beyond this has failed, and is ended before it harms the machine.
RUNAWAY_BYTES = 6 * MEMORY_MB * 1_000_000
WATCH_EVERY_S = 0.05
TRIES = 12  # of the ordinary request, which a refusal may ask to come back


class Watch:
    """The largest figures of one process while a crowd is at it."""

    def __init__(self, process, ports):
        self.process = process
        self.ports = {f":{port:04X}" for port in ports}
        self.resident = self.unread = self.held = self.descriptors = 0

    def look(self):
        """Reads the kernel's figures; ends a process that has run away."""
        pid = self.process.pid
        with contextlib.suppress(OSError, KeyError):
            status = pathlib.Path(f"/proc/{pid}/status").read_text()
            fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
            resident = 1024 * int(fields["VmRSS"].split()[0])
            self.resident = max(self.resident, 1024 * int(fields["VmHWM"].split()[0]))
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{pid}/fd")))
            unread = self.count_unread()
            self.unread = max(self.unread, unread)
            self.held = max(self.held, resident + unread, self.resident)
            if self.held > RUNAWAY_BYTES:
                self.process.kill()

    def count_unread(self):
        """Bytes that the kernel has received for the process's addresses and that wait in it."""
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        rows = (line.split() for line in lines)
        return sum(int(row[4].split(":")[1], 16) for row in rows
                   if row[1][-5:] in self.ports and row[3] != "0A")

    def faults(self, name):
        found = []
        if self.process.poll() is not None:
            found.append(f"{name} ended with {self.process.returncode}")
        if self.held > MEMORY_MB * 1_000_000:
            found.append(f"{name} held {self.held / 1e6:.0f} MB of {MEMORY_MB}, "
                         f"{self.unread / 1e6:.0f} MB of it unread")
        if self.descriptors > DESCRIPTORS:
            found.append(f"{name} had {self.descriptors} descriptors of {DESCRIPTORS}")
        return found

    def __str__(self):
        return (f"resident {self.resident / 1e6:.0f} MB, unread {self.unread / 1e6:.0f} MB, "
                f"{self.descriptors} descriptors")


class AnyJobs(dict):
    """Jobs by id, for the stand-ins' judge: the crowds draw their own ids."""

    def __init__(self, judge):
        super().__init__()
        self.judge = judge

    def __missing__(self, job_id):
        step = {"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 200}
        self.judge.add(job_id, stand_in.LONG, [step] * 1_000)
        return self[job_id]


class Cell:
    """Three processes of `rosearch join` with stand-ins for the platform."""

    def __init__(self, binary, folder, seed=1):
        self.binary, self.folder = binary, folder
        self.random = random.Random(seed)
        self.judge = stand_in.Judge()
        self.judge.jobs = AnyJobs(self.judge)
        self.store = stand_in.Store(self.random)
        self.workers = [stand_in.Worker(number, self.random, self.judge, self.store)
                        for number in range(3)]
        self.judge.workers = self.workers
        self.nodes, self.watches, self.tasks = [], [], []
        self.version = 0
        self.known = None  # path of an accepted job

    def configure(self, limits):
        """Writes a configuration with the operator's limits of a request."""
        self.version += 1
        route = {"host": stand_in.HOST, "service": stand_in.SERVICE, "max-attempts": 3,
                 "target-latency-ms": 250, "stretch": 1.5}
        self.store.put("keyed.op", "config", json.dumps({
            "version": self.version,
            "routes": [{**route, "name": "l", "path-prefix": stand_in.LONG, "priority": 2}],
            "services": [{"name": stand_in.SERVICE, "enforces-capacity": False}],
            "limits": limits}).encode())

    async def start(self):
        await self.store.http.start()
        for worker in self.workers:
            await worker.http.start()
            worker.register()
        self.configure({})
        proxy = soak.stand_in.Proxy(self.store.http.port)
        await proxy.start()
        for number in range(3):
            node = soak.Node(number, [self.binary], self.folder, proxy, soak.free_port(),
                             memory_mb=MEMORY_MB, file_descriptors=DESCRIPTORS,
                             seeds=[f"127.0.0.1:{each.peer}" for each in self.nodes])
            # The peer port is the same for all processes of a cell, so hosts differ.
            self.nodes.append(node)
        port = soak.free_port_on([f"127.0.9.{number + 1}" for number in range(3)])
        for number, node in enumerate(self.nodes):
            node.settings["peer_address"] = f"127.0.9.{number + 1}:{port}"
            node.settings["seeds"] = [f"127.0.9.{each + 1}:{port}" for each in range(3)]
            pathlib.Path(node.path).write_text(json.dumps(node.settings))
            node.start()
        self.tasks.append(asyncio.create_task(self.beat()))
        await self.until_served()
        self.watches = [Watch(node.process, (node.port, node.ready, node.metrics))
                        for node in self.nodes]
        self.tasks.append(asyncio.create_task(self.watch()))

    async def beat(self):
        while True:
            for worker in self.workers:
                worker.advance()
                worker.beat()
            await self.store.wake()
            await asyncio.sleep(1.0)

    async def watch(self):
        while True:
            for each in self.watches:
                each.look()
            await asyncio.sleep(WATCH_EVERY_S)

    async def until_served(self):
        for _ in range(60):
            statuses = [(await soak.call(node.ready, "GET", "/ready"))[0] for node in self.nodes]
            if statuses == [200] * 3 and await self.ordinary(self.nodes[0]) is None:
                return
            await asyncio.sleep(0.25)
        raise RuntimeError("the cell never served")

    async def leader(self):
        for node in self.nodes:
            _, text = await soak.call(node.metrics, "GET", "/dump")
            if b" leading=1 " in text:
                return node
        raise RuntimeError("no process says that it leads")

    async def follower(self):
        leading = await self.leader()
        return next(node for node in self.nodes if node is not leading)

    async def ordinary(self, node, room=True):
        """An ordinary question and submission; returns None if both succeeded in the end.

        room: whether the workers have room for the job; without it a refusal is right.
        """
        body = json.dumps({"spec": "x", "steps": [
            {"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 200}]}).encode()
        path = stand_in.LONG + os.urandom(8).hex()
        asked = [("POST", path, body)] if room else []
        if self.known is not None:
            asked.append(("GET", self.known, b""))
        for method, target, sent in asked:
            came = await self.until_ok(node.port, method, target, sent)
            if came is not None:
                return came
        self.known = self.known or path
        return None

    @staticmethod
    async def until_ok(port, method, path, body=b""):
        came = []
        for _ in range(TRIES):
            status, _ = await soak.call(port, method, path, body, patience=5.0)
            if status == 200:
                return None
            came.append(status)
            await asyncio.sleep(1.0)
        return f"an ordinary {method} was never answered with success: {came}"

    async def fill_with_waiting_jobs(self, node):
        """Jobs that wait long for room make the views of the operators large."""
        steps = [{"count": 3, "cpu": 15_000, "mem-mb": 16, "estimate-ms": 60_000,
                  "image": "i" * 200, "long-running": True}] * 10
        body = json.dumps({"spec": "x", "steps": steps}).encode()
        for _ in range(120):
            await soak.call(node.port, "POST", stand_in.LONG + os.urandom(8).hex(), body)

    def faults(self):
        found = []
        for number, each in enumerate(self.watches):
            each.look()
            found += each.faults(f"process {number}")
        return found

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            await node.end(signal.SIGKILL)


class Entry:
    """One process of `rosearch serve` with its stand-ins."""

    def __init__(self, folder_of_binaries, folder):
        self.binaries, self.folder = pathlib.Path(folder_of_binaries), pathlib.Path(folder)
        self.processes, self.watches, self.tasks = [], [], []

    def stand_in(self, role):
        port_file = self.folder / f"{role}.port"
        self.processes.append(subprocess.Popen(  # ended by its id in `stop`
            [self.binaries / "rosearch_testbed", role, "--port-file", port_file],
            stderr=subprocess.DEVNULL))
        return self.read_ports(port_file)[0]

    @staticmethod
    def read_ports(path):
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if path.exists() and path.read_text().strip():
                return [int(line) for line in path.read_text().split()]
            time.sleep(0.05)
        raise RuntimeError(f"{path} was never written")

    async def start(self):
        log, vms = self.stand_in("log"), self.stand_in("vms")
        settings = {"entry": {"name": "e", "region": "r", "failure_domain": "f"},
                    "http": {"port": 0, "max_connections": DESCRIPTORS - 100,
                             "max_body_bytes": 262_144, "memory_mb": MEMORY_MB},
                    "peer": {"port": 0},
                    "platform": {"log": [f"127.0.0.1:{log}"], "vm_list": f"127.0.0.1:{vms}",
                                 "log_poll_ms": 300, "vm_list_poll_ms": 500,
                                 "vm_list_lag_ms": 1000},
                    "cell": {"regions": [{"name": "r", "shards": 2}]}}
        if not self.knows("http.memory_mb"):
            del settings["http"]["memory_mb"]
        path, ports = self.folder / "entry.json", self.folder / "entry.port"
        path.write_text(json.dumps(settings))
        with open(self.folder / "entry.log", "wb") as log_file:
            self.process = subprocess.Popen(
                [self.binaries / "rosearch", "serve", "--settings", path, "--instance", "1",
                 "--port-file", ports], stdout=log_file, stderr=log_file)
        self.processes.append(self.process)
        self.port = self.read_ports(ports)[0]
        if (found := await self.ordinary()) is not None:
            raise RuntimeError(found)
        self.watches = [Watch(self.process, (self.port,))]
        self.tasks.append(asyncio.create_task(self.watch()))

    @staticmethod
    def knows(setting):
        """Whether the page of settings has it: unknown keys are refused."""
        return f"`{setting}`" in (ROOT / "docs" / "SETTINGS.md").read_text()

    async def watch(self):
        while True:
            self.watches[0].look()
            await asyncio.sleep(WATCH_EVERY_S)

    async def ordinary(self, node=None, room=True):
        return await Cell.until_ok(self.port, "GET", "/healthz")

    def faults(self):
        self.watches[0].look()
        return self.watches[0].faults("the entry")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
