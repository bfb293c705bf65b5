#!/usr/bin/env python3
"""What each mechanism is worth: plays the same days with all of them, and with each one switched off.

    scripts/measure/ablate.py --bench B --scratch DIR SITE [SITE ...] [--without NAME,...] [--days ...] [--seeds ...]

Works on a clone of the last commit in DIR, which is made where it is missing: a mechanism is switched off by the
setting `without` in the clone's deploy/settings.json.in. Prints a table in Markdown: worth with all mechanisms less
worth without each, with the error of the pairs' mean. The clone's journal has every run; copy it back and commit it.
"""
import argparse
import json
import os
import subprocess
import sys
import types

import days

MECHANISMS = ("admission,reserve,preemption,packing,health,advice_ahead,reservation,rescue,speeds,hopeless_last,"
              "advice_by_all,batches_beside,second_way,early_election,relays")
TEMPLATE = "deploy/settings.json.in"


def clone(source, target):
    if not os.path.isdir(target):
        subprocess.run(["git", "clone", "-q", source, target], check=True)
    subprocess.run(["git", "checkout", "-q", TEMPLATE], cwd=target, check=True)
    subprocess.run(["git", "pull", "-q"], cwd=target, check=True)


def play(options, site, without):
    path = os.path.join(options.scratch, TEMPLATE)
    subprocess.run(["git", "checkout", "-q", TEMPLATE], cwd=options.scratch, check=True)
    if without:
        text = open(path).read()
        with open(path, "w") as out:
            out.write(text.replace("{\n", '{\n  "without": ' + json.dumps([without]) + ",\n", 1))
    name = os.path.splitext(os.path.basename(site))[0]
    out = os.path.join(options.records, f"{name}-{without or 'all'}.json")
    days.play(types.SimpleNamespace(bench=options.bench, site=site, out=out, dir=options.scratch, days=options.days,
                                    seeds=options.seeds, jobs=options.jobs,
                                    why=f"Ablation: without {without}" if without else "Ablation: with all mechanisms"))
    return json.load(open(out))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--scratch", required=True)
    parser.add_argument("--records", help="folder of the records; by default beside the clone")
    parser.add_argument("--without", default=MECHANISMS)
    parser.add_argument("--days", default=days.STANDARD_DAYS)
    parser.add_argument("--seeds", default="0,11")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    options.records = options.records or options.scratch.rstrip("/") + "-records"
    os.makedirs(options.records, exist_ok=True)
    clone(os.getcwd(), options.scratch)
    rows = {}
    for site in options.sites:
        whole = play(options, site, "")
        for name in options.without.split(","):
            got = days.difference(play(options, site, name), whole, "worth")
            if got:
                rows.setdefault(name, []).append(f"{got[1]:+.3f} ({got[2]:.3f})")
            sys.stdout.flush()
    print("\n| Without | " + " | ".join(os.path.basename(site) for site in options.sites) + " |")
    print("|---" * (len(options.sites) + 1) + "|")
    for name, cells in rows.items():
        print(f"| {name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
