"""What a limiter talks to, played on loopback after the protocol's page: data nodes, discovery's agent, the
counter, the other limiters and clients. Each counts what it is asked for and the bytes on its connections.
"""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import time
from collections import Counter as Tally
from random import Random
from typing import Any, cast

import hiredis

from .fleet import PLANS, Members, message, plan_of

LONGEST_WATCH = 60_000  # ms
IP_PKTINFO = 8  # names the source address of one datagram: Linux, ip(7)
LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id: *([0-9a-f]+)")
PIECE = 65_536  # bytes written at once
SPREAD = 40  # limiters of a customer's set, at most


class Traffic:
    """With one kind of peer, as the limiter sees it: payload bytes into it and out of it."""

    def __init__(self) -> None:
        self.into = self.out = 0  # bytes
        self.connections = 0


class _Http(asyncio.Protocol):
    """One connection on which requests come one by one; `request` answers by `answer`, soon or later."""

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic
        self.buffer = b""
        self.transport: asyncio.Transport | None = None
        self.rest = memoryview(b"")  # of a long answer, not yet written
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.traffic.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self._write()

    def _write(self) -> None:
        """A piece at a time, as the peer reads; what the kernel holds when it hangs up counts too."""
        while self.rest and not self.paused and self.transport is not None:
            piece, self.rest = self.rest[:PIECE], self.rest[PIECE:]
            self.traffic.into += len(piece)
            self.transport.write(piece)

    def data_received(self, data: bytes) -> None:
        self.traffic.out += len(data)
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:end]
            length = LENGTH.search(head)
            whole = end + 4 + (int(length[1]) if length else 0)
            if len(self.buffer) < whole:
                return
            self.buffer = self.buffer[whole:]
            self.request(head)

    def answer(self, status: int, body: bytes) -> None:
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        self.rest = memoryview(head + body)
        self._write()

    def request(self, head: bytes) -> None:
        raise NotImplementedError


async def _serve(factory: Any) -> tuple[asyncio.Server, str]:
    """Listen on a free port; the server and its `host:port`."""
    server = await asyncio.get_running_loop().create_server(factory, "127.0.0.1", 0, backlog=1024)
    return server, "{}:{}".format(*server.sockets[0].getsockname()[:2])


class Nodes:
    """Data nodes: all that share a socket answer alike, each request after the same work."""

    def __init__(self, work_ms: float) -> None:
        self.work = work_ms / 1000
        self.traffic = Traffic()
        self.stays: dict[bytes, float] = {}  # s from a request's last byte to its answer
        self.answered = self.nameless = 0
        self.servers: list[asyncio.Server] = []
        self.addresses: list[str] = []

    async def start(self, listeners: int) -> None:
        for _ in range(listeners):
            server, address = await _serve(lambda: _Node(self))
            self.servers.append(server)
            self.addresses.append(address)

    def close(self) -> None:
        for server in self.servers:
            server.close()


class _Node(_Http):
    def __init__(self, nodes: Nodes) -> None:
        super().__init__(nodes.traffic)
        self.nodes = nodes

    def request(self, head: bytes) -> None:
        name = REQUEST_ID.search(head)
        if name is None:
            self.nodes.nameless += 1
            self.answer(404, b"")
            return
        asyncio.get_running_loop().call_later(self.nodes.work, self._done, name[1], time.monotonic())

    def _done(self, name: bytes, began: float) -> None:
        self.nodes.answered += 1
        self.nodes.stays[name] = time.monotonic() - began
        self.answer(200, b'{"height_m":1.4,"period_s":7.1,"wind_ms":6.2}' * 4)


