"""Case 4: one rack is cut off with two processes, one of which leads, and two executors."""

import asyncio
import os
import sys
import tempfile

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins_2 as platform  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(FOLDER))
PREFIX = "/recon/"
CUT_S = 7.0


async def play(record, folder, trouble):
    cell = platform.Cell(record, folder, ROOT)
    try:
        await cell.start([{"name": "recon", "host": platform.HOST, "path-prefix": PREFIX,
                           "service": platform.SERVICE, "priority": 2, "max-attempts": 2, "stretch": 2.2,
                           "target-latency-ms": 1200}])
        if not await cell.wait_ready():
            record.write("the processes aren't ready")
            return 2
        await asyncio.sleep(2)
        lead = cell.store.leader
        peer = next(k for k in cell.nodes if k != lead)
        jobs = []
        for _ in range(4):
            jobs.append(await cell.submit(cell.processes[lead], PREFIX, [
                {"count": 12, "cpu": 2000, "mem-mb": 1024, "estimate-ms": 28000}]))
        await asyncio.sleep(2)
        rack = [worker for worker in cell.workers if not worker.running][:2]
        if None in jobs or sum(len(worker.running) for worker in cell.workers) < 48 or len(rack) < 2:
            record.write("the jobs aren't at work, or no executor is idle")
            return 2
        island = [("node", lead), ("node", peer)] + [("worker", worker.number) for worker in rack]
        if trouble:
            record.write(f"CUT for {CUT_S} s: {island} reach only each other")
            cell.network.cut(island)
        await asyncio.sleep(CUT_S)
        if trouble:
            record.write("the cut ends")
            cell.network.heal()
        await asyncio.sleep(4)
        for job in jobs:
            status, body = await platform.call(cell.processes[cell.store.leader], "GET", PREFIX + job)
            record.write(f"caller: GET {PREFIX}{job} -> {status} {body.decode()}")
            if status == 410:
                record.breaks("LOST", f"{job} was accepted and is unknown")
        return platform.BROKEN if record.broken else 0
    finally:
        cell.end()


def main():
    record = platform.Record(os.path.join(FOLDER, "record.txt"))
    keep = os.environ.get("LOGS")
    with tempfile.TemporaryDirectory() as made:
        platform.run(play(record, keep or made, os.environ.get("TROUBLE", "1") != "0"), record, made)


main()
