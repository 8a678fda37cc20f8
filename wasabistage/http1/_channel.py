"""One channel to a server."""

import socket
from dataclasses import dataclass, field

import h11
import trio

from wasabistage.http1._body import BodyBuffer

READ_BYTES = 65536  # bytes a read; the largest common socket buffer
MAX_JOINED_BYTES = 131072  # of a body that is sent together with its head
KEEPALIVE_IDLE = 1  # seconds, the least that the system takes
KEEPALIVE_INTERVAL = 1  # seconds, the least that the system takes
KEEPALIVE_PROBES = 2  # probes; one may be lost on a bad link
UNACKNOWLEDGED_LIMIT = 3000  # milliseconds; the idle time plus two probes
#: Bytes that may arrive before the head of the final response is complete, with all
#: interim responses.
MAX_HEAD_BYTES = 65536
#: Bytes of responses to earlier requests that are skipped on one channel. A channel
#: that has more of them is closed.
MAX_SKIPPED_BYTES = 1 << 20


class ChannelError(Exception):
    """The channel failed or sent what is no response; the request may have run."""


class ChannelClosedError(ChannelError):
    """The server closed or reset the channel before its response was complete."""


class NotSentError(ChannelError):
    """The channel could not be opened; no byte of the request left."""


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status line and headers of a response.

    :param status: HTTP status.
    :param reason: reason phrase, bytes.
    :param headers: list of (name, value) pairs of bytes as they came.
    :param fields: dict of lower-case name to value, both bytes, last one wins.
    """

    status: int
    reason: bytes
    headers: list
    fields: dict = field(default_factory=dict)

    @property
    def is_framed(self):
        """Whether the end of the body is marked otherwise than by the channel's end."""
        return b"content-length" in self.fields or b"transfer-encoding" in self.fields


