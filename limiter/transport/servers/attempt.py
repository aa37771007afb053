"""One send of a client's request to one server."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from limiter.model.events import Outcome

if TYPE_CHECKING:
    from limiter.transport.servers.server_connection import ServerConnection

EndedCallback = Callable[["Attempt", Outcome, bytes, bytes], None]  # attempt, outcome, body, content type


def _never_gone() -> bool:
    return False


class Attempt:
    """One send of a request to a server; it is written at most once and ended exactly once.

    It waits for a connection (`dial_task` is set while one is being opened), is then carried by `connection`,
    and is over once `end` was called.
    """

    __slots__ = (
        "_on_ended",
        "connection",
        "data",
        "dial_task",
        "is_client_gone",
        "number",
        "owner",
        "server",
        "stale",
        "started",
        "timeout_timer",
        "written",
    )

    def __init__(  # noqa: PLR0913, PLR0917 - an attempt is made in one place, from these parts
        self,
        owner: Any,
        number: int,
        server: bytes,
        data: bytes,
        on_ended: EndedCallback,
        is_client_gone: Callable[[], bool] = _never_gone,
    ) -> None:
        """Describe a send that has not begun.

        Args:
            owner: what the attempt is made for; not used here.
            number: index of the attempt among those of its request.
            server: id of the server.
            data: the whole request in HTTP.
            on_ended: called once with the attempt, its outcome, and the response's body and content type.
            is_client_gone: asked when a wait for a connection is over; if so, nothing is written.
        """
        self.owner = owner
        self.number = number
        self.server = server
        self.data = data
        self.is_client_gone = is_client_gone
        self._on_ended: EndedCallback | None = on_ended
        self.started = time.monotonic()
        self.connection: ServerConnection | None = None
        self.dial_task: asyncio.Task[None] | None = None  # only while its connection is being opened
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.written = False  # completely, to the kernel: from then on the server may have run it
        self.stale = False  # reset on a reused connection, before any byte of a response

    @property
    def is_over(self) -> bool:
        """Whether it has ended."""
        return self._on_ended is None

    def end(self, outcome: Outcome, body: bytes = b"", content_type: bytes = b"") -> None:
        """Report the outcome to the owner; without effect on an attempt that is over."""
        on_ended = self._on_ended
        if on_ended is None:
            return
        self._on_ended = None
        self.connection = None
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
            self.timeout_timer = None
        on_ended(self, outcome, body, content_type)
