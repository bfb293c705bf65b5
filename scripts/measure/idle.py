#!/usr/bin/env python3
"""What an entry costs with nothing to do, by peers and by shards."""

import sys

import cell as c

RUNS, WINDOW_S = 3, 3


def measure(entries, shards, vm_list_rows=0, settings=None):
    with c.Cell(entries, shards, vm_list_rows=vm_list_rows, settings=settings) as cell:
        cell.wait_served()
        c.time.sleep(6)  # moves of shards to the last entry that came
        runs = [cell.spent(1, WINDOW_S) for _ in range(RUNS)]
        rows = [each.row() for each in runs]
        owned = list(cell.served().values()).count(1)
    row = {"peers": entries - 1, "shards": shards, "owned": owned, "list_rows": vm_list_rows}
    for name in rows[0]:
        row[name] = c.spread([each[name] for each in rows], 1)
    return row


def main():
    cases = {
        "peers": [(1, 28), (4, 28), (7, 28)],
        "shards": [(2, 1), (2, 4), (2, 8)],
        "list": [(1, 4, 0), (1, 4, 250), (1, 4, 760)],
    }
    for name in sys.argv[1:] or cases:
        c.report(f"idle, by {name}", [measure(*case) for case in cases[name]])


if __name__ == "__main__":
    main()
