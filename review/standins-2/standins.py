"""Stand-ins for the outside systems of a limiter, and a runner for the project's own program.

Everything listens on 127.0.0.1 and on free ports. Times are seconds of the monotonic clock, counted from the
start of the script. The standard library is sufficient.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STARTED_AT = time.monotonic()
READY_TIMEOUT_SECONDS = 30.0
HELD_EXIT_CODE = 0
BROKEN_EXIT_CODE = 1
CANNOT_RUN_EXIT_CODE = 2


def now() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - STARTED_AT


def has_trouble() -> bool:
    """Return whether the script shall play its disruption; `TROUBLE=0` turns it off."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        """Start an empty record."""
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add one line with the current time."""
        self.lines.append(f"{now():9.3f} {text}")

    def save(self, folder: Path) -> None:
        """Write the lines to `record.txt` in a folder."""
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n")


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
    return port


# Servers


@dataclass(eq=False)
class ServerRequest:
    """A request as it arrived at a server."""

    request_id: str
    line: str
    headers: dict[str, str]
    body: bytes
    server: str
    connection: int
    first_byte_at: float
    last_byte_at: float
    ended_at: float | None = None


Responder = Callable[[ServerRequest, asyncio.StreamWriter], Awaitable[None]]


def encode_response(status: int, body: bytes, *header_lines: str) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *header_lines, "", ""]
    return "\r\n".join(lines).encode() + body


def answer_of(request: ServerRequest) -> bytes:
    """Return the body that only this server makes for only this request."""
    return f"{request.server} ran {request.request_id}".encode()


class Server:
    """A data node: it answers each request after its service time, with a body made for that request."""

    def __init__(self, name: str, record: Record, service_seconds: float = 0.02) -> None:
        """Create a server that does not listen yet."""
        self.name = name
        self.record = record
        self.service_seconds = service_seconds
        self.requests: list[ServerRequest] = []
        self.responder: Responder = self.serve
        self.zone = "room-a"
        self.cell = 0
        self.port = 0
        self.started_at_ms = 0
        self._connections = itertools.count(1)
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen, on the same port after a restart."""
        self._listener = await asyncio.start_server(self._handle, HOST, self.port, limit=1 << 20)
        self.port = self._listener.sockets[0].getsockname()[1]

    def die(self) -> None:
        """End as a process that dies: reset the connections and refuse new ones."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.add(f"{self.name} died")

    async def serve(self, request: ServerRequest, writer: asyncio.StreamWriter) -> None:
        """Answer a request after the service time."""
        await asyncio.sleep(self.service_seconds)
        writer.write(encode_response(200, answer_of(request)))

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = next(self._connections)
        self._writers.add(writer)
        request: ServerRequest | None = None
        try:
            while True:
                request = await self._read_request(reader, number)
                self.requests.append(request)
                self.record.add(f"{self.name} received {request.request_id} {request.line}")
                watch = asyncio.ensure_future(self._watch_end(request, reader))
                await self.responder(request, writer)
                await writer.drain()
                request.ended_at = request.ended_at or now()
                await watch
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if request is not None and request.ended_at is None:
                request.ended_at = now()
            self._writers.discard(writer)
            writer.close()

    async def _watch_end(self, request: ServerRequest, reader: asyncio.StreamReader) -> None:
        """Note when the limiter closes the connection of a request that has no answer yet."""
        while request.ended_at is None:
            if reader.at_eof() or reader.exception() is not None:
                request.ended_at = now()
                self.record.add(f"{self.name} sees the connection of {request.request_id} end")
            await asyncio.sleep(0.002)

    async def _read_request(self, reader: asyncio.StreamReader, number: int) -> ServerRequest:
        first = await reader.readexactly(1)
        first_byte_at = now()
        head = first + await reader.readuntil(b"\r\n\r\n")
        line, *header_lines = head.decode("latin-1").split("\r\n")
        pairs = (text.partition(":") for text in header_lines if text)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("x-request-id", "-")
        return ServerRequest(request_id, line, headers, body, self.name, number, first_byte_at, now())


# Discovery


