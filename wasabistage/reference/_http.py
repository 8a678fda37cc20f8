"""HTTP calls to the platform and to backend servers, with typed errors."""

import ssl

import httpx

from wasabistage.base import Ran
from wasabistage.exceptions import OutcomeUnknownError, UnavailableError

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 15.0
MAX_CONNECTIONS = 512
KEEPALIVE_CONNECTIONS = 64
#: Addresses with a pool of their own; beyond it the oldest pool is closed.
MAX_POOLS = 2048

#: Errors raised before a byte of the request left this process.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class SendWatch:
    """Notes whether the connection of a request broke while it was sent.

    The pool goes on to read a response then. The system has reported the error, so that
    the read finds an ordinary end of the connection.

    :param listener: asynchronous function that is told of all events as well, or
        ``None``.
    """

    def __init__(self, listener=None):
        self.listener = listener
        self.is_broken = False

    async def trace(self, name, info):
        """Take in an event of the pool, see the extension ``trace`` of ``httpcore``.

        :param name: name of the event.
        :param info: dict with the error of an event that failed.
        """
        if self.listener is not None:
            await self.listener(name, info)
        if name.startswith("http11.send_request") and name.endswith(".failed"):
            error = info["exception"]
            while error is not None and not isinstance(error, OSError):
                error = error.__cause__
            # After an end of the server, the system reports a broken pipe.
            self.is_broken = not isinstance(error, BrokenPipeError)


def is_framed(response):
    """Return whether the end of a response is not that of its connection.

    :param response: an :class:`httpx.Response`.
    """
    fields = response.headers
    return "content-length" in fields or "transfer-encoding" in fields


class PoolPerAddress(httpx.AsyncBaseTransport):
    """A connection pool for each address.

    A pool looks at all of its connections for each request that begins or ends, so
    one pool for hundreds of streams and of servers costs more than the requests.

    :param limits: bounds of each pool, :class:`httpx.Limits`.
    :param max_pools: pools kept; the one made first is closed beyond it.
    """

    def __init__(self, limits, max_pools=MAX_POOLS):
        self.limits = limits
        self.max_pools = max_pools
        self.pools = {}
        # Loading the certificates once per pool would cost a megabyte each.
        self.verify = ssl.create_default_context()

    async def handle_async_request(self, request):
        """Send a request through the pool of its address.

        :param request: an :class:`httpx.Request`.
        :return: an :class:`httpx.Response`.
        :raises httpx.WriteError: if the connection broke while the request was sent,
            and with it the only mark of the end of the response.
        """
        pool = await self._pool(request.url.netloc)
        watch = SendWatch(request.extensions.get("trace"))
        request.extensions = {**request.extensions, "trace": watch.trace}
        response = await pool.handle_async_request(request)
        if watch.is_broken and not is_framed(response):
            await response.aclose()
            raise httpx.WriteError("the connection broke while the request was sent")
        return response

    async def _pool(self, address):
        pool = self.pools.get(address)
        if pool is None:
            pool = httpx.AsyncHTTPTransport(verify=self.verify, limits=self.limits)
            self.pools[address] = pool
            if len(self.pools) > self.max_pools:
                await self.pools.pop(next(iter(self.pools))).aclose()
        return pool

    async def aclose(self):
        """Close every pool."""
        pools, self.pools = self.pools, {}
        for pool in pools.values():
            await pool.aclose()


def make_http_client(read_timeout=READ_TIMEOUT_SECONDS):
    """Build the HTTP client of one process.

    :param read_timeout: longest silence of a server, in seconds.
    :return: an :class:`httpx.AsyncClient` for trio.
    """
    timeout = httpx.Timeout(read_timeout, connect=CONNECT_TIMEOUT_SECONDS)
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=KEEPALIVE_CONNECTIONS,
    )
    transport = PoolPerAddress(limits)
    return httpx.AsyncClient(timeout=timeout, transport=transport, trust_env=False)


async def call_json(client, method, url, **options):
    """Send a request and decode its JSON answer.

    :param client: an :class:`httpx.AsyncClient`.
    :param method: HTTP method.
    :param url: whole URL.
    :param options: further arguments of :meth:`httpx.AsyncClient.request`.
    :return: the decoded answer.
    :raises UnavailableError: if the request was not sent or was refused.
    :raises OutcomeUnknownError: if it was sent and no good answer came.
    """
    try:
        answer = await client.request(method, url, **options)
        if answer.status_code >= 400:
            raise _refused(url, answer.status_code)
        return answer.json()
    except NOT_SENT as error:
        raise UnavailableError(
            f"no connection to {url}: {type(error).__name__}",
            remedy="check the address and that the service is up",
        ) from error
    except (httpx.HTTPError, ValueError) as error:
        raise OutcomeUnknownError(
            f"no answer from {url}: {type(error).__name__}",
            remedy="read back before trying again",
            ran=Ran.UNKNOWN,
        ) from error


def _refused(url, status):
    if status >= 500:
        return OutcomeUnknownError(
            f"{url} answered {status}",
            remedy="read back before trying again",
            ran=Ran.UNKNOWN,
        )
    return UnavailableError(
        f"{url} answered {status}", remedy="check the request against its protocol"
    )