class Discovery:
    """Discovery's agent: a watch is answered once there is news, or when its time is over."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.traffic = Traffic()
        self.calls = self.whole = self.unreadable = 0
        self.heard = members.version  # the newest version that a call has shown to be taken
        self.waiting: dict[_Watch, tuple[int, asyncio.TimerHandle]] = {}
        self.server: asyncio.Server

    async def start(self) -> str:
        self.server, address = await _serve(lambda: _Watch(self))
        return address

    def change(self) -> None:
        self.members.change(round(time.time() * 1000))
        for watch in list(self.waiting):
            watch.tell()

    def close(self) -> None:
        self.server.close()


class _Watch(_Http):
    def __init__(self, discovery: Discovery) -> None:
        super().__init__(discovery.traffic)
        self.discovery = discovery

    def request(self, head: bytes) -> None:
        d = self.discovery
        d.calls += 1
        target = head.split(b" ", 2)[1]
        if target == b"/catalog/members":
            d.whole += 1
            self.answer(200, d.members.whole())
            return
        asked = re.fullmatch(rb"/catalog/members\?since=(\d+)&timeout_ms=(\d+)", target)
        if asked is None:
            d.unreadable += 1
            self.answer(400, b"")
            return
        since, wait = int(asked[1]), min(LONGEST_WATCH, int(asked[2])) / 1000
        d.heard = max(d.heard, since)
        d.waiting[self] = since, asyncio.get_running_loop().call_later(wait, self.tell)
        if since != d.members.version:
            self.tell()

    def tell(self) -> None:
        since, timer = self.discovery.waiting.pop(self)
        timer.cancel()
        self.answer(200, self.discovery.members.since(since))

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self in self.discovery.waiting:
            self.discovery.waiting.pop(self)[1].cancel()


class Counter:
    """The counter, RESP2: totals by name that never expire; beyond `per_s` calls in a second it is busy."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.traffic = Traffic()
        self.totals: dict[bytes, float] = {}
        self.added = self.busy = self.wrong = 0
        self.second, self.taken = 0, 0
        self.server: asyncio.Server

    async def start(self) -> str:
        self.server, address = await _serve(lambda: _Calls(self))
        return address

    def close(self) -> None:
        self.server.close()

    def call(self, words: list[bytes]) -> bytes:
        """The answer to one call."""
        if words[0].upper() == b"PING":
            return b"+PONG\r\n"
        try:
            command, name, amount, _ = words
            add = float(amount)
            if command != b"CNT.ADD" or not 1 <= len(name) <= 64 or not abs(add) <= 1e9:
                raise ValueError
        except ValueError:
            self.wrong += 1
            return b"-ERR no such call\r\n"
        if (second := int(time.monotonic())) != self.second:
            self.second, self.taken = second, 0
        if self.per_s and self.taken >= self.per_s:
            self.busy += 1
            return b"-BUSY\r\n"
        self.taken, self.added = self.taken + 1, self.added + 1
        total = self.totals[name] = self.totals.get(name, 0.0) + add
        text = b"%.7g" % total
        return b"$%d\r\n%b\r\n" % (len(text), text)


class _Calls(asyncio.Protocol):
    def __init__(self, counter: Counter) -> None:
        self.counter, self.reader = counter, hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.counter.traffic.connections += 1

    def data_received(self, data: bytes) -> None:
        self.counter.traffic.out += len(data)
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            answer = self.counter.call(words)
            self.counter.traffic.into += len(answer)
            self.transport.write(answer)


class Tier:
    """The other limiters: each has an address of its own in 127.64/10, all are played through one socket."""

    def __init__(self, limiters: int, customers: list[int], entries: int, rng: Random) -> None:
        self.limiters, self.customers, self.entries, self.rng = limiters, customers, entries, rng
        self.traffic = Traffic()
        self.told = self.heard = 0  # datagrams to the limiter under test, and from it
        self.longest = 0  # bytes of the longest from it
        self.turn = 0
        self.sender, self.everyone, own = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3))
        for sock in (self.sender, self.everyone, own):
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        self.own: tuple[str, int] = own.getsockname()
        own.close()  # the limiter under test binds it
        self.port = self.sender.getsockname()[1]

    def start(self) -> None:
        asyncio.get_running_loop().add_reader(self.everyone, self._read)

    @staticmethod
    def host(number: int) -> str:
        return f"127.{64 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"

    def config(self) -> dict[str, Any]:
        own = "{}:{}".format(*self.own)
        others = [f"{self.host(n)}:{self.port}" for n in range(1, self.limiters)]
        everyone = "{}:{}".format(*self.everyone.getsockname())
        return {"peer_listen": own, "peers": [own, *others], "peers_all": everyone}

    def tell(self) -> None:
        """One message of the next of the others, in their order."""
        number, self.turn = 1 + self.turn % (self.limiters - 1), self.turn + 1
        body = message(self.rng, self.rng.sample(self.customers, min(self.entries, len(self.customers))))
        source = struct.pack("=I4s4s", 0, socket.inet_aton(self.host(number)), bytes(4))
        try:
            self.sender.sendmsg([body], [(socket.IPPROTO_IP, IP_PKTINFO, source)], 0, self.own)
        except BlockingIOError:
            return
        self.told += 1
        self.traffic.into += len(body)

    def _read(self) -> None:
        try:
            while body := self.everyone.recv(2048):
                self.heard += 1
                self.longest = max(self.longest, len(body))
                self.traffic.out += len(body)
        except BlockingIOError:
            pass

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.everyone)
        self.sender.close()
        self.everyone.close()


