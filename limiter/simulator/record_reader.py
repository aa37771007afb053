"""Reads the fields of a batch's records, one after the other."""

from __future__ import annotations

import struct
from typing import Any

from limiter.model.events import Endpoint
from limiter.simulator.errors import WireError, WireFault

# Lists of endpoints by the number of their page.
Pages = dict[int, tuple[Endpoint, ...]]


class RecordReader:
    """Reads the fields of records one after the other from the body of a batch.

    Attributes:
        offset: Byte of the body that is read next.
        pages: The pages declared so far, which records refer to and add to.
    """

    __slots__ = ("_body", "offset", "pages")

    def __init__(self, body: bytes, pages: Pages) -> None:
        """Begin at the first byte of the body; `pages` are those that earlier batches declared."""
        self._body = body
        self.offset = 0
        self.pages = pages

    def read(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Return the fields of a layout, whose types `struct` doesn't tell: each decoder names its fields."""
        fields = layout.unpack_from(self._body, self.offset)
        self.offset += layout.size
        return fields

    def read_bytes(self, length: int) -> bytes:
        """Return so many bytes.

        Raises:
            WireError: The body ends before.
        """
        end = self.offset + length
        if end > len(self._body):
            message = f"record reaches to byte {end} of {len(self._body)}"
            raise WireError(WireFault.TRUNCATED, message)
        data = self._body[self.offset : end]
        self.offset = end
        return data
