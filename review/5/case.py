"""Case 5: the leading process is restarted while a step that is wider than its room is at work."""

import asyncio
import os
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins_2 as platform  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(FOLDER))
PREFIX = "/recon/"
TASK_S = 12.0
GAP_S = 3.0        # LOST: for 3 s the job has nothing running
CALM_S = 4.0       # and the 4 s before them are calm
FINISH_S = 14.0    # after the end of the traffic
WATCH_S = 75.0


async def watch(cell, record, job, calm_from, until):
    """Notes when the job has nothing running for 3 s while its tasks wait and every executor is idle.

    Returns the longest such time."""
    tasks = sum(step["count"] for step in cell.jobs[job])
    idle_since, longest = None, 0.0
    while time.monotonic() < until:
        now = time.monotonic()
        for worker in cell.workers:
            worker.advance()
        done = set().union(*(worker.done for worker in cell.workers))
        if len(done) == tasks:
            break
        busy = any(worker.running for worker in cell.workers)
        if busy or now < calm_from:
            if idle_since is not None and now - idle_since >= GAP_S:
                record.breaks("LOST", f"{job} had nothing running for {now - idle_since:.1f} s while {tasks - len(done)}"
                                      f" of its {tasks} tasks waited and every executor was idle")
            idle_since = None
        elif idle_since is None:
            idle_since = now
        else:
            longest = max(longest, now - idle_since)
        await asyncio.sleep(0.02)
    return longest


async def play(record, folder, trouble):
    cell = platform.Cell(record, folder, ROOT, rack_size=3)
    try:
        await cell.start([{"name": "recon", "host": platform.HOST, "path-prefix": PREFIX,
                           "service": platform.SERVICE, "priority": 2, "max-attempts": 2, "stretch": 2.2,
                           "target-latency-ms": 1200}])
        if not await cell.wait_ready():
            record.write("the processes aren't ready")
            return 2
        await asyncio.sleep(2)
        lead = cell.store.leader
        caller = cell.processes[next(k for k in cell.nodes if k != lead)]
        # Room for 12 of the 18 tasks at a time on the rack that has the label, and twice over for the other six.
        job = await cell.submit(caller, PREFIX, [
            {"count": 18, "cpu": 4000, "mem-mb": 1024, "estimate-ms": int(TASK_S * 1000),
             "required-label": cell.workers[0].rack}])
        accepted = time.monotonic()
        if job is None:
            return 2
        await asyncio.sleep(TASK_S - 2.0)
        if trouble:
            await cell.restart(lead)
        calm_from = max(time.monotonic() + CALM_S, accepted + FINISH_S)
        longest = await watch(cell, record, job, calm_from, accepted + WATCH_S)
        status, body = await platform.call(caller, "GET", PREFIX + job)
        record.write(f"caller: GET {PREFIX}{job} -> {status} {body.decode()}, {time.monotonic() - accepted:.1f} s after "
                     f"its acceptance; longest time with nothing running {longest:.1f} s")
        return platform.BROKEN if record.broken else 0
    finally:
        cell.end()


def main():
    record = platform.Record(os.path.join(FOLDER, "record.txt"))
    keep = os.environ.get("LOGS")
    with tempfile.TemporaryDirectory() as made:
        platform.run(play(record, keep or made, os.environ.get("TROUBLE", "1") != "0"), record, made)


main()