class Clients:
    """Clients of the front: a request goes on a connection that rests, or on a new one."""

    def __init__(
        self, address: tuple[str, int], limiters: int, customers: list[int], nodes: Nodes, rng: Random
    ) -> None:
        self.address, self.limiters, self.customers = address, limiters, customers
        self.nodes, self.rng = nodes, rng
        self.resting: list[_Client] = []
        self.sent = self.lost = 0
        self.statuses: Tally[int] = Tally()
        self.added: list[float] = []  # s that a served request stayed longer than its data node took
        self.open: set[_Client] = set()
        self.dials: set[asyncio.Task[None]] = set()

    @property
    def answered(self) -> int:
        return self.statuses.total() + self.lost

    def request(self) -> None:
        self.sent += 1
        customer = self.rng.choice(self.customers)
        name = f"{self.rng.getrandbits(64):016x}"
        cls, method = ("alert-order", "POST") if self.rng.random() < 0.47 else ("obs-read", "GET")
        body = b'{"station":"41008","wave_m":3.0}' if method == "POST" else b""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{method} /{cls}/{customer:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {name}\r\n"
            f"X-Class: {cls}\r\nX-Tariff: {PLANS[plan_of(customer)]}\r\nX-Deadline-Ms: 3000\r\n"
            f"X-Weight: units=1,spread={min(SPREAD, self.limiters)},first=0\r\n{length}\r\n"
        )
        data = head.encode() + body
        if self.resting:
            self.resting.pop().send(name.encode(), data)
            return
        dial = asyncio.ensure_future(self._dial(name.encode(), data))
        self.dials.add(dial)
        dial.add_done_callback(self.dials.discard)

    async def _dial(self, name: bytes, data: bytes) -> None:
        try:
            loop = asyncio.get_running_loop()
            _, client = await loop.create_connection(lambda: _Client(self), *self.address)
            client.send(name, data)
        except OSError:
            self.lost += 1

    def close(self) -> None:
        for client in list(self.open):
            client.transport.abort()


class _Client(asyncio.Protocol):
    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.name: bytes | None = None
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.clients.open.add(self)

    def send(self, name: bytes, data: bytes) -> None:
        self.name, self.sent = name, time.monotonic()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if (end := self.buffer.find(b"\r\n\r\n")) < 0 or self.name is None:
            return
        head = self.buffer[:end]
        length = LENGTH.search(head)
        if len(self.buffer) < end + 4 + (int(length[1]) if length else 0):
            return
        clients, name, status = self.clients, self.name, int(head.split(b" ", 2)[1])
        self.buffer, self.name = b"", None
        clients.statuses[status] += 1
        stay = clients.nodes.stays.pop(name, None)
        if status == 200 and stay is not None:
            clients.added.append(time.monotonic() - self.sent - stay)
        if b"connection: close" in head.lower():
            self.transport.close()
        else:
            clients.resting.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.open.discard(self)
        if self in self.clients.resting:
            self.clients.resting.remove(self)
        if self.name is not None:
            self.name = None
            self.clients.lost += 1
