#!/usr/bin/env python3
"""Crowds of clients that don't behave, against real processes on loopback.

    test/crowd/crowd_test.py --binaries build/release [--case NAME]... [--with-red] [--list]

Each case checks what doesn't depend on the machine's speed: all processes live; what they hold,
bytes unread in the kernel included, and their descriptors stay within the machine of their settings
(cell.py); one ordinary request is accepted afterwards, while connections that stay open are open.
Cases in KNOWN-RED.txt (rows `crowd|NAME|...`) are passed over and printed, unless --with-red is given.
"""

import argparse
import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import cell as cells  # noqa: E402
from cell import soak  # noqa: E402
import clients  # noqa: E402
from clients import Crowd  # noqa: E402

ANSWER_SECONDS = 6  # for which the answers of workers don't end

# Crowds against the callers' address of a process that doesn't lead, of the leader, and of `serve`.
CROWDS = {
    "trailers without end": [Crowd("trailers_without_end", 20)],
    "a chunk's extension without end": [Crowd("extension_without_end", 20)],
    "extensions on small chunks": [Crowd("extensions_on_small_chunks", 100)],
    "chunks without end, refused and back again":
        [Crowd("chunks_without_end", 200, returns=True)],
    "far too large a body is announced": [Crowd("announced_too_large", 340, returns=True)],
    "large chunks that stop just short of the end": [Crowd("short_large_chunks", 400)],
    "chunks of one byte that stop just short of the end": [Crowd("short_small_chunks", 300)],
    "announced bodies that stop just short of the end": [Crowd("short_announced", 400)],
    "heads of very many fields": [Crowd("head_of_many_fields", 400)],
    "heads that stop just short of the end": [Crowd("head_stops_short", 500)],
    "requests without pause behind a call": [Crowd("pipelined_behind_a_call", 300, reads=False)],
    "valid requests of the largest size": [Crowd("valid_padded", 300, returns=True)],
    "valid jobs of very many steps": [Crowd("valid_of_many_steps", 340, returns=True, seconds=20)],
    "used connections that stay idle": [Crowd("used_then_idle", 600)],
    "more idle connections than descriptors": [Crowd("idle", 1200)],
    "several kinds at once": [
        Crowd("trailers_without_end", 10), Crowd("short_large_chunks", 150),
        Crowd("short_small_chunks", 100), Crowd("announced_too_large", 100, returns=True),
        Crowd("valid_padded", 50, returns=True), Crowd("idle", 200)],
}
LEADER_CROWDS = {
    "valid requests of the largest size": CROWDS["valid requests of the largest size"],
    "valid jobs of very many steps": CROWDS["valid jobs of very many steps"],
    "several kinds at once": CROWDS["several kinds at once"],
    "small jobs of a million tasks": [Crowd("small_job_of_a_million_tasks", 20)],
    "small jobs whose occurrences are all due": [Crowd("small_job_of_due_occurrences", 20)],
}
# Work that may fill the workers, so that an ordinary job is rightly refused for want of room.
WORK_WITHOUT_END = ("valid_of_many_steps", "small_job_of_a_million_tasks",
                    "small_job_of_due_occurrences")
SERVE_CROWDS = ["trailers without end", "large chunks that stop just short of the end",
                "chunks without end, refused and back again",
                "announced bodies that stop just short of the end",
                "more idle connections than descriptors"]


async def play(cell, crowds, ports, node=None, meanwhile=None):
    """Lets each crowd at one port or at several; returns what broke."""
    ports = (ports,) if isinstance(ports, int) else ports
    played = [clients.Played(crowd, ("127.0.0.1", port)) for crowd in crowds for port in ports]
    room = all(crowd.kind not in WORK_WITHOUT_END for crowd in crowds)
    try:
        sending = asyncio.sleep(max(crowd.seconds for crowd in crowds))
        await asyncio.gather(sending, *([meanwhile] if meanwhile else []))
        for each in played:
            each.quiet()
        found = []
        if not cell.faults():
            found.append(await cell.ordinary(node, room))
        found += cell.faults()
    finally:
        for each in played:
            each.end()
    if not found[1:]:
        found.append(await cell.ordinary(node, room))
    print("   " + "; ".join(str(watch) for watch in cell.watches), flush=True)
    return [fault for fault in found if fault]


async def at_follower(cell, crowds, meanwhile=None):
    node = await cell.follower()
    return await play(cell, crowds, node.port, node, meanwhile)


async def at_leader(cell, crowds):
    node = await cell.leader()
    return await play(cell, crowds, node.port, node)


