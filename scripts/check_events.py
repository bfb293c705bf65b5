#!/usr/bin/env python3
"""Fails where the events that the code writes and the table in docs/OPERATIONS.md differ."""
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
table = page[page.index("### Events"):page.index("### Alarms")]
listed = set()
for row in table.splitlines():
    if row.startswith("| `"):
        listed |= set(re.findall(r"`([a-z_]+)`", row.split("|")[1]))
for name in sorted(written - listed):
    print(f"docs/OPERATIONS.md doesn't list event {name}")
for name in sorted(listed - written):
    print(f"no code writes event {name}")
sys.exit(1 if written != listed else 0)
