#!/usr/bin/env python3
"""Checks that the scripts of review/ which use these stand-ins still start.

    soak/cell/check_review.py

Plays the first seconds of each of them without processes of a cell: everything that it makes of the
stand-ins, and jobs that are handed in and get no answer. Fails if any of it raises.
"""

import asyncio
import importlib.util
import os
import pathlib
import sys
import tempfile
import traceback

REVIEW = pathlib.Path(__file__).resolve().parents[2] / "review"
PLAYED_S = 4.0  # long enough for heartbeats, jobs handed in and a first fault

sys.dont_write_bytecode = True
sys.path.insert(0, str(REVIEW))
import cell  # noqa: E402


def load(path, folder):
    """Reads a script; returns its main function, which it hands to cell.run."""
    mains = []
    cell.run = lambda main, **options: mains.append(main)
    spec = importlib.util.spec_from_file_location(f"review_{path.parent.name}_{path.stem}", path)
    script = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(script)
    script.FOLDER = folder
    return mains[0]


async def play(main, reaches_jobs):
    """Plays a script for a while; returns what was raised in it, also beside its main function."""
    tasks = []

    def make(loop, coroutine, **options):
        tasks.append(asyncio.Task(coroutine, loop=loop, **options))
        return tasks[-1]

    async def wait_ready(nodes, seconds=15):
        return reaches_jobs

    cell.wait_ready = wait_ready
    asyncio.get_running_loop().set_task_factory(make)
    try:
        await asyncio.wait_for(main(), PLAYED_S)
    except TimeoutError:
        pass
    except Exception as raised:
        return [raised]
    return [task.exception() for task in tasks
            if task.done() and not task.cancelled() and task.exception()]


def main():
    paths = [path for path in sorted(REVIEW.glob("**/*.py"))
             if "from cell import stand_in" in path.read_text()]
    failed = 0
    cell.Node.start = lambda node: None
    for path in paths:
        with tempfile.TemporaryDirectory() as folder:
            # Beyond the wait for readiness, the scripts beside the cases signal real processes.
            raised = asyncio.run(play(load(path, folder), path.parent != REVIEW))
        print(f"{path.relative_to(REVIEW.parent)}: {'raises' if raised else 'starts'}", flush=True)
        for each in raised[:1]:
            traceback.print_exception(each)
        failed += bool(raised)
    sys.stdout.flush()
    sys.stderr.flush()
    # Open connections of the stand-ins would each end with a traceback.
    os._exit(1 if failed or not paths else 0)


if __name__ == "__main__":
    main()