class Discovery:
    """Discovery, or its agent on a limiter's machine: the whole list, and watches for changes.

    Attributes:
        delay_seconds: How late each answer is.
        answers: Cleared while discovery is down, so that calls wait without an answer.
        refusals_left: How many of the next calls are refused with 503.
    """

    def __init__(self, record: Record, name: str = "discovery") -> None:
        """Create a discovery with an empty list."""
        self.name = name
        self.record = record
        self.generation = 1
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.delay_seconds = 0.0
        self.answers = asyncio.Event()
        self.answers.set()
        self.refusals_left = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.answered: list[tuple[float, int]] = []
        self._changed = asyncio.Condition()
        self._listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._handle, HOST, self.port)
        self.port = self._listener.sockets[0].getsockname()[1]

    async def publish(self, server: Server, lifecycle: str = "active") -> None:
        """Put the state of a server into the list; `left` removes it."""
        self.generation += 1
        entry = {
            "instanceId": server.name,
            "hostPort": f"{HOST}:{server.port}",
            "zone": server.zone,
            "machineType": "small-2c",
            "cell": server.cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": server.started_at_ms,
        }
        self.entries[server.name] = (self.generation, entry)
        self.record.add(f"{self.name} has generation {self.generation}: {server.name} {lifecycle}")
        async with self._changed:
            self._changed.notify_all()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list as a document."""
        listed = [entry for _, entry in self.entries.values() if entry["lifecycle"] != "left"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    def reset_watches(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                await self._answer(target, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        if self.refusals_left:
            self.refusals_left -= 1
            self.record.add(f"{self.name} refuses {target}")
            writer.write(encode_response(503, b""))
            return
        since = re.search(r"since=(\d+)", target)
        wait = re.search(r"timeout_ms=(\d+)", target)
        if since is not None:
            await self._wait_for_change(int(since[1]), min(60.0, int(wait[1]) / 1000 if wait else 0.0))
        await self.answers.wait()
        await asyncio.sleep(self.delay_seconds)
        document = self.whole_list()
        if since is not None:
            known = int(since[1])
            changed = [entry for version, entry in self.entries.values() if version > known]
            document = {"generation": self.generation, "reset": False, "instances": changed}
        body = json.dumps(document).encode()
        writer.write(encode_response(200, body))
        await writer.drain()
        self.answered.append((now(), document["generation"]))
        self.record.add(f"{self.name} answered {target} with generation {document['generation']}")

    async def _wait_for_change(self, known: int, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: self.generation > known)


# Clients


@dataclass(eq=False)
class Answer:
    """What a client saw of one request."""

    request_id: str
    sent_at: float
    deadline_seconds: float
    status: int = 0  # 0: no whole answer.
    body: bytes = b""
    ended_at: float = 0.0
    note: str = ""


@dataclass(frozen=True)
class RequestOptions:
    """The parts of a request that most cases leave as they are."""

    customer: int = 1
    plan: str = "open"
    deadline_ms: int = 3000
    body: bytes = b""
    weight: str = "units=1,spread=1,first=0"
    header_lines: tuple[str, ...] = ()


DEFAULT_OPTIONS = RequestOptions()
SAFE_CLASSES = ("obs-read",)


async def read_response(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one response with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *header_lines = head.split("\r\n")
    headers = {}
    for text in header_lines:
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(line.split()[1]), headers, body


class Client:
    """A sound client: one request at a time on a connection; keeps its connections."""

    def __init__(self, record: Record, port: int) -> None:
        """Create a client of the limiter at a port."""
        self.record = record
        self.port = port
        self.answers: list[Answer] = []
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        """Return a fresh request id of 16 hexadecimal digits."""
        return f"{self.port:04x}{next(self._numbers):012x}"

    def encode(self, request_id: str, request_class: str, options: RequestOptions = DEFAULT_OPTIONS) -> bytes:
        """Return the bytes of a request."""
        is_safe = request_class in SAFE_CLASSES
        lines = [
            f"{'GET' if is_safe else 'POST'} /{request_class}/{options.customer:016x} HTTP/1.1",
            "Host: api.internal",
            f"X-Request-Id: {request_id}",
            f"X-Class: {request_class}",
            f"X-Tariff: {options.plan}",
            f"X-Deadline-Ms: {options.deadline_ms}",
            f"X-Weight: {options.weight}",
        ]
        if not is_safe:
            lines.append(f"Content-Length: {len(options.body)}")
        return "\r\n".join([*lines, *options.header_lines, "", ""]).encode() + options.body

    async def request(
        self, request_class: str = "obs-read", options: RequestOptions = DEFAULT_OPTIONS
    ) -> Answer:
        """Send one request and wait for its answer, half a second longer than its time."""
        request_id = self.next_id()
        deadline_seconds = options.deadline_ms / 1000
        answer = Answer(request_id, now(), deadline_seconds)
        self.answers.append(answer)
        data = self.encode(request_id, request_class, options)
        try:
            async with asyncio.timeout(deadline_seconds + 0.6):
                await self._exchange(answer, data)
        except TimeoutError:
            answer.note = "no answer in time"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.note = f"connection ended: {error!r}"
        answer.ended_at = now()
        self.record.add(f"client got {answer.status or answer.note} for {request_id} {request_class}")
        return answer

    async def _exchange(self, answer: Answer, data: bytes) -> None:
        """Send the request; if a kept connection ends without a byte, send it once more on a new one."""
        while self._idle:
            reader, writer = self._idle.pop()
            if reader.at_eof() or reader.exception() is not None:
                writer.close()
                continue
            try:
                await self._exchange_on(answer, data, reader, writer)
            except (OSError, asyncio.IncompleteReadError) as error:
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    raise
                self.record.add(f"client sends {answer.request_id} again, its connection had ended")
                break
            return
        await self._exchange_on(answer, data, *await asyncio.open_connection(HOST, self.port))

    async def _exchange_on(
        self, answer: Answer, data: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            answer.sent_at = now()
            writer.write(data)
            status, headers, body = await read_response(reader)
        except BaseException:
            writer.transport.abort()
            raise
        answer.status, answer.body = status, body
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))


# The limiter


def make_settings(index: int = 0, count: int = 1, **changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment."""
    common = {"deadline": 3000.0, "lateWorth": 0.2, "group": "all", "window": 5000.0, "stream": False}
    settings: dict[str, Any] = {
        "me": index,
        "peersTotal": count,
        "myZone": 0,
        "discovery": "pushed",
        "domainType": "gate",
        "classes": [
            {"name": "obs-read", "aim": 1200.0, "effect": "repeatable", "worth": 1.0, **common},
            {"name": "alert-order", "aim": 1000.0, "effect": "once", "worth": 5.0, **common},
        ],
        "contracts": [{"name": "open"}],
        "extra": {"mayCount": False, "maxUnits": 1, "mailPerS": 40.0, "countLimit": 30.0},
        "limits": {
            "maxAttempts": 4,
            "dialTimeout": 250.0,
            "keepalive": 15000.0,
            "peers": False,
            "probing": True,
            "secondCopies": False,
        },
        "localities": ["room-a"],
        "models": ["small-2c"],
        "report": {"fields": ["rate", "q"], "how": "pull"},
        "rules": {
            "startCapacity": 0.16,
            "rampTime": 16000.0,
            "overloadFactor": 2.0,
            "fall": 1000.0,
            "stopSendingWithin": 500.0,
            "answerSlack": 16.0,
            "askEvery": 10000.0,
        },
    }
    return {**settings, **changes}


