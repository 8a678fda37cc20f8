"""Channels that callers open: requests read one by one, responses written."""

from dataclasses import dataclass

import h11
import trio

from wasabistage.http1._channel import READ_BYTES, begin_cycle, set_liveness_options

MAX_PENDING = 65536  # bytes that a caller may send ahead of its turn
BACKLOG = 1024  # channels that wait to be accepted, the system's usual bound
ACCEPT_PAUSE = 0.05  # seconds without accepting when descriptors run out


@dataclass(frozen=True, kw_only=True)
class Request:
    """One request, whole.

    :param method: bytes.
    :param target: request target as it came, bytes.
    :param headers: list of (name, value) pairs of bytes as they came.
    :param body: bytes.
    :param begun_at: when its first byte was read, seconds of the timer service.
    """

    method: bytes
    target: bytes
    headers: list
    body: bytes
    begun_at: float


@dataclass(frozen=True, kw_only=True)
class Answer:
    """A whole response.

    :param status: HTTP status.
    :param headers: (name, value) pairs of bytes without framing.
    :param body: bytes.
    """

    status: int
    headers: tuple = ()
    body: bytes = b""


class CallerGoneError(Exception):
    """The caller closed or broke the channel."""


class CallerChannel:
    """A channel opened by a caller.

    :param sock: trio socket.
    :param timer: a :class:`wasabistage.timing.TimerService`.
    :param limits: object with ``header_bytes``, ``body_bytes``,
        ``header_timeout_seconds`` and ``idle_timeout_seconds``.
    """

    def __init__(self, sock, timer, limits):
        self.sock = sock
        self.timer = timer
        self.limits = limits
        self.connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.pending = b""
        self.started = False
        self.idle = True
        self.closing = False

    async def read_request(self):
        """Return the next whole :class:`Request`, or ``None`` at a clean end.

        :raises h11.RemoteProtocolError: if the bytes are no request.
        :raises CallerGoneError: if the channel breaks off within a request.
        :raises trio.TooSlowError: if the caller takes too long.
        """
        self.started = False
        self.idle = not self.pending and not self.connection.trailing_data[0]
        head = None
        with trio.fail_after(self.limits.idle_timeout_seconds):
            if self.idle:
                self.pending = await self._receive()
                if not self.pending:
                    return None
        self.idle = False
        begun_at = self.timer.now()
        with trio.fail_after(self.limits.header_timeout_seconds):
            event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        head = event
        if self.connection.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self.write(self.connection.send(go_on))
        body = bytearray()
        with trio.fail_after(
            self.limits.header_timeout_seconds + self.limits.idle_timeout_seconds
        ):
            while True:
                event = await self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    break
                body += event.data
                if len(body) > self.limits.body_bytes:
                    raise h11.RemoteProtocolError("body too large", 413)
        return Request(
            method=head.method,
            target=head.target,
            headers=head.headers.raw_items(),
            body=bytes(body),
            begun_at=begun_at,
        )

    async def _next_event(self):
        while True:
            if self.pending:
                self.connection.receive_data(self.pending)
                self.pending = b""
            event = self.connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._receive()
            if not data:
                raise CallerGoneError
            self.connection.receive_data(data)

    async def _receive(self):
        try:
            return await self.sock.recv(READ_BYTES)
        except (OSError, trio.ClosedResourceError) as error:
            # The second: this process closed the idle channel, since it stops.
            raise CallerGoneError from error

    async def wait_gone(self):
        """Return once the caller has closed; keep what it sends ahead."""
        while len(self.pending) < MAX_PENDING:
            try:
                data = await self.sock.recv(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self.pending += data
        await trio.sleep_forever()

    @property
    def may_respond(self):
        """Whether a response may be written now."""
        can_write = self.connection.our_state in (h11.IDLE, h11.SEND_RESPONSE)
        return can_write and not self.started

    async def start_response(self, status, headers, reason=b""):
        """Write status line and headers.

        :param status: HTTP status.
        :param headers: list of (name, value) pairs of bytes, framing included.
        :param reason: reason phrase, bytes.
        """
        await self.write(self.encode_head(status, headers, reason))

    def encode_head(self, status, headers, reason=b""):
        """Return the bytes of status line and headers; see :meth:`start_response`."""
        self.started = True
        if self.closing:
            headers = [*headers, (b"Connection", b"close")]
        return self.connection.send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    async def send_piece(self, data):
        """Write a piece of the body."""
        await self.write(self.connection.send(h11.Data(data=data)))

    async def finish(self):
        """Write the end of the response."""
        await self.write(self.connection.send(h11.EndOfMessage()))

    async def respond(self, status, headers, body, reason=b""):
        """Write a whole response.

        :param status: HTTP status.
        :param headers: list of (name, value) pairs of bytes without framing.
        :param body: bytes.
        :param reason: reason phrase, bytes.
        """
        framed = [*headers, (b"Content-Length", b"%d" % len(body))]
        data = self.encode_head(status, framed, reason)
        data += self.connection.send(h11.Data(data=body))
        data += self.connection.send(h11.EndOfMessage())
        await self.write(data)

    async def write(self, data):
        """Write bytes that :meth:`encode_head` returned.

        :raises CallerGoneError: if the channel broke.
        """
        view = memoryview(data)
        try:
            while view:
                view = view[await self.sock.send(view) :]
        except OSError as error:
            raise CallerGoneError from error

    def start_next(self):
        """Get ready for the next request.

        :return: whether the channel goes on.
        """
        if self.closing or self.connection.our_state is not h11.DONE:
            return False
        return begin_cycle(self.connection)

    def close(self):
        """Close the channel."""
        self.sock.close()


async def serve_answers(channel, answer):
    """Answer the requests of a channel, one after the other, to its end.

    :param channel: a :class:`CallerChannel`.
    :param answer: function that takes a :class:`Request` and returns an
        :class:`Answer`.
    :return: whether the caller ended it between two requests.
    """
    try:
        while (request := await channel.read_request()) is not None:
            given = answer(request)
            await channel.respond(given.status, list(given.headers), given.body)
            if not channel.start_next():
                break
    except (CallerGoneError, trio.TooSlowError, h11.RemoteProtocolError):
        return False
    return True


async def listen(address):
    """Return a listening trio socket.

    :param address: ``IP:PORT``.
    """
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await sock.bind((host, int(port)))
    sock.listen(BACKLOG)
    return sock


async def serve_channels(sock, serve, on_error, accepting=None):
    """Accept channels and serve each in a task of its own, until cancelled.

    :param sock: a listening trio socket; closed once no more channels are accepted.
    :param serve: asynchronous function that takes the accepted socket.
    :param on_error: function that takes an exception of one channel's task.
    :param accepting: a :class:`trio.CancelScope` that ends the accepting alone; the
        channels that were accepted are served to their end.
    """

    async def guard(accepted):
        try:
            set_liveness_options(accepted)
            await serve(accepted)
        except Exception as error:  # one channel must not end the others
            on_error(error)
        finally:
            accepted.close()

    async with trio.open_nursery() as nursery:
        with sock, accepting or trio.CancelScope():
            while True:
                try:
                    accepted, _ = await sock.accept()
                except OSError as error:
                    on_error(error)
                    await trio.sleep(ACCEPT_PAUSE)
                    continue
                nursery.start_soon(guard, accepted)
