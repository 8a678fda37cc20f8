"""Calls of plain services over kept channels."""

from collections import OrderedDict

import h11
import trio

from wasabistage.http1 import ChannelError, ChannelPool, Reply

CONNECT_TIMEOUT_SECONDS = 1.0
#: Services with kept channels; the one called longest ago loses them beyond it.
MAX_SERVICES = 2048
MAX_ANSWER_BYTES = 16 << 20
#: Methods whose requests state the length of an empty body, too.
BODY_METHODS = ("POST", "PUT", "PATCH")
REQUEST_ID_HEADER = "X-Request-Id"


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
        :return: a :class:`wasabistage.http1.Reply`; repeated headers are joined.
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
            fields = _build_fields(address, method, headers, body)
            await channel.send_request(method.encode(), target, fields, body)
            head = await channel.read_head()
            _check_request_id(head, headers[REQUEST_ID_HEADER])
            data = await channel.read_body(MAX_ANSWER_BYTES)
            pool.give_back(channel, head.fields, self.timers.now())
            kept = True
        finally:
            if not kept:
                channel.close()
        return Reply(status=head.status, fields=_join_fields(head.headers), body=data)

    def _get_pool(self, address):
        """Return the pool of an address as the one used last."""
        if address not in self.pools:
            self._add_pool(address)
        self.pools.move_to_end(address)
        pool = self.pools[address]
        pool.close_expired(self.timers.now())
        return pool

    def _add_pool(self, address):
        host, _, port = address.rpartition(":")
        self.pools[address] = ChannelPool((host, int(port)), CONNECT_TIMEOUT_SECONDS)
        if len(self.pools) > MAX_SERVICES:
            _, oldest = self.pools.popitem(last=False)
            oldest.close()

    def close(self):
        """Close every idle channel."""
        for pool in self.pools.values():
            pool.close()


def _build_fields(address, method, headers, body):
    """Return the header of a request as list of (name, value) pairs of bytes."""
    fields = {"Host": address, "Accept-Encoding": "identity", **headers}
    if body or method in BODY_METHODS:
        fields["Content-Length"] = str(len(body))
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in fields.items()
    ]


def _check_request_id(head, request_id):
    answered_id = head.fields.get(REQUEST_ID_HEADER.lower().encode())
    if answered_id not in (None, request_id.encode()):
        # The id of another caller's request must not reach this one.
        raise ChannelError("the answer is one to another request")


def _join_fields(headers):
    """Return a dict of lower-case name to value; repeated headers are joined."""
    fields = {}
    for name, value in headers:
        name = name.lower()
        fields[name] = b"%b, %b" % (fields[name], value) if name in fields else value
    return fields
