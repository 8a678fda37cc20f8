"""Calls of plain services over kept channels."""

from collections import OrderedDict
from dataclasses import dataclass

import h11
import trio

from wasabistage.http1 import ChannelError, ChannelPool

CONNECT_TIMEOUT_SECONDS = 1.0
#: Services with kept channels; the one called longest ago loses them beyond it.
MAX_SERVICES = 2048
MAX_ANSWER_BYTES = 16 << 20
#: Methods whose requests state the length of an empty body, too.
BODY_METHODS = ("POST", "PUT", "PATCH")
REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """Whole answer of a plain service.

    :param status: HTTP status.
    :param headers: dict of lower-case name to value; repeated ones are joined.
    :param body: body, bytes.
    """

    status: int
    headers: dict
    body: bytes


class ServiceClients:
    """Clients of plain services, with a pool of channels for each address.

    :param timers: the timer service.
    """

    def __init__(self, timers):
        self.timers = timers
        self.pools = OrderedDict()

    async def call(self, address, method, target, headers, body, timeout):
        """Call a plain service once.

        An answer that names another request is no answer to this one.

        :param address: ``IP:PORT``.
        :param method: HTTP method.
        :param target: request target, bytes.
        :param headers: dict of name to value, with the request's id.
        :param body: body, bytes.
        :param timeout: longest time of the whole call, in seconds.
        :return: a :class:`ServiceAnswer`.
        :raises NotSentError: if no byte of the request was sent.
        :raises ChannelError: if no whole answer came; the call may have run.
        """
        try:
            with trio.fail_after(timeout):
                return await self._call(address, method, target, headers, body)
        except trio.TooSlowError as error:
            raise ChannelError(f"no answer within {timeout:.1f} s") from error
        except h11.LocalProtocolError as error:
            raise ChannelError(f"not a valid request: {error}") from error

    async def _call(self, address, method, target, headers, body):
        pool = self._get_pool(address)
        channel = await pool.take(self.timers.now())
        kept = False
        try:
            fields = {"Host": address, "Accept-Encoding": "identity", **headers}
            if body or method in BODY_METHODS:
                fields["Content-Length"] = str(len(body))
            lines = [
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in fields.items()
            ]
            await channel.send_request(method.encode(), target, lines, body)
            head = await channel.read_head()
            answered_id = head.fields.get(REQUEST_ID_HEADER.lower().encode())
            if answered_id not in (None, headers[REQUEST_ID_HEADER].encode()):
                # The id of another caller's request must not reach this one.
                raise ChannelError("the answer is one to another request")
            data = await channel.read_body(MAX_ANSWER_BYTES)
            pool.give_back(channel, head.fields, self.timers.now())
            kept = True
        finally:
            if not kept:
                channel.close()
        return ServiceAnswer(
            status=head.status, headers=_join_headers(head.headers), body=data
        )

    def _get_pool(self, address):
        pool = self.pools.pop(address, None)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = ChannelPool((host, int(port)), CONNECT_TIMEOUT_SECONDS)
        pool.close_expired(self.timers.now())
        self.pools[address] = pool
        if len(self.pools) > MAX_SERVICES:
            _, oldest = self.pools.popitem(last=False)
            oldest.close()
        return pool

    def close(self):
        """Close every idle channel."""
        for pool in self.pools.values():
            pool.close()


def _join_headers(headers):
    joined = {}
    for name, value in headers:
        name, value = name.decode("latin-1").lower(), value.decode("latin-1")
        joined[name] = f"{joined[name]}, {value}" if name in joined else value
    return joined
