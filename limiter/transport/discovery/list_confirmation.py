"""Tracks whether the endpoint list in use may be older than what the agent of discovery holds.

What the agent on this host holds binds the limiter, whether or not it has received it: from its start, and
from a fixed time after a reload that names another agent. Until that agent has sent a list, the limiter does
not know which of its servers drain.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum, auto

log = logging.getLogger(__name__)


class ListState(Enum):
    """How far the endpoint list in use may be relied on."""

    CONFIRMED = auto()  # The agent in the configuration has sent it, or there is no list to confirm.
    PENDING = auto()  # The agent has not sent a list yet, but what it holds does not bind the limiter yet.
    OVERDUE = (
        auto()
    )  # What the agent holds binds the limiter; the list may be used only if there is no agent.
    EXPIRED = auto()  # The list must not be used until the agent has sent one.


class ListConfirmation:
    """The state of the endpoint list in use.

    An agent that refuses connections is not running and holds nothing. The list then remains in use: without
    any agent, a limiter with an old list is better than none.
    """

    def __init__(self, on_expired: Callable[[], None]) -> None:
        """Start with a confirmed list.

        Args:
            on_expired: Called when the list must no longer be used.
        """
        self._on_expired = on_expired
        self._state = ListState.CONFIRMED
        self._is_agent_absent = False  # The last call failed because nothing listens at the address.
        self._timer: asyncio.TimerHandle | None = None  # Set while the state is PENDING.

    @property
    def is_list_usable(self) -> bool:
        """Whether attempts may be sent by the list."""
        if self._state is ListState.OVERDUE:
            return self._is_agent_absent
        return self._state is not ListState.EXPIRED

    def require_now(self) -> None:
        """Require a list from the agent: the list in use is a stored one."""
        self._state = ListState.OVERDUE

    def require_within(self, seconds: float) -> None:
        """Require a list from another agent within this time; an earlier requirement remains in force."""
        self._is_agent_absent = False
        if self._state is ListState.CONFIRMED:
            self._state = ListState.PENDING
            self._timer = asyncio.get_running_loop().call_later(seconds, self._end_pending)

    def record_list(self) -> None:
        """Record that the agent has sent a list."""
        self._state = ListState.CONFIRMED
        self.close()

    def record_failure(self, error: Exception) -> None:
        """Record that a call to the agent has failed."""
        self._is_agent_absent = isinstance(error, ConnectionRefusedError)
        self.expire_if_unusable()

    def expire_if_unusable(self) -> None:
        """End the use of a list that must not be used; has no effect if that was done before."""
        if self._state is ListState.OVERDUE and not self._is_agent_absent:
            self._state = ListState.EXPIRED
            log.warning("endpoint_list_expired")
            self._on_expired()

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_pending(self) -> None:
        self._timer = None
        self._state = ListState.OVERDUE
        self.expire_if_unusable()
