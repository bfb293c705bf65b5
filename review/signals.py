"""Not a case: counts how often a process aborts on signals. See REPORT.md, "Crash on signals"."""

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import cell  # noqa: E402
from cell import stand_in  # noqa: E402

TRIALS = 24
FROZEN_S = 0.5


async def hup_then_term(process):
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)


async def frozen_with(process, number):
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    process.send_signal(number)
    await asyncio.sleep(FROZEN_S)
    process.send_signal(signal.SIGCONT)


async def frozen_hup(process):
    await frozen_with(process, signal.SIGHUP)


async def frozen_term(process):
    await frozen_with(process, signal.SIGTERM)


async def term(process):
    process.send_signal(signal.SIGTERM)


async def main():
    store = stand_in.Store(random.Random())
    await store.http.start()
    store.put("keyed.op", "config", json.dumps(
        {"version": 1, "routes": [], "services": [], "limits": {}}).encode())
    folder = tempfile.mkdtemp()
    peers = [cell.free_port() for _ in range(3)]
    nodes = [cell.Node(n, folder, store.http.port, store.http.port, peers) for n in range(3)]
    try:
        for node in nodes:
            node.start()
        if not await cell.wait_ready(nodes):
            return 2
        for act in (term, frozen_hup, frozen_term, hup_then_term):
            codes = {}
            for number in range(TRIALS):
                node = nodes[number % 3]
                await act(node.process)
                until = time.monotonic() + (1 if act is frozen_hup else 7)
                while node.process.poll() is None and time.monotonic() < until:
                    await asyncio.sleep(0.02)
                code = node.process.poll()
                codes[code] = codes.get(code, 0) + 1
                if code is not None:
                    node.start()
                    await cell.wait_ready([node])
            print(f"{act.__name__}: exit codes {codes}", flush=True)
        return 0
    finally:
        for node in nodes:
            node.end()
        shutil.rmtree(folder, ignore_errors=True)


cell.run(main, seconds=600)