def set_liveness_options(sock):
    """Let the system notice a peer that fell silent.

    :param sock: a TCP socket.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT)


def begin_cycle(connection):
    """Get a connection ready for its next request; return whether it can be.

    :param connection: an :class:`h11.Connection`.
    """
    try:
        connection.start_next_cycle()
    except h11.LocalProtocolError:
        return False
    return True


async def open_channel(address, timeout):
    """Open a channel.

    :param address: tuple of host and port.
    :param timeout: longest time to connect, in seconds.
    :return: a :class:`Channel`.
    :raises NotSentError: if it can't be opened in time.
    """
    sock = trio.socket.socket()
    try:
        with trio.fail_after(timeout):
            await sock.connect(address)
        set_liveness_options(sock)
    except (OSError, trio.TooSlowError) as error:
        sock.close()
        raise NotSentError(f"cannot connect: {error or 'timeout'}") from error
    except BaseException:
        sock.close()
        raise
    return Channel(sock, address)


class Channel:
    """One HTTP/1.1 channel to a server, for one request at a time.

    :param sock: connected trio socket.
    :param address: tuple of host and port.
    """

    def __init__(self, sock, address):
        self.sock = sock
        self.address = address
        self.connection = h11.Connection(h11.CLIENT)
        self.request = None
        self.sent_all = True
        self.closed = False
        #: Whether the server has closed its end.
        self.ended = False
        #: The error by which the system told that the channel broke, to the task that
        #: was sending.
        self.send_error = None
        self.used = 0
        self.idle_until = 0.0
        #: Time of the last received byte, seconds of trio's clock.
        self.heard_at = float("-inf")
        #: Whether the server has stated how long it keeps an idle channel.
        self.has_idle_time = False
        #: Bytes received since the last request was sent.
        self.received_bytes = 0
        self.skipped_bytes = 0
        #: Ids of requests that the server refused on this channel. A refusal may come
        #: once more, so that none of them is sent here again.
        self.refused_ids = set()

    def close(self):
        """Close at once; a server stops the work of a closed channel."""
        if not self.closed:
            self.closed = True
            self.sock.close()

    def is_quiet(self):
        """Tell whether an idle channel is open and holds no unexpected bytes."""
        if self.closed:
            return False
        try:
            # The raw socket is non-blocking: no bytes means that it is still open.
            self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def send_request(self, method, target, headers, body):
        """Send a whole request.

        :param method: bytes.
        :param target: bytes, sent as they are.
        :param headers: list of (name, value) pairs of bytes, framing included.
        :param body: bytes-like, of the length that ``headers`` give.
        :raises ChannelError: if the channel broke.
        """
        self.used += 1
        self.received_bytes = self.skipped_bytes = 0
        self.sent_all = False
        self.request = h11.Request(method=method, target=target, headers=headers)
        pieces = [self.connection.send(self.request)]
        if body:
            # The body itself, without a copy.
            pieces += self.connection.send_with_data_passthrough(h11.Data(data=body))
        pieces.append(self.connection.send(h11.EndOfMessage()))
        if len(body) <= MAX_JOINED_BYTES:
            pieces = [b"".join(pieces)]
        try:
            for piece in pieces:
                await self._send_all(piece)
        except OSError as error:
            raise ChannelError(f"send failed: {error}") from error
        self.sent_all = True

    async def _send_all(self, data):
        view = memoryview(data)
        while view:
            sent = await self._send(view)
            view = view[sent:]

    async def _send(self, data):
        """Send bytes; return how many.

        The system reports an error of a socket once. Until it is recorded here, no
        other task must run: one that reads would find an ordinary end of the channel.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        while True:
            try:
                sent = self.sock._sock.send(data)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self.sock)
            except OSError as error:
                self.send_error = error
                raise
            else:
                await trio.lowlevel.cancel_shielded_checkpoint()
                return sent

    @property
    def is_broken(self):
        """Whether a send has found that the channel broke before the server closed it.

        After an end of the server, the system reports a broken pipe, and all that was
        sent before the end is received.
        """
        error = self.send_error
        return error is not None and not isinstance(error, BrokenPipeError)

    async def next_event(self):
        """Return the next h11 event of the response.

        :raises ChannelClosedError: if the server closed or reset the channel.
        :raises ChannelError: if the channel broke or sent no HTTP.
        """
        try:
            while True:
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    data = await self.sock.recv(READ_BYTES)
                    self.heard_at = trio.current_time()
                    self.received_bytes += len(data)
                    self.ended = not data
                    if self.ended and self.is_broken:
                        raise ChannelClosedError(
                            f"the channel broke: {self.send_error}"
                        ) from self.send_error
                    self.connection.receive_data(data)
                    continue
                return event
        except ConnectionResetError as error:
            raise ChannelClosedError(f"receive failed: {error}") from error
        except OSError as error:
            raise ChannelError(f"receive failed: {error}") from error
        except h11.RemoteProtocolError as error:
            failure = ChannelClosedError if self.ended else ChannelError
            raise failure(f"not a response: {error}") from error

    async def read_head(self):
        """Return the :class:`ResponseHead` of the final response.

        :raises ChannelError: if there is none, or more than ``MAX_HEAD_BYTES`` arrive
            before it.
        """
        begun_at = self.received_bytes
        while True:
            event = await self.next_event()
            if isinstance(event, h11.InformationalResponse):
                if self.received_bytes - begun_at > MAX_HEAD_BYTES:
                    raise ChannelError(
                        f"interim responses of over {MAX_HEAD_BYTES} bytes"
                    )
                continue
            if not isinstance(event, h11.Response):
                raise ChannelClosedError("the channel ended before a response")
            headers = event.headers.raw_items()
            return ResponseHead(
                status=event.status_code,
                reason=event.reason,
                headers=headers,
                fields=dict(event.headers),
            )

    async def read_piece(self):
        """Return the next bytes of the body; empty at its complete end.

        :raises ChannelError: if the body breaks off.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return b""
            else:
                raise ChannelClosedError("the body broke off")

    async def read_body(self, limit, hold=None):
        """Return the whole body, ``bytes`` or, if it is large, a ``memoryview``.

        :param limit: most bytes.
        :param hold: a :class:`wasabistage.http1.ByteHold` that the bytes are added to,
            or ``None``.
        :raises ChannelError: if it breaks off or is larger, or the budget is used up.
        """
        body = BodyBuffer(0, limit)
        try:
            while piece := await self.read_piece():
                if hold is not None:
                    hold.add(len(piece))
                if body.size + len(piece) > limit:
                    raise ChannelError(f"the body is larger than {limit} bytes")
                body.add(piece)
            return body.take()
        finally:
            body.clear()

    async def skip_response(self):
        """Pass over a whole response that answers an earlier request.

        The request that was sent last is still unanswered afterwards.

        :raises ChannelError: if the response breaks off, or the responses skipped since
            the last request have more than ``MAX_SKIPPED_BYTES``.
        """
        while piece := await self.read_piece():
            self.skipped_bytes += len(piece)
            if self.skipped_bytes > MAX_SKIPPED_BYTES:
                raise ChannelError(
                    f"responses to earlier requests of over {MAX_SKIPPED_BYTES} bytes"
                )
        trailing, _ = self.connection.trailing_data
        fresh = h11.Connection(h11.CLIENT)
        # The framing of a response depends on the method alone.
        headers = [(b"host", b"replayed"), (b"content-length", b"0")]
        fresh.send(
            h11.Request(method=self.request.method, target=b"/", headers=headers)
        )
        fresh.send(h11.EndOfMessage())
        if trailing:
            fresh.receive_data(trailing)
        self.connection = fresh

    def start_next(self):
        """Get ready for another request.

        :return: whether the channel may be used again.
        """
        if self.closed or not self.sent_all:
            return False
        trailing, ended = self.connection.trailing_data
        if trailing or ended:
            return False
        return begin_cycle(self.connection)
