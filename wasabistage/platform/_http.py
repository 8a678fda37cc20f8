"""HTTP calls to the platform and to backend servers, with typed errors."""

import httpx

from wasabistage.base import Ran
from wasabistage.exceptions import OutcomeUnknownError, UnavailableError

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 15.0
MAX_CONNECTIONS = 512
KEEPALIVE_CONNECTIONS = 64

#: Errors raised before a byte of the request left this process.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


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
    return httpx.AsyncClient(timeout=timeout, limits=limits, trust_env=False)


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
