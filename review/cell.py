"""Starts processes of a cell on loopback against the stand-ins of soak/cell/stand_in.py.

Used by the scripts of the cases. The settings are those of deploy/settings.json.in, with the values
of a small deployment (sites/calandria-fuel.toml).
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "soak", "cell"))
sys.dont_write_bytecode = True
import stand_in  # noqa: E402

stand_in.MAX_LEASE_MS = 6000
stand_in.STOP_MS = 900
BINARY = os.path.join(ROOT, "target", "rosearch")


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Executor(stand_in.Worker):
    """An executor that can go dark: from then on it answers nothing and runs nothing."""

    def __init__(self, number, random, judge, store, record, cpu=16000):
        super().__init__(number, random, judge, store)
        self.cpu, self.fail, self.record, self.dark = cpu, 0.0, record, False
        self.id, self.born, self.clock_zero = f"i-{random.getrandbits(40):010x}", None, 0

    async def handle(self, method, path, headers, body):
        if self.dark:
            self.record.note(f"executor {self.id} is dark: {path} gets no answer")
            await asyncio.sleep(3600)
        return await super().handle(method, path, headers, body)


class Connections(stand_in.HttpServer):
    """Connections of an executor: those of a former life, or made while it is dark, stay silent."""

    def __init__(self, executor):
        super().__init__(None)
        self.executor = executor

    async def serve(self, reader, writer):
        life, dark = self.executor.life, self.executor.dark
        try:
            while True:
                request = await stand_in.read_request(reader)
                if dark or life != self.executor.life or self.executor.dark:
                    break
                answer = await self.executor.handle(*request)
                if answer is None or life != self.executor.life or self.executor.dark:
                    break
                writer.write(answer)
                await writer.drain()
            await asyncio.sleep(3600)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            writer.close()


class ReturningExecutor(stand_in.Worker):
    """An executor that loses power and starts again under the id that it had (demands/LATER.md)."""

    def __init__(self, number, random, judge, store, record, cpu=16000):
        self.record, self.dark, self.clock_zero = record, False, 0
        super().__init__(number, random, judge, store)
        self.cpu, self.fail = cpu, 0.0
        self.http = Connections(self)
        self.forgot = []

    def reborn(self):
        """Starts: holds and knows nothing of before, and its counts start anew."""
        self.life += 1
        if self.id is None:
            self.id = f"i-{self.random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.clock_zero = stand_in.now_ms() - 1
        self.fence, self.deadline, self.count = 0, 0, 0
        self.running, self.ended, self.over = {}, [], {}
        self.lapsed_ends = set()
        self.news = asyncio.Event()

    async def lose_power(self, seconds):
        self.dark = True
        self.running = {}
        self.record.note(f"executor {self.id} loses power, life {self.life}")
        await asyncio.sleep(seconds)
        self.reborn()
        self.dark = False
        self.register()
        await self.store.wake()
        self.record.note(f"executor {self.id} has started again, life {self.life} born {self.born}")

    def end(self, task, how):
        super().end(task, how)
        number, _, run, _, _ = self.ended[-1]
        self.record.note(f"executor {self.id} life {self.life} end {number}: {task} run {run} {how}")

    def advance(self):
        # The rule excuses an end that is taken note of after the executor's lease has lapsed.
        if self.clock_ms() >= self.deadline:
            self.lapsed_ends |= {row[0] for row in self.ended}
        super().advance()

    def acknowledge(self, cursor):
        for number, task, run, how, _ in self.ended:
            if number <= cursor:
                self.record.note(f"executor {self.id} life {self.life} takes ack-cursor {cursor} and "
                                 f"forgets end {number}: {task} run {run} {how}")
        kept = self.ended
        self.ended = [row for row in kept if row[0] not in self.lapsed_ends]
        super().acknowledge(cursor)
        self.ended = [row for row in kept if row[0] > cursor]

    async def hold(self, call):
        self.record.note(f"executor {self.id} life {self.life} gets hold, ack-cursor "
                         f"{call.get('ack-cursor', 0)} fence {call.get('fence', 0)}, "
                         f"{len(self.ended)} ends listed")
        return await super().hold(call)


class Node:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, number, folder, store_port, advice_port, peers, **bounds):
        self.number = number
        self.port, self.ready = free_port(), free_port()
        self.peer = peers[number]
        settings = {
            "name": f"front-{number}", "callers_address": f"127.0.0.1:{self.port}",
            "ready_address": f"127.0.0.1:{self.ready}",
            "metrics_address": f"127.0.0.1:{free_port()}",
            "peer_address": f"127.0.0.1:{self.peer}", "seeds": [],
            "store_address": f"127.0.0.1:{store_port}",
            "advice_address": f"127.0.0.1:{advice_port}", "processors": 0.25,
            "link_mbps": 1000.0, "file_descriptors": 4100, "grace_s": 6, "max_lease_ms": 6000,
            "stop_timeout_ms": 900, "restore_ms": 250, **bounds}
        self.path = os.path.join(folder, f"node-{number}.json")
        with open(self.path, "w") as out:
            json.dump(settings, out)
        self.log = open(os.path.join(folder, f"node-{number}.log"), "ab")
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            [BINARY, "join"], stdout=self.log, stderr=self.log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "ROSEARCH_SETTINGS": self.path})

    def end(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.process.wait()


async def call(port, method, path, body=b"", patience=3.0):
    """One HTTP call; returns (status, body), or (None, b"") without an answer."""
    writer = None
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {stand_in.HOST}\r\n"
                          f"Content-Type: application/json\r\n"
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


async def wait_ready(nodes, seconds=15):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        answers = [await call(node.ready, "GET", "/ready", patience=0.5) for node in nodes]
        if all(status == 200 for status, _ in answers):
            return True
        await asyncio.sleep(0.1)
    return False


def run(main, seconds=115):
    """Runs a case; exits with its result, or with 2 if it couldn't run to its end."""
    loop = asyncio.new_event_loop()
    case = loop.create_task(main())
    # Cancelling lets the case end the processes that it started.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, case.cancel)
    loop.call_later(seconds, case.cancel)
    try:
        code = loop.run_until_complete(case)
    except (asyncio.CancelledError, Exception):
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
