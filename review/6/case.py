"""Case 6: executors come back after a takeover; the next leader doesn't wait for them."""

import asyncio
import os
import sys
import tempfile

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins_2 as platform  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(FOLDER))
PREFIX = "/recon/"
LONG_CUT_S = 11.0
SHORT_CUT_S = 4.0


async def play(record, folder, trouble):
    cell = platform.Cell(record, folder, ROOT)
    try:
        newcomer = cell.workers[-1]
        await cell.start([{"name": "recon", "host": platform.HOST, "path-prefix": PREFIX,
                           "service": platform.SERVICE, "priority": 2, "max-attempts": 2, "stretch": 2.2,
                           "target-latency-ms": 1200}], later=[newcomer.number])
        if not await cell.wait_ready():
            record.write("the processes aren't ready")
            return 2
        await asyncio.sleep(2)
        rack = cell.workers[:2]
        executors = [("worker", worker.number) for worker in rack]
        if trouble:
            record.write(f"CUT for {LONG_CUT_S} s: no process reaches {executors}")
            cell.network.cut(executors, kept=["store"])
            restart = asyncio.create_task(cell.restart(cell.store.leader))
        await asyncio.sleep(LONG_CUT_S - 1.0)
        if trouble:
            record.write(f"executor {newcomer.number} joins")
            await cell.join(newcomer)
        await asyncio.sleep(1.0)
        if trouble:
            record.write("the cut ends")
            cell.network.heal()
            await restart
        await asyncio.sleep(2)
        lead = cell.store.leader
        job = await cell.submit(cell.processes[lead], PREFIX, [
            {"count": 8, "cpu": 4000, "mem-mb": 1024, "estimate-ms": 12000, "data-rack": rack[0].rack}])
        await asyncio.sleep(2)
        if job is None or not all(worker.running for worker in rack):
            record.write("the job isn't at work on the rack")
            return 2
        if trouble:
            record.write(f"CUT for {SHORT_CUT_S} s: process {lead} and {executors} reach only each other")
            cell.network.cut([("node", lead)] + executors)
        await asyncio.sleep(SHORT_CUT_S)
        if trouble:
            record.write("the cut ends")
            cell.network.heal()
        await asyncio.sleep(4)
        status, body = await platform.call(cell.processes[cell.store.leader], "GET", PREFIX + job)
        record.write(f"caller: GET {PREFIX}{job} -> {status} {body.decode()}")
        return platform.BROKEN if record.broken else 0
    finally:
        cell.end()


def main():
    record = platform.Record(os.path.join(FOLDER, "record.txt"))
    keep = os.environ.get("LOGS")
    with tempfile.TemporaryDirectory() as made:
        platform.run(play(record, keep or made, os.environ.get("TROUBLE", "1") != "0"), record, made)


main()
