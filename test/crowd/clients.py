"""Clients that don't behave, in a process of their own: a crowd of one kind against one address."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import multiprocessing
import os
import socket

HOST = "cell.test"  # the host of the stand-in's queues
BODY_LIMIT = 262_144
SHORT_OF_BODY = 262_000  # a body that stops just short of its end
PIECE = 16_384
SENT_BY_ENDLESS = 24 << 20  # a client that never ends its request stops sending after this
NEVER_READ_REQUESTS = 400


@dataclasses.dataclass(frozen=True)
class Crowd:
    """Clients of one kind.

    returns: a client whose connection ended makes a new one at once.
    reads:   clients read what is answered; those that don't leave it in the connection.
    seconds: how long they send.
    """
    kind: str
    clients: int
    returns: bool = False
    reads: bool = True
    seconds: int = 6


def new_id():
    return os.urandom(8).hex()


def head(method, path, *fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "X-Deadline-Ms: 3000", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked(path=None):
    return head("POST", path or "/long/" + new_id(), "Transfer-Encoding: chunked")


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def endless(first, piece):
    yield first
    for _ in range(SENT_BY_ENDLESS // len(piece)):
        yield piece


def trailers_without_end():
    return endless(chunked() + chunk(b"{}") + b"0\r\n", b"".join(
        b"x-trailer-%d: %s\r\n" % (number, b"v" * 100) for number in range(PIECE // 118)))


def extension_without_end():
    return endless(chunked() + b"2;name=", b"v" * PIECE)


def chunks_without_end():
    return endless(chunked(), chunk(b"x" * PIECE))


def extensions_on_small_chunks():
    return endless(chunked(), b"1;" + b"e" * 8000 + b"\r\nx\r\n")


def announced_too_large():
    return endless(head("POST", "/long/" + new_id(), "Content-Length: 1073741824"), b"x" * PIECE)


def short_announced():
    return [head("POST", "/long/" + new_id(), f"Content-Length: {BODY_LIMIT}"),
            b"x" * SHORT_OF_BODY]


def short_large_chunks():
    return [chunked()] + [chunk(b"x" * 65_500)] * (SHORT_OF_BODY // 65_500)


def short_small_chunks():
    return [chunked()] + [b"1\r\nx\r\n" * 3_000] * (SHORT_OF_BODY // 3_000)


def many_fields():
    """The fields of a head just inside the limit, in which each costs much more than its bytes."""
    names = ("".join(pair) for pair in itertools.product("abcdefghijklmnopqrstuvwxyz", repeat=3))
    return [f"{name}:" for name in itertools.islice(names, 2_600)]


def head_of_many_fields():
    return [head("POST", "/long/" + new_id(), "Content-Length: 1000", *many_fields()), b"x"]


def head_stops_short():
    return [head("POST", "/long/" + new_id(), "X-Long: " + "v" * 15_900)[:-2]]


def valid_of_many_steps():
    """Work that lasts isn't refused for its load, and stays until it is cancelled."""
    steps = [{"count": 1, "cpu": 100, "mem-mb": 16, "long-running": True, "image": "i" * 200}]
    body = json.dumps({"spec": "x", "steps": steps * 950}).encode()
    return [head("POST", "/long/" + new_id(), f"Content-Length: {len(body)}"), body]


def submission(job):
    body = json.dumps({"spec": "x", **job}).encode()
    return [head("POST", "/long/" + new_id(), f"Content-Length: {len(body)}"), body]


def small_job_of_a_million_tasks():
    return submission({"steps": [{"count": 10_000, "cpu": 100, "mem-mb": 16,
                                  "long-running": True}] * 100})


def small_job_of_due_occurrences():
    return submission({"repeat-count": 1_000_000, "start-at-ms": 1, "interval-ms": 0,
                       "steps": [{"count": 100, "cpu": 100, "mem-mb": 16, "estimate-ms": 200}]})


def valid_padded():
    body = json.dumps({"spec": "x", "steps": [
        {"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 200}]}).encode()
    body += b" " * (261_000 - len(body))
    return [head("POST", "/long/" + new_id(), f"Content-Length: {len(body)}"), body]


def used_then_idle():
    return [head("GET", "/long/" + new_id(), "X-Long: " + "v" * 12_000)]


def idle():
    return []


def answers_never_read():
    return [head("GET", "/dump") * NEVER_READ_REQUESTS]


def pipelined_behind_a_call():
    return [head("POST", "/long/" + new_id(), "Content-Length: 2") + b"{}"] + [
        head("GET", "/long/" + new_id(), "X-Long: " + "v" * 12_000)] * 400


async def send(sock, kind, quiet):
    loop = asyncio.get_running_loop()
    for piece in globals()[kind]():
        if quiet.is_set():
            return
        await loop.sock_sendall(sock, piece)


async def read_answer(sock, reads):
    """Returns when the connection has ended, as far as a client that reads or not can see."""
    loop = asyncio.get_running_loop()
    while reads and await loop.sock_recv(sock, 65_536):
        pass
    while not reads:
        await asyncio.sleep(3600)


async def connect_once(crowd, address, quiet):
    with contextlib.suppress(OSError):
        sock = socket.socket()
        sock.setblocking(False)
        with sock:
            await asyncio.get_running_loop().sock_connect(sock, address)
            sender = asyncio.create_task(send(sock, crowd.kind, quiet))
            try:
                await read_answer(sock, crowd.reads)
            finally:
                sender.cancel()
                with contextlib.suppress(OSError, asyncio.CancelledError):
                    await sender


async def client(crowd, address, quiet):
    await connect_once(crowd, address, quiet)
    while crowd.returns and not quiet.is_set():
        await connect_once(crowd, address, quiet)
        await asyncio.sleep(0)


async def gather(crowd, address, quiet, stop):
    clients = [asyncio.create_task(client(crowd, address, quiet)) for _ in range(crowd.clients)]
    while not stop.is_set():
        await asyncio.sleep(0.05)
    for each in clients:
        each.cancel()
    await asyncio.gather(*clients, return_exceptions=True)


def play(crowd, address, quiet, stop):
    asyncio.run(gather(crowd, address, quiet, stop))


class Played:
    """A crowd at work: it sends until `quiet`, and leaves its connections open until `end`."""

    def __init__(self, crowd, address):
        context = multiprocessing.get_context("spawn")
        self.quiet_event, self.stop_event = context.Event(), context.Event()
        self.process = context.Process(target=play, args=(crowd, address, self.quiet_event,
                                                          self.stop_event))
        self.process.start()

    def quiet(self):
        self.quiet_event.set()

    def end(self):
        self.stop_event.set()
        self.process.join(10)
        if self.process.is_alive():
            self.process.kill()
