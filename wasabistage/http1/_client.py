"""A small client for calls whose whole response fits in memory."""

from dataclasses import dataclass

import trio

from wasabistage.http1._channel import ChannelError
from wasabistage.http1._pool import ChannelPool

CONNECT_TIMEOUT = 0.5  # seconds; links within a region take milliseconds
MAX_REPLY_BYTES = 1 << 20  # bytes; reports and cache events have some kilobytes


@dataclass(frozen=True, kw_only=True)
class Reply:
    """A whole response.

    :param status: HTTP status.
    :param fields: dict of lower-case header name to value, bytes.
    :param body: bytes.
    """

    status: int
    fields: dict
    body: bytes


class HttpClient:
    """Calls to one address over kept channels.

    :param address: ``IP:PORT``.
    :param timer: a :class:`wasabistage.timing.TimerService`.
    :param max_reply_bytes: largest body of a response; a larger one is an error.
    """

    def __init__(self, address, timer, max_reply_bytes=MAX_REPLY_BYTES):
        self.address = address
        self.timer = timer
        self.max_reply_bytes = max_reply_bytes
        host, _, port = address.rpartition(":")
        self.pool = ChannelPool((host, int(port)), CONNECT_TIMEOUT)
        self.host = address.encode()

    async def call(self, method, target, body=b"", headers=(), timeout=1.0):
        """Make one call.

        :param method: bytes.
        :param target: bytes.
        :param body: bytes.
        :param headers: further (name, value) pairs of bytes.
        :param timeout: longest time for all of it, in seconds.
        :return: a :class:`Reply`.
        :raises ChannelError: if it failed; the call may have been carried out,
            unless the error is a :class:`NotSentError`.
        """
        try:
            with trio.fail_after(timeout):
                return await self._call(method, target, body, headers)
        except trio.TooSlowError as error:
            raise ChannelError(f"no answer within {timeout:.1f} s") from error

    async def _call(self, method, target, body, headers):
        channel = await self.pool.take(self.timer.now())
        kept = False
        try:
            framing = [(b"Host", self.host)]
            if body or method == b"POST":
                framing.append((b"Content-Length", b"%d" % len(body)))
            await channel.send_request(method, target, [*framing, *headers], body)
            head = await channel.read_head()
            data = bytes(await channel.read_body(self.max_reply_bytes))
            self.pool.give_back(channel, head.fields, self.timer.now())
            kept = True
            return Reply(status=head.status, fields=head.fields, body=data)
        finally:
            if not kept:
                channel.close()

    def close(self):
        """Close every idle channel."""
        self.pool.close()
