"""Crowds of clients outside the limits, each of a bounded number of bytes and seconds.

A client is a plain socket: it connects, sends what its crowd sends, and leaves its
channel open until the test ends. It stops when the process closes the channel.
"""

import socket
from dataclasses import dataclass

import trio

SEND_SECONDS = 6.0  # for which one client sends
RECEIVE_BUFFER_BYTES = 4096  # of a slow reader; the system doubles it for its own use
HEAD = (
    b"POST /buy/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
    b"Wasabistage-Request-Id: ID\r\nWasabistage-Deadline-Ms: 3000\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
#: Largest body of the usual limits, and a part of it that is no whole body.
LIMIT_BYTES = 4 << 20
SHORT_BYTES = 3_900_000


@dataclass(frozen=True, kw_only=True)
class Crowd:
    """Clients that all send the same.

    :param clients: number of clients.
    :param first: first bytes of each; ``ID`` in them is replaced by an id.
    :param repeated: bytes that are sent again and again after the first ones.
    :param repeats: how often.
    :param last: last bytes.
    :param pause: pause between two repetitions, in seconds.
    :param is_slow_reader: whether the receive buffer is small. No client reads.
    """

    clients: int
    first: bytes = b""
    repeated: bytes = b""
    repeats: int = 0
    last: bytes = b""
    pause: float = 0.0
    is_slow_reader: bool = False

    async def play(self, address):
        """Send from all clients at once, until each has sent all or was refused.

        :param address: tuple of host and port.
        :return: list of the open sockets.
        """
        socks = []
        async with trio.open_nursery() as nursery:
            for number in range(self.clients):
                nursery.start_soon(self._send, address, number, socks)
        return socks

    async def _send(self, address, number, socks):
        sock = trio.socket.socket()
        socks.append(sock)
        if self.is_slow_reader:
            size = RECEIVE_BUFFER_BYTES
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        try:
            with trio.move_on_after(SEND_SECONDS):
                await sock.connect(address)
                stream = trio.SocketStream(sock)
                await stream.send_all(self.first.replace(b"ID", b"c%d" % number))
                for _ in range(self.repeats):
                    await stream.send_all(self.repeated)
                    if self.pause:
                        await trio.sleep(self.pause)
                if self.last:
                    await stream.send_all(self.last)
        except (OSError, trio.BrokenResourceError):
            return  # refused


def chunk(size, extension=b""):
    """Return one chunk of a body."""
    return b"%x%s\r\n" % (size, extension) + b"x" * size + b"\r\n"


def tiny_chunks(size, total):
    """Return the fields of a crowd whose bodies have ``total`` bytes in tiny chunks."""
    block = chunk(size) * 512
    return {"repeated": block, "repeats": total // (512 * size)}


#: Clients and bytes of each crowd are fixed together with the bounds of the tests.
ANNOUNCED_OVER_LIMIT = Crowd(
    clients=20,
    first=HEAD + b"Content-Length: 1073741824\r\n\r\n",
    repeated=b"x" * 65536,
    repeats=96,
)
UNANNOUNCED_OVER_LIMIT = Crowd(
    clients=20, first=CHUNKED, repeated=chunk(65536), repeats=96
)
ANNOUNCED_SHORT = Crowd(
    clients=20,
    first=HEAD + b"Content-Length: 4000000\r\n\r\n",
    repeated=b"x" * 65000,
    repeats=SHORT_BYTES // 65000,
)
CHUNKS_OF_64_KIB = Crowd(
    clients=20, first=CHUNKED, repeated=chunk(65536), repeats=SHORT_BYTES // 65536
)
CHUNKS_OF_8_BYTES = Crowd(clients=4, first=CHUNKED, **tiny_chunks(8, 131072))
CHUNKS_OF_1_BYTE = Crowd(clients=4, first=CHUNKED, **tiny_chunks(1, 16384))
TRICKLED_HEADS = Crowd(
    clients=300,
    first=HEAD + b"X-Long: " + b"x" * 49152,
    repeated=b"x",
    repeats=20,
    pause=0.1,
)
ENDLESS_EXTENSION = Crowd(
    clients=20, first=CHUNKED + b"1;", repeated=b"x" * 4096, repeats=256
)
ENDLESS_EXTENSIONS = Crowd(
    clients=20, first=CHUNKED, repeated=chunk(1, b";" + b"x" * 4000), repeats=256
)
ENDLESS_TRAILERS = Crowd(
    clients=20,
    first=CHUNKED + chunk(65536) + b"0\r\n",
    repeated=b"X-Trailer: " + b"x" * 4000 + b"\r\n",
    repeats=256,
)
MANY_HEADERS = Crowd(clients=20, first=HEAD, repeated=b"a:\r\n" * 64, repeats=1024)
PIPELINED = Crowd(
    clients=4,
    repeated=b"GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n" * 64,
    repeats=64,
)
SLOW_READERS = Crowd(
    clients=80,
    repeated=HEAD.replace(b"POST /buy", b"GET /read") + b"\r\n",
    repeats=24,
    is_slow_reader=True,
)
SILENT = Crowd(clients=300)
