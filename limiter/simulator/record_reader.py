"""Reads the fields of the records in a batch sequentially."""

from __future__ import annotations

import struct
from typing import Any

from limiter.model.events import Endpoint
from limiter.simulator.errors import WireError, WireFault

# The endpoints of each page, by the number of the page.
EndpointPages = dict[int, tuple[Endpoint, ...]]


class RecordReader:
    """Reads the fields of records sequentially from the body of a batch.

    Attributes:
        offset: Offset in the body of the byte that is read next.
        pages: The pages declared so far, to which records refer; page records add to them.
    """

    __slots__ = ("_body", "offset", "pages")

    def __init__(self, body: bytes, pages: EndpointPages) -> None:
        """Start at the first byte of the body; `pages` are those that earlier batches declared."""
        self._body = body
        self.offset = 0
        self.pages = pages

    def read_fields(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Return the fields of a layout. Their types are unknown here; each decoder assigns them to names."""
        fields = layout.unpack_from(self._body, self.offset)
        self.offset += layout.size
        return fields

    def read_bytes(self, length: int) -> bytes:
        """Return the next `length` bytes.

        Raises:
            WireError: The body has fewer bytes left.
        """
        end = self.offset + length
        if end > len(self._body):
            message = f"record extends to byte {end}, but the batch body ends at byte {len(self._body)}"
            raise WireError(WireFault.TRUNCATED, message)
        data = self._body[self.offset : end]
        self.offset = end
        return data
