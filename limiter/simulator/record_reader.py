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
        pages: The pages declared so far, which records refer to and add to.
    """

    __slots__ = ("_body", "_offset", "pages")

    def __init__(self, body: bytes, pages: Pages) -> None:
        """Begin at the first byte of the body; `pages` are those that earlier batches declared."""
        self._body = body
        self._offset = 0
        self.pages = pages

    @property
    def offset(self) -> int:
        """The byte of the body that is read next."""
        return self._offset

    def read_code(self) -> int:
        """Return the code of a record, its first byte.

        Raises:
            IndexError: The body has ended.
        """
        code = self._body[self._offset]
        self._offset += 1
        return code

    def read(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Return the fields of a layout, whose types `struct` doesn't tell: each decoder names its fields."""
        fields = layout.unpack_from(self._body, self._offset)
        self._offset += layout.size
        return fields

    def read_bytes(self, length: int) -> bytes:
        """Return so many bytes.

        Raises:
            WireError: The body ends before.
        """
        end = self._offset + length
        if end > len(self._body):
            message = f"record reaches to byte {end} of {len(self._body)}"
            raise WireError(WireFault.TRUNCATED, message)
        data = self._body[self._offset : end]
        self._offset = end
        return data
