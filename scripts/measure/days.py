#!/usr/bin/env python3
"""Plays days of the users' bench on one checkout, keeps what each was worth, and compares two such records.

    scripts/measure/days.py play --bench B --site S --out a.json [--dir D] [--days ...] [--seeds ...] [--why TEXT]
    scripts/measure/days.py compare a.json b.json [c.json ...]

Days and seeds are the same in each record, so a difference is taken pair by pair: its error is that of the mean of
the pairs' differences. Processor time is not charged. A checkout that was measured needs no second run.
"""
import argparse
import concurrent.futures
import json
import math
import os
import re
import subprocess
import sys

PARTS = ["worth", "whole day", "worst windows", "worst class", "nines", "served", "refused", "failed"]
STANDARD_DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"
DAY_SECONDS = 900


def parts_of(text):
    """@return the parts that a run printed; nothing where it printed none."""
    line = re.search(r"^worth .*$", text, re.M)
    if not line:
        return None
    got = {}
    for part in PARTS[:5]:
        found = re.search(re.escape(part) + r"(?: =)? (-?[0-9.]+)", line.group(0))
        if found:
            got[part] = float(found.group(1))
    row = re.search(r"^\S+.*?\d+/\d+\s+(-?[0-9.]+)\s+(-?[0-9.]+)\s+([0-9.]+)\s+([0-9.]+)\s+([0-9.]+)", text, re.M)
    if row:
        got["served"], got["refused"], got["failed"] = (float(row.group(i)) for i in (3, 4, 5))
    broken = re.search(r"BROKEN: (.*?)(?: \(else|$)", text, re.M)
    got["broken"] = broken.group(1) if broken else ""
    return got


def play_day(options, day, seed):
    command = [options.bench, "run", options.site, day, "--no-cpu", "--why", options.why]
    if seed:
        command += ["--seed", str(seed)]
    run = subprocess.run(command, cwd=options.dir, capture_output=True, text=True, timeout=DAY_SECONDS)
    return parts_of(run.stdout), run.stdout + run.stderr


def play(options):
    options.bench, options.site = os.path.abspath(options.bench), os.path.abspath(options.site)
    built = subprocess.run([options.bench, "build"], cwd=options.dir, capture_output=True, text=True)
    if built.returncode:
        sys.exit(f"the build failed\n{built.stdout[-800:]}{built.stderr[-800:]}")
    pairs = [(day, int(seed)) for day in options.days.split(",") for seed in options.seeds.split(",")]
    record = {}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        played = pool.map(lambda pair: play_day(options, *pair), pairs)
        for (day, seed), (parts, said) in zip(pairs, played):
            if parts is None:
                print(f"{day} {seed}: no result: {said[-300:]}")
                continue
            record[f"{day} {seed}"] = parts
            if parts["broken"]:
                print(f"{day} {seed}: BROKEN {parts['broken']}")
    with open(options.out, "w") as out:
        json.dump(record, out, indent=1)
    mean = sum(each["worth"] for each in record.values()) / max(1, len(record))
    print(f"{options.out}: {len(record)} days, worth {mean:.3f}")


def difference(first, second, part):
    """@return mean of the first, mean of the pairs' differences, its error, how many pairs."""
    shared = [key for key in first if key in second and part in first[key] and part in second[key]]
    steps = [second[key][part] - first[key][part] for key in shared]
    count = len(steps)
    if count == 0:
        return None
    mean = sum(steps) / count
    spread = sum((step - mean) ** 2 for step in steps)
    error = math.sqrt(spread / (count - 1) / count) if count > 1 else float("nan")
    return sum(first[key][part] for key in shared) / count, mean, error, count


def compare(options):
    records = [json.load(open(path)) for path in options.records]
    first = records[0]
    for path, record in zip(options.records[1:], records[1:]):
        print(f"{options.records[0]} -> {path}")
        print(f"  {'part':14} {'before':>7} {'after':>7} {'change':>8} {'error':>7}")
        for part in PARTS:
            got = difference(first, record, part)
            if got:
                before, change, error, count = got
                print(f"  {part:14} {before:7.3f} {before + change:7.3f} {change:+8.4f} {error:7.4f}  {count} pairs")
        if options.by_day:
            for day in dict.fromkeys(key.split()[0] for key in first):
                ours = {key: value for key, value in first.items() if key.split()[0] == day}
                worth, nines = difference(ours, record, "worth"), difference(ours, record, "nines")
                if worth and nines:
                    print(f"  {day:12} worth {worth[0]:.3f} {worth[1]:+.3f}   nines {nines[0]:.3f} {nines[1]:+.3f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(required=True)
    one = verbs.add_parser("play")
    one.add_argument("--bench", required=True)
    one.add_argument("--site", required=True)
    one.add_argument("--out", required=True)
    one.add_argument("--dir", default=".")
    one.add_argument("--days", default=STANDARD_DAYS)
    one.add_argument("--seeds", default="0,11,22", help="0: the day's own")
    one.add_argument("--jobs", type=int, default=4)
    one.add_argument("--why", required=True)
    one.set_defaults(run=play)
    both = verbs.add_parser("compare")
    both.add_argument("records", nargs="+")
    both.add_argument("--by-day", action="store_true")
    both.set_defaults(run=compare)
    options = parser.parse_args()
    options.run(options)


if __name__ == "__main__":
    main()