async def at_ready(cell, crowds):
    node = await cell.follower()
    return await play(cell, crowds, node.ready, node)


async def at_metrics(cell, crowds):
    node = await cell.leader()
    await cell.fill_with_waiting_jobs(node)
    return await play(cell, crowds, node.metrics, node)


# The addresses of one process share its descriptors.
async def at_every_address(cell, crowds):
    node = await cell.follower()
    return await play(cell, crowds, (node.port, node.ready, node.metrics), node)


async def at_entry(entry, crowds):
    return await play(entry, crowds, entry.port)


# The operator lowers and raises the limits of a request while bodies of the old size are arriving.
async def limits_change(cell, crowds):
    async def change():
        for limit in (65_536, 1 << 20, 262_144):
            await asyncio.sleep(1.5)
            cell.configure({"max-body-bytes": limit})
            await cell.store.wake()
    return await at_follower(cell, crowds, change())


# The store is away, so that calls that have arrived wait at the leader.
async def store_away(cell, crowds):
    async def away():
        await asyncio.sleep(1)
        cell.store.refuse = True
        await asyncio.sleep(4)
        cell.store.refuse = False
    return await at_follower(cell, crowds, away())


# The leader is killed, so that the calls that a follower has taken wait for the next one.
async def takeover(cell, crowds):
    leading = await cell.leader()

    async def kill():
        await asyncio.sleep(2)
        leading.signal(signal.SIGKILL)
        leading.process.wait()
        leading.start()
        number = cell.nodes.index(leading)
        cell.watches[number] = cells.Watch(leading.process,
                                           (leading.port, leading.ready, leading.metrics))
    return await at_follower(cell, crowds, kill())


# The leader stands still, so that what goes to it waits in the followers' transport.
async def frozen(cell, crowds):
    leading = await cell.leader()

    async def freeze():
        await asyncio.sleep(1)
        leading.signal(signal.SIGSTOP)
        await asyncio.sleep(4)
        leading.signal(signal.SIGCONT)
    return await at_follower(cell, crowds, freeze())


# A process that is stopped amid a crowd ends by itself, and isn't killed for it.
async def stopped(cell, crowds):
    node = await cell.follower()
    played = [clients.Played(crowd, ("127.0.0.1", node.port)) for crowd in crowds]
    try:
        await asyncio.sleep(max(crowd.seconds for crowd in crowds))
        found = cell.faults()
        if found:
            return found
        await node.end(signal.SIGTERM, patience=30)
    finally:
        for each in played:
            each.end()
    return [] if node.process.returncode == 0 else [f"ended with {node.process.returncode}"]


async def single_request(cell, body, pieces):
    """Sends one submission in pieces; returns what broke."""
    node = await cell.follower()
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    for piece in pieces(body):
        writer.write(piece)
        await writer.drain()
    status = (await reader.readline()).decode().split(" ")
    writer.close()
    return [] if status[1:2] == ["200"] else [f"answered with {' '.join(status).strip()}"]


