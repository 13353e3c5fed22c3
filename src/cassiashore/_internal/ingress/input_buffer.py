"""Received bytes that are not parsed yet, cut into pieces of about one request."""

from __future__ import annotations

READ_BYTES = 64 * 1024  # read at once; also the most that a connection keeps unparsed
MESSAGE_END = b"\r\n\r\n"  # of a head, and of a chunked body without trailers
# Shortest piece. Cutting at each blank line would let blank lines alone cost a call each.
MIN_PIECE_BYTES = 64
MAX_HEAD_PIECE_BYTES = 4 * 1024  # longer than ordinary heads, which are parsed in one piece
MIN_CHUNKED_PIECE_BYTES = 1024  # a body may contain blank lines
MAX_CHUNKED_PIECE_BYTES = 16 * 1024


class InputBuffer:
    """Bytes between the socket and the parser of one connection."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._data = b""
        self._start = 0

    def __len__(self) -> int:
        """Return the number of bytes that were not taken yet."""
        return len(self._data) - self._start

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._data = self._data[self._start :] + data if len(self) else data
        self._start = 0

    def clear(self) -> None:
        """Drop all bytes."""
        self._data = b""
        self._start = 0

    def take_head_piece(self) -> bytes:
        """Take bytes up to the end of a head."""
        return self._take_to_end(MIN_PIECE_BYTES, MAX_HEAD_PIECE_BYTES)

    def take_chunked_piece(self) -> bytes:
        """Take bytes of a chunked body, up to its end if that may be near."""
        return self._take_to_end(MIN_CHUNKED_PIECE_BYTES, MAX_CHUNKED_PIECE_BYTES)

    def take(self, most: int) -> bytes:
        """Take up to ``most`` bytes."""
        start, self._start = self._start, min(self._start + most, len(self._data))
        piece = self._data[start : self._start]
        if self._start == len(self._data):
            self.clear()
        return piece

    def _take_to_end(self, least: int, most: int) -> bytes:
        search_from = self._start + least - len(MESSAGE_END)
        found = self._data.find(MESSAGE_END, search_from, self._start + most)
        return self.take(most if found < 0 else found + len(MESSAGE_END) - self._start)
