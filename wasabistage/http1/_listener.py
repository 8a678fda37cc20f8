"""Channels that callers open: requests read one by one, responses written."""

import re
import socket
from contextlib import suppress
from dataclasses import dataclass

import h11
import trio

from wasabistage.clients import Stage
from wasabistage.http1._body import BodyBuffer
from wasabistage.http1._channel import READ_BYTES, begin_cycle, set_liveness_options
from wasabistage.http1._intake import MAX_LINGERING, create_unbounded_intake

MAX_PENDING = 16384  # bytes that a caller may send ahead of its turn
BACKLOG = 1024  # channels that wait to be accepted, the system's usual bound
ACCEPT_PAUSE = 0.05  # seconds without accepting when descriptors run out
#: Lines of a head. Each costs time to parse, whatever its length.
MAX_HEAD_LINES = 1024
COSTLY_HEAD_LINES = 128  # from which on a head is parsed in turn
#: Lines of trailers, which are not passed on.
MAX_TRAILER_LINES = 128
#: Bytes of a chunked body that are parsed at a time if they have many lines.
DENSE_SLICE_BYTES = 4096
DENSE_LINES = 64  # in one read
#: A piece below this size counts as small: its cost hardly depends on its size.
SMALL_PIECE_BYTES = 1024
SMALL_PIECES = 64  # after which other tasks run, and other channels with small pieces
SHORT_READ_BYTES = 512
MAX_SHORT_READS = 8  # of one request; further ones are read in turn
MAX_PIPELINED = 4  # requests that were sent ahead; further ones are read in turn
BULK_BYTES = 131072  # of a body; what goes beyond is read in turn
#: Bytes of framing for each byte of a body, besides the size of a head. Chunks of one
#: byte have 5.
MAX_FRAMING_RATIO = 16
#: Bytes a second that a body has on average after the time for a head.
MIN_BODY_RATE = 8192.0
LARGE_WRITE_BYTES = 65536  # from which on a write may have to wait for the caller
REFUSAL_SECONDS = 1.0  # for writing a refusal
LINGER_SECONDS = 0.5  # in which a caller that still sends may read its refusal
LINGER_INTERVAL_SECONDS = 0.05
DROPPED_RETRY_SECONDS = 1.0  # requests that stop are dropped by then
UNAVAILABLE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.2f\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n" % DROPPED_RETRY_SECONDS
)
HEAD_END = re.compile(rb"\n\r?\n")
#: Causes of refusals by status; the others are ``malformed``.
PROTOCOL_CAUSES = {413: "large", 431: "headers"}


