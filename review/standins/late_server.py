"""A server to which connections come up late: its backlog is full when the first handshake arrives."""

from __future__ import annotations

import asyncio
import socket

from standins.record import Record
from standins.server import AnsweringServer, Respond


class LateServer(AnsweringServer):
    """A server that has no room for a new connection until `open_up`.

    The kernel drops the handshakes meanwhile. The caller's kernel repeats them one second after the first, so
    that a connection that is begun before `open_up` comes up about a second late.
    """

    def __init__(self, name: str, record: Record, respond: Respond | None = None) -> None:
        """Create a server that does not listen yet."""
        super().__init__(name, record, respond)
        self._socket = socket.socket()
        self._fillers: list[socket.socket] = []

    async def start_full(self) -> None:
        """Listen on a free port, with a backlog that is full."""
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen(0)
        self.port = self._socket.getsockname()[1]
        filler = socket.socket()
        filler.connect(("127.0.0.1", self.port))
        self._fillers.append(filler)

    async def open_up(self) -> None:
        """Accept connections from now on."""
        self._socket.setblocking(False)
        self._socket.listen(128)
        self._listening = await asyncio.start_server(self._serve, sock=self._socket)
        for filler in self._fillers:
            filler.close()
