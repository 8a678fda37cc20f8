"""Body of a request while it is received."""

import mmap
from contextlib import suppress

#: Bodies up to this size are kept as bytes; typical ones have at most 72 KB.
MAX_INLINE_BYTES = 131072


class BodyBuffer:
    """Bytes of a body, held once and given back to the system when they are released.

    A large body has pages of its own. On the heap, bodies that grow side by side leave
    gaps that the process keeps, and growing copies them.

    :param expected: number of bytes that the body will probably have.
    :param limit: most bytes that are added.
    """

    def __init__(self, expected, limit):
        self.size = 0
        self.limit = limit
        self.inline = bytearray()
        self.pages = None
        if expected > MAX_INLINE_BYTES:
            self._open_pages(min(expected, limit))

    def _open_pages(self, size):
        # The system provides a page when it is written to first.
        self.pages = mmap.mmap(-1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
        with suppress(OSError):  # a system without huge pages
            self.pages.madvise(mmap.MADV_NOHUGEPAGE)
        self.pages[: self.size] = bytes(self.inline)
        self.inline = None

    def add(self, data):
        """Add bytes; with those there are, at most ``limit``.

        :param data: the bytes.
        """
        size = self.size + len(data)
        if self.pages is None:
            if size <= MAX_INLINE_BYTES:
                self.inline += data
                self.size = size
                return
            self._open_pages(self.limit)
        self.pages[self.size : size] = data
        self.size = size

    def take(self):
        """Return the body, ``bytes`` or a ``memoryview``; the buffer is empty then."""
        if self.pages is None:
            body, self.inline = bytes(self.inline), bytearray()
        else:
            body, self.pages = memoryview(self.pages)[: self.size].toreadonly(), None
            self.inline = bytearray()
        self.size = 0
        return body

    def clear(self):
        """Release the bytes."""
        self.inline, self.pages, self.size = bytearray(), None, 0