@dataclass(frozen=True, kw_only=True)
class Request:
    """One request, whole.

    :param method: bytes.
    :param target: request target as it came, bytes.
    :param headers: list of (name, value) pairs of bytes as they came.
    :param body: ``bytes``, or a ``memoryview`` if it is large.
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


class RefusedError(Exception):
    """A request is refused before it is complete. It has not run.

    :param status: status of the response.
    :param cause: short constant text, for counters.
    :param reason: one sentence.
    :param retry_after: seconds after which to retry, or ``None``.
    """

    def __init__(self, status, cause, reason, retry_after=None):
        super().__init__(reason)
        self.status = status
        self.cause = cause
        self.retry_after = retry_after


class CallerChannel:
    """A channel opened by a caller.

    :param sock: trio socket.
    :param timer: a :class:`wasabistage.timing.TimerService`.
    :param limits: object with ``header_bytes``, ``body_bytes``,
        ``header_timeout_seconds`` and ``idle_timeout_seconds``; see also
        :meth:`set_limits`.
    :param intake: the :class:`wasabistage.http1.Intake` that it shares; ``None`` for
        one of its own without bounds.
    :param group: name of the listener.
    :raises ChannelsFullError: if too many channels are open.
    """

    def __init__(self, sock, timer, limits, intake=None, group=""):
        self.sock = sock
        self.timer = timer
        self.limits = limits
        self.intake = intake or create_unbounded_intake(timer, group)
        self.connection = create_parser(limits)
        #: Limit of the parser for the size of a head, in bytes.
        self.header_bytes = limits.header_bytes
        self.idle_since = trio.current_time()
        self.pending = b""
        self.started = False
        self.idle = True
        self.closing = False
        #: Scope of the request that is being read, or ``None``.
        self.scope = None
        self.is_dropped = False
        #: Bytes of the request and of its response.
        self.request_bytes = 0
        self.response_bytes = 0
        self.pipelined = 0
        self.holder = self.intake.open(get_client(sock), group, self._drop)

    def _drop(self):
        """End what the channel does; called when its memory is needed."""
        self.is_dropped = True
        if self.scope is not None:
            self.scope.cancel()
            return
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def set_limits(self, limits):
        """Set the limits of the next request, and of the time without one.

        A request that has begun keeps the limits with which it began.

        :param limits: see :class:`CallerChannel`.
        """
        self.limits = limits
        if self.idle and self.scope is not None:
            self.scope.deadline = self.idle_since + limits.idle_timeout_seconds

    async def read_request(self):
        """Return the next whole :class:`Request`, or ``None`` at a clean end.

        :raises RefusedError: if the request can't be received.
        :raises CallerGoneError: if the channel breaks off within a request.
        :raises trio.TooSlowError: if no request begins in time.
        """
        self.started = False
        ahead = self.connection.trailing_data[0] + self.pending
        self.idle = not ahead
        reader = RequestReader(self, ahead)
        try:
            with trio.CancelScope() as self.scope:
                return await reader.read(self.scope)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or 400
            cause = PROTOCOL_CAUSES.get(status, "malformed")
            raise RefusedError(status, cause, str(error)) from error
        finally:
            self.scope = None
            reader.clear()
        # The scope was cancelled.
        if self.idle and self.is_dropped:
            return None
        if self.idle:
            raise trio.TooSlowError
        if self.is_dropped:
            raise build_memory_refusal()
        raise RefusedError(408, "slow", "the request came too slowly")

    async def receive(self):
        """Return bytes that the caller sent; empty at the end."""
        try:
            return await self.sock.recv(READ_BYTES)
        except (OSError, trio.ClosedResourceError) as error:
            # The second: this process closed the idle channel, since it stops.
            raise CallerGoneError from error

    async def wait_gone(self):
        """Return once the caller has closed; keep what it sends ahead."""
        while len(self.pending) < MAX_PENDING:
            try:
                data = await self.sock.recv(MAX_PENDING)
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
        head = self.encode_head(status, framed, reason)
        # The body itself, without a copy.
        data = self.connection.send_with_data_passthrough(h11.Data(data=body))
        self.connection.send(h11.EndOfMessage())
        if len(body) <= LARGE_WRITE_BYTES:
            await self.write(b"".join([head, *data]))
            return
        for piece in [head, *data]:
            await self.write(piece)

    async def write(self, data):
        """Write bytes that :meth:`encode_head` returned.

        :raises CallerGoneError: if the channel broke.
        """
        view = memoryview(data)
        try:
            while view:
                if len(view) > LARGE_WRITE_BYTES:
                    self._hold(Stage.WRITING)
                view = view[await self.sock.send(view) :]
        except (OSError, trio.ClosedResourceError) as error:
            raise CallerGoneError from error
        if self.holder.stage is Stage.WRITING:
            self._hold(Stage.RUNNING)

    def _hold(self, stage):
        return self.holder.change(self.request_bytes + self.response_bytes, stage)

    def hold_response(self, size):
        """Hold more bytes of the response, or fewer if ``size`` is negative.

        :return: whether there is room.
        """
        self.response_bytes += size
        if self._hold(self.holder.stage):
            return True
        self.response_bytes -= size
        return size < 0

    def hold_request(self, size, stage):
        """Hold bytes of the request.

        :param size: all that are held.
        :param stage: a :class:`wasabistage.clients.Stage`.
        :raises RefusedError: if there is no room.
        """
        self.request_bytes = size
        if not self._hold(stage):
            raise build_memory_refusal()

    async def refuse(self, refusal, headers=()):
        """Write the response to a refused request, and end the channel.

        What the caller still sends is not read. The channel stays open for a short
        time, so that the caller can read the response before its channel is reset.

        :param refusal: a :class:`RefusedError`.
        :param headers: list of (name, value) pairs of bytes.
        """
        self.closing = True
        self.request_bytes = 0
        self._hold(Stage.NEW)
        if not self.is_dropped:
            self.intake.on_refused(refusal.cause)
        if not self.may_respond:
            return
        with trio.move_on_after(REFUSAL_SECONDS):
            await self.respond(refusal.status, list(headers), b"")
            await self._linger()

    async def _linger(self):
        if self.intake.lingering >= MAX_LINGERING:
            return
        self.intake.lingering += 1
        try:
            self.sock.shutdown(socket.SHUT_WR)
            with trio.move_on_after(LINGER_SECONDS):
                while not self._is_ended():
                    await trio.sleep(LINGER_INTERVAL_SECONDS)
        except OSError:
            return  # the caller is gone
        finally:
            self.intake.lingering -= 1

    def _is_ended(self):
        """Return whether the caller has closed and left no bytes."""
        try:
            return not self.sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False

    def start_next(self):
        """Get ready for the next request.

        :return: whether the channel goes on.
        """
        if self.closing or self.connection.our_state is not h11.DONE:
            return False
        self.request_bytes = self.response_bytes = 0
        return self._hold(Stage.IDLE) and begin_cycle(self.connection)

    def close(self):
        """Close the channel."""
        self.sock.close()

    def release(self):
        """Release what the channel holds of the memory; nothing is read any more."""
        self.holder.close()


class RequestReader:
    """Reads one request of a channel.

    :param channel: the :class:`CallerChannel`.
    :param ahead: bytes of it that were received before.
    """

    def __init__(self, channel, ahead):
        self.channel = channel
        self.connection = channel.connection
        self.intake = channel.intake
        self.limits = channel.limits
        self.ahead = ahead
        self.body = None
        self.received = 0
        self.short_reads = 0
        self.small_pieces = 0
        self.head_lines = 0
        self.head_end = b""
        #: Bytes that have been received and not been given to the parser.
        self.unparsed = b""
        self.is_dense = False
        #: Time spent waiting for turns, in seconds.
        self.waited = 0.0

    def clear(self):
        """Release the body, unless it was returned."""
        if self.body is not None:
            self.body.clear()

    async def read(self, scope):
        """Return the :class:`Request`, or ``None`` at a clean end.

        :param scope: the :class:`trio.CancelScope`, whose deadline is set here.
        """
        channel = self.channel
        if channel.idle:
            channel.pipelined, channel.idle_since = 0, trio.current_time()
            channel.set_limits(channel.limits)
            self.ahead = channel.pending = await channel.receive()
            if not self.ahead:
                return None
            channel.idle = False
        self.limits = channel.limits
        begun_at = channel.timer.now()
        scope.deadline = trio.current_time() + self.limits.header_timeout_seconds
        head = await self._read_head()
        if not isinstance(head, h11.Request):
            return None
        body = await self._read_body(head, scope)
        channel.hold_request(len(body), Stage.RUNNING)
        return Request(
            method=head.method,
            target=head.target,
            headers=head.headers.raw_items(),
            body=body,
            begun_at=begun_at,
        )

    async def _take_turn(self, turns):
        begun_at = trio.current_time()
        if self.channel.holder.stage is not Stage.RECEIVING:
            # What has been read stays while others have their turns.
            self.channel.hold_request(READ_BYTES, Stage.RECEIVING)
        await turns.take()
        self.waited += trio.current_time() - begun_at

    async def _read_head(self):
        channel = self.channel
        if channel.pipelined > MAX_PIPELINED:
            await self._take_turn(self.intake.costly_turns)
        channel.pipelined += 1
        data, self.ahead = self.ahead, b""
        unfed, channel.pending = channel.pending, b""
        is_in_parser = len(unfed) < len(data)
        is_costly = is_in_parser and data.count(b"\n") > COSTLY_HEAD_LINES
        if is_costly or channel.header_bytes != self.limits.header_bytes:
            # Between two requests, a parser has no other state than these bytes.
            self.connection = channel.connection = create_parser(self.limits)
            channel.header_bytes = self.limits.header_bytes
            unfed = data
        while True:
            head_size = await self._check_head(data)
            if head_size is not None and unfed:
                self.unparsed, self.is_dense = memoryview(unfed)[head_size:], True
                unfed = unfed[:head_size]
            if unfed:
                self.connection.receive_data(unfed)
            event = self.connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = unfed = await self._receive(self.received)

    async def _check_head(self, data):
        """Bound the lines of a head before they are parsed.

        :param data: bytes that have been received.
        :return: number of these bytes that belong to the head, if its end and many
            lines are in them, or ``None``.
        """
        lines, head_size = data.count(b"\n"), None
        if self.head_lines + lines > COSTLY_HEAD_LINES:
            # The lines of what follows the head do not count.
            joined = self.head_end + data
            match = HEAD_END.search(joined)
            if match is not None:
                head_size = match.end() - len(self.head_end)
                lines = data.count(b"\n", 0, head_size)
        self.head_lines += lines
        self.head_end = data[-3:]
        if self.head_lines > MAX_HEAD_LINES:
            message = f"the head has over {MAX_HEAD_LINES} lines"
            raise RefusedError(431, "headers", message)
        if self.head_lines > COSTLY_HEAD_LINES:
            await self._take_turn(self.intake.costly_turns)
        return head_size

    async def _read_body(self, head, scope):
        limits, connection = self.limits, self.connection
        length = get_announced_length(head.headers)
        if length is not None and length > limits.body_bytes:
            raise self._build_large_refusal()
        if connection.they_are_waiting_for_100_continue:
            await self._continue(length)
        self.body = BodyBuffer(length or 0, limits.body_bytes)
        self.is_dense = self.is_dense and length is None
        begun_at, wire_before = trio.current_time(), self.received
        latest = begun_at + limits.header_timeout_seconds + limits.idle_timeout_seconds
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if length is None:
                    self._check_trailers()
                if not self.unparsed:
                    earned = self.waited + self.body.size / MIN_BODY_RATE
                    due = begun_at + limits.header_timeout_seconds + earned
                    scope.deadline = min(latest, due)
                    await self._receive_body(length is None)
                    self._check_framing(self.received - wire_before)
                self._parse_next()
            elif isinstance(event, h11.EndOfMessage):
                if self.unparsed:  # no bytes would mean the end of the channel
                    connection.receive_data(self.unparsed)
                return self.body.take()
            else:
                await self._add(event.data)

    async def _receive_body(self, is_chunked):
        """Receive more bytes of the body into ``unparsed``.

        :param is_chunked: whether the body is chunked.
        """
        size = self.body.size
        data = await self._receive(size + READ_BYTES if size > BULK_BYTES else size)
        self.unparsed = memoryview(data)
        self.is_dense = is_chunked and data.count(b"\n") > DENSE_LINES

    def _parse_next(self):
        """Give the parser the next bytes: few of a chunked body with many lines."""
        size = DENSE_SLICE_BYTES if self.is_dense else READ_BYTES
        self.connection.receive_data(self.unparsed[:size])
        self.unparsed = self.unparsed[size:] if len(self.unparsed) > size else b""

    async def _continue(self, length):
        """Ask the caller for the body if there is room for it."""
        channel = self.channel
        if not self.intake.has_room(channel.holder, length or BULK_BYTES):
            raise build_memory_refusal()
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await channel.write(self.connection.send(go_on))

    async def _add(self, data):
        size = self.body.size + len(data)
        if size > self.limits.body_bytes:
            raise self._build_large_refusal()
        if len(data) < SMALL_PIECE_BYTES:
            self.small_pieces += 1
            if self.small_pieces % SMALL_PIECES == 0:
                await self._take_turn(self.intake.costly_turns)
        self.body.add(data)

    def _check_trailers(self):
        """Bound the lines of trailers before they are parsed.

        :raises RefusedError: if the parser waits for the end of many lines: only
            trailers have several before their end.
        """
        if self.connection.trailing_data[0].count(b"\n") > MAX_TRAILER_LINES:
            message = f"the request has over {MAX_TRAILER_LINES} trailers"
            raise RefusedError(431, "headers", message)

    def _check_framing(self, wire_bytes):
        """Check that a body consists of more than framing.

        :param wire_bytes: bytes received since its head.
        :raises RefusedError: if it does not.
        """
        framing = wire_bytes - self.body.size
        allowed = self.limits.header_bytes + MAX_FRAMING_RATIO * self.body.size
        if framing > allowed + READ_BYTES:
            message = f"the body has {framing} bytes of framing"
            raise RefusedError(400, "framing", message)

    async def _receive(self, held):
        """Receive more bytes of a request that is not complete.

        :param held: bytes of it that are held.
        """
        channel = self.channel
        channel.hold_request(held, Stage.RECEIVING)
        if self.short_reads > MAX_SHORT_READS:
            await self._take_turn(self.intake.costly_turns)
        elif held > BULK_BYTES:
            await self._take_turn(self.intake.bulk_turns)
        data = await channel.receive()
        if not data:
            raise CallerGoneError
        self.short_reads += len(data) < SHORT_READ_BYTES
        self.received += len(data)
        return data

    def _build_large_refusal(self):
        message = f"the body has over {self.limits.body_bytes} bytes"
        return RefusedError(413, "large", message)


def create_parser(limits):
    """Return the :class:`h11.Connection` of a channel.

    :param limits: see :class:`CallerChannel`.
    """
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)


def build_memory_refusal():
    """Return the refusal of a request for which there is no memory."""
    message = "the memory for requests is used up"
    return RefusedError(503, "memory", message, DROPPED_RETRY_SECONDS)


def get_announced_length(headers):
    """Return the length that a head announces, or ``None`` for a chunked body.

    :param headers: :class:`h11.Headers`, checked by the parser.
    """
    length = 0
    for name, value in headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            length = int(value)
    return length


def get_client(sock):
    """Return the address of the client of a socket, or ``""``."""
    try:
        return sock.getpeername()[0]
    except OSError:
        return ""


async def send_unavailable(sock):
    """Answer on a channel that can't be served: 503, then it is closed.

    :param sock: the accepted trio socket.
    """
    with trio.move_on_after(REFUSAL_SECONDS), suppress(OSError):
        await sock.send(UNAVAILABLE)


async def serve_answers(channel, answer):
    """Answer the requests of a channel, one after the other, to its end.

    :param channel: a :class:`CallerChannel`.
    :param answer: function that takes a :class:`Request` and returns an
        :class:`Answer`.
    :return: whether the caller ended it between two requests.
    """
    limits, refusal = channel.limits, None
    write_seconds = limits.header_timeout_seconds + limits.idle_timeout_seconds
    try:
        while (request := await channel.read_request()) is not None:
            given = answer(request)
            if not channel.hold_response(len(given.body)):
                raise build_memory_refusal()
            with trio.fail_after(write_seconds):
                await channel.respond(given.status, list(given.headers), given.body)
            if not channel.start_next():
                break
    except RefusedError as error:
        refusal = error.with_traceback(None)
    except (CallerGoneError, trio.TooSlowError):
        return False
    if refusal is None:
        return True
    with suppress(CallerGoneError):
        await channel.refuse(refusal)
    return False


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