@dataclass(eq=False)
class Limiter:
    """A limiter process, started with the `run` command of the deploy file."""

    record: Record
    name: str
    settings: dict[str, Any]
    discovery_port: int
    known: dict[str, Any] | None = None
    port: int = field(default_factory=free_port)
    extra_config: dict[str, Any] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    folder: tempfile.TemporaryDirectory[str] | None = None

    def write_config(self) -> Path:
        """Write the configuration file and return its path."""
        if self.folder is None:
            self.folder = tempfile.TemporaryDirectory()
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.known or {"generation": 1, "reset": True, "instances": []},
            "settings": self.settings,
            **self.extra_config,
        }
        path = Path(self.folder.name) / "config.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.rename(path)
        return path

    async def start(self, *, wait_until_ready: bool = True) -> None:
        """Start the process; wait until its health check answers 200."""
        path = self.write_config()
        assert self.folder is not None
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{HOST}:{self.port}",
            "RELAY_DISCOVERY": f"{HOST}:{self.discovery_port}",
            "RELAY_CONFIG": str(path),
            "TMPDIR": self.folder.name,
        }
        with (Path(self.folder.name) / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(f"{self.name} started")
        if wait_until_ready:
            await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until the health check answers 200."""
        end = now() + READY_TIMEOUT_SECONDS
        while now() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\n\r\n")
                status, _, _ = await read_response(reader)
                writer.close()
                if status == 200:
                    self.record.add(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.add(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return None if self.process is None else self.process.returncode

    def read_log(self) -> str:
        """Return what the process wrote to its output."""
        if self.folder is None:
            return ""
        return (Path(self.folder.name) / "log.txt").read_text()

    async def stop(self) -> None:
        """End the process and remove its files."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.folder is not None:
            for line in self.read_log().splitlines():
                self.record.lines.append(f"          log of {self.name}: {line}")
            self.folder.cleanup()
            self.folder = None


class CannotRunError(Exception):
    """The case could not be run."""


def run_case(folder: str, case: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Run a case, write its record, and exit with 1 if it returns breaks of the rule, else with 0."""
    record = Record()
    try:
        breaks = asyncio.run(_run_with_limit(case, record))
    except Exception as error:  # noqa: BLE001 - any error means that the case could not run, not that it failed
        record.add(f"the case could not run: {error!r}")
        record.save(Path(folder))
        sys.exit(CANNOT_RUN_EXIT_CODE)
    for text in breaks:
        record.add(f"BROKEN: {text}")
    record.add("the rule was broken" if breaks else "the rule held")
    record.save(Path(folder))
    print(f"{len(breaks)} breaks" + "".join(f"\n  {text}" for text in breaks[:10]))
    sys.exit(BROKEN_EXIT_CODE if breaks else HELD_EXIT_CODE)


async def _run_with_limit(case: Callable[[Record], Awaitable[list[str]]], record: Record) -> list[str]:
    async with asyncio.timeout(110):
        return await case(record)
