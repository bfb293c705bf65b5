#!/usr/bin/env python3
"""Whether a takeover's snapshot still fits one append, by remembered request ids of the shard."""

import signal
import sys

import cell as c
from slopes import request


def measure(ids):
    with c.Cell(2, 1, executors=12) as cell:
        owner = cell.wait_served()[0]
        assert cell.publish(c.rules(), "first", 0)[0] == 200
        c.time.sleep(4)
        rate = 500
        answers = c.paced(rate, ids / rate, lambda number: request(cell, owner, f"id-{c.time.monotonic_ns()}-{number}",
                                                                   label="order"))
        c.time.sleep(2)
        cell.entries[owner].process.send_signal(signal.SIGKILL)
        c.time.sleep(7)
        with open(f"{cell.folder}/entry-{3 - owner}.err") as errors:
            refused = [line for line in errors if "append_refused" in line]
        dump = cell.dump(3 - owner)["shards"][0]
    return {"ids": ids, "answered 200": answers.count(200), "served after": dump["serving"],
            "remembered": dump["requests_remembered"], "appends refused": len(refused),
            "first": refused[0].split("event=")[1].strip() if refused else ""}


if __name__ == "__main__":
    c.report("snapshot of a takeover, 2 entries, 1 shard", [measure(int(each)) for each in sys.argv[1:] or (500, 4000, 10000)])
