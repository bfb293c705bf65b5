#!/usr/bin/env python3
"""Fails where events, their keys and metrics differ between the code and the tables in docs/OPERATIONS.md.

With --write the table of keys is written anew.
"""
import pathlib
import re
import sys

root = pathlib.Path(__file__).resolve().parent.parent
# Keys of a line that starts with `node::LineAbout`.
LINE_ABOUT = ["job", "method", "path"]
written = set()
keys = {}
for folder in ("src/rosearch/sched", "src/rosearch/cell", "src/rosearch/log", "platform"):
    for path in (root / folder).rglob("*.*"):
        text = path.read_text()
        for begin in re.finditer(r"(event_line\{|LineAbout\(\*call,)([^;]*);", text):
            names = re.findall(r'"([a-z_]+)"', re.split(r"[}]|event_weight", begin[2])[0])
            first = LINE_ABOUT if begin[1].startswith("LineAbout") else []
            for name in names:
                written.add(name)
                known = keys.setdefault(name, [])
                for key in first + re.findall(r'\.Add\(\s*"([a-z_]+)"', begin[2]):
                    if key not in known:
                        known.append(key)
page_path = root / "docs/OPERATIONS.md"
page = page_path.read_text()


def listed_between(first, last):
    """The names in the first column of the table between two headings."""
    listed = set()
    for row in page[page.index(first):page.index(last)].splitlines():
        if row.startswith("| `"):
            listed |= set(re.findall(r"`([a-z_]+)`", row.split("|")[1]))
    return listed


def compare(kind, in_code, in_table):
    """Prints what only one side knows."""
    for name in sorted(in_code - in_table):
        print(f"docs/OPERATIONS.md doesn't list {kind} {name}")
    for name in sorted(in_table - in_code):
        print(f"no code has {kind} {name}")
    return in_code == in_table


key_rows = "".join(f"| `{name}` | {', '.join(f'`{key}`' for key in keys[name])} |\n" for name in sorted(keys))
key_table = f"### Keys\n\n| Event | Keys |\n|---|---|\n{key_rows}\n"
if "--write" in sys.argv:
    page = page[:page.index("### Keys")] + key_table + page[page.index("### Metrics"):]
    page_path.write_text(page)
counted = set()
for folder in ("src/rosearch/cell", "platform"):
    for path in (root / folder).rglob("*.*"):
        counted |= set(re.findall(r'"(rosearch_[a-z_]+)"', path.read_text()))
described = set(re.findall(r'metric_help\{"(\w+)"', (root / "src/rosearch/cell/cell_metrics.cc").read_text()))
same = compare("event", written, listed_between("### Events", "### Keys"))
if page[page.index("### Keys"):page.index("### Metrics")] != key_table:
    print("docs/OPERATIONS.md: the table of keys is stale; scripts/check_events.py --write")
    same = False
same = compare("metric", described, listed_between("### Metrics", "### Alarms")) and same
same = compare("described metric", counted, described) and same
sys.exit(0 if same else 1)