def whole_body():
    body = json.dumps({"spec": "x", "steps": [
        {"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 200}]}).encode()
    return body + b" " * (clients.BODY_LIMIT - len(body))


# A request just inside the limits, however it is cut, is accepted in calm.
async def largest_request(cell, cuts):
    body = whole_body()
    path = "/long/" + clients.new_id()
    long_head = clients.head("POST", path, "Transfer-Encoding: chunked",
                             "X-Long: " + "v" * 15_900)
    end = b"0\r\n\r\n"

    def one_byte_chunks(data):
        yield long_head
        yield b"".join(b"1\r\n%c\r\n" % byte for byte in data)
        yield end

    def padded_sizes(data):
        yield long_head
        yield b"".join(b"00000001\r\n%c\r\n" % byte for byte in data)
        yield end

    def one_chunk(data):
        yield long_head + clients.chunk(data) + end

    def announced(data):
        yield clients.head("POST", path, f"Content-Length: {len(data)}", "X-Long: " + "v" * 15_900)
        for at in range(0, len(data), 1_000):
            yield data[at:at + 1_000]

    def with_trailers(data):
        yield long_head + clients.chunk(data) + b"0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n"

    found = await single_request(cell, body, locals()[cuts])
    return found + cell.faults()


# A field behind the body must not replace one of the head: here the host, which chooses the queue.
async def trailer_as_header(cell, _):
    node = await cell.follower()
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    writer.write(b"POST /long/" + clients.new_id().encode() +
                 b" HTTP/1.1\r\nHost: nobody.test\r\nTransfer-Encoding: chunked\r\n\r\n" +
                 clients.chunk(whole_body()[:2_000].rstrip()) +
                 b"0\r\nHost: cell.test\r\n\r\n")
    status = (await reader.readline()).split(b" ")[1:2]
    writer.close()
    return [] if status == [b"404"] else [f"answered with {status}"]


# The answer of a worker, which is as little ours as a client, has an extension without end.
async def answer_without_end(cell, _):
    async def endless(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2;name=")
        for _ in range(clients.SENT_BY_ENDLESS // clients.PIECE):
            writer.write(b"v" * clients.PIECE)
            await writer.drain()

    async def serve(reader, writer):
        try:
            await endless(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    for worker in cell.workers[1:]:
        worker.http.port = server.sockets[0].getsockname()[1]
        worker.register()
    await cell.store.wake()
    await asyncio.sleep(ANSWER_SECONDS)
    found = cell.faults()
    print("   " + "; ".join(str(watch) for watch in cell.watches), flush=True)
    if not found:
        found = [await cell.ordinary(cell.nodes[0])]
    server.close()
    return [fault for fault in found if fault]


def cases():
    """Every case by name: how it is played, and with what."""
    named = {f"follower: {name}": (at_follower, crowds) for name, crowds in CROWDS.items()}
    named |= {f"leader: {name}": (at_leader, crowds) for name, crowds in LEADER_CROWDS.items()}
    named |= {f"serve: {name}": (at_entry, CROWDS[name]) for name in SERVE_CROWDS}
    short = CROWDS["large chunks that stop just short of the end"]
    named |= {
        "ready: trailers without end": (at_ready, CROWDS["trailers without end"]),
        "ready: more idle connections than descriptors":
            (at_ready, CROWDS["more idle connections than descriptors"]),
        "metrics: large chunks that stop just short of the end": (at_metrics, short),
        "metrics: answers that nobody reads":
            (at_metrics, [Crowd("answers_never_read", 300, reads=False)]),
        "idle connections at every address": (at_every_address, [Crowd("idle", 400)]),
        "the limits change amid a crowd": (limits_change, short),
        "the store is away amid a crowd":
            (store_away, CROWDS["valid requests of the largest size"]),
        "the leader is killed amid a crowd":
            (takeover, CROWDS["valid requests of the largest size"]),
        "the leader stands still amid a crowd":
            (frozen, CROWDS["valid requests of the largest size"]),
        "a stop amid a crowd": (stopped, CROWDS["several kinds at once"]),
        "a trailer is no header": (trailer_as_header, None),
        "an answer without end": (answer_without_end, None),
    }
    for cuts in ("one_byte_chunks", "padded_sizes", "one_chunk", "announced", "with_trailers"):
        named[f"the largest request in calm: {cuts.replace('_', ' ')}"] = (largest_request, cuts)
    return named


def known_red():
    rows = (cells.ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {row.split("|")[1] for row in rows if row.startswith("crowd|")}


async def play_alone(binaries, name):
    """Plays one case, and ends this process with it: open connections of its stand-ins end so."""
    how, what = cases()[name]
    with tempfile.TemporaryDirectory() as folder:
        cell = cells.Entry(binaries, folder) if how is at_entry else cells.Cell(
            os.path.join(binaries, "rosearch"), folder)
        try:
            await cell.start()
            found = await how(cell, what)
        finally:
            await cell.stop()
    print(f"{'FAILED' if found else 'passed'} {name}" + "".join(f"\n   {each}" for each in found),
          flush=True)
    os._exit(1 if found else 0)


def failed(binaries, name):
    """Plays one case in a process of its own; returns whether it failed."""
    return subprocess.run([sys.executable, "-B", __file__, "--binaries", binaries, "--alone", name],
                          check=False).returncode != 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default="build/release")
    parser.add_argument("--case", action="append", help="only this case, also where it is red")
    parser.add_argument("--alone", help=argparse.SUPPRESS)
    parser.add_argument("--with-red", action="store_true")
    parser.add_argument("--list", action="store_true")
    options = parser.parse_args()
    if options.alone:
        asyncio.run(play_alone(options.binaries, options.alone))
    red = set() if options.with_red or options.case else known_red()
    if unknown := (red | set(options.case or [])) - set(cases()):
        parser.error(f"no such case: {sorted(unknown)}")
    if options.list:
        print("\n".join(cases()))
        return 0
    names = [name for name in options.case or cases() if name not in red]
    broken = [name for name in names if failed(options.binaries, name)]
    for name in sorted(red):
        print(f"known red, not run: {name}")
    print(f"crowd: {len(names) - len(broken)} passed, {len(broken)} failed", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
