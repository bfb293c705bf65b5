#!/usr/bin/env python3
"""Fails where the events and metrics of the code and the tables in docs/OPERATIONS.md differ."""
import pathlib
import re
import sys

root = pathlib.Path(__file__).resolve().parent.parent
written = set()
for folder in ("src/rosearch/sched", "src/rosearch/cell", "src/rosearch/log", "platform"):
    for path in (root / folder).rglob("*.*"):
        written |= set(re.findall(r'event_line\{\s*"([a-z_]+)"', path.read_text()))
        written |= set(re.findall(r'event_line\{\s*\w+ \? "([a-z_]+)" : "[a-z_]+"', path.read_text()))
        written |= set(re.findall(r'event_line\{\s*\w+ \? "[a-z_]+" : "([a-z_]+)"', path.read_text()))
page = (root / "docs/OPERATIONS.md").read_text()


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


counted = set()
for folder in ("src/rosearch/cell", "platform"):
    for path in (root / folder).rglob("*.*"):
        counted |= set(re.findall(r'"(rosearch_[a-z_]+)"', path.read_text()))
described = set(re.findall(r'metric_help\{"(\w+)"', (root / "src/rosearch/cell/cell_metrics.cc").read_text()))
same = compare("event", written, listed_between("### Events", "### Metrics"))
same = compare("metric", described, listed_between("### Metrics", "### Alarms")) and same
same = compare("described metric", counted, described) and same
sys.exit(0 if same else 1)
