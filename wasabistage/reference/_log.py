"""Client of the platform's append-only log service."""

import base64
from abc import ABC, abstractmethod
from dataclasses import dataclass

from wasabistage.reference._http import call_json

READ_LIMIT = 500
READ_SLACK_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class LogRecord:
    """One record of a log stream.

    :param offset: its place in the stream.
    :param record_id: identifier given by the writer.
    :param written_at: wall-clock time of the append, in seconds since 1970.
    :param data: its bytes.
    """

    offset: int
    record_id: str
    written_at: float
    data: bytes


@dataclass(frozen=True, kw_only=True)
class LogPage:
    """What one read returned.

    :param first: offset of the oldest record that the log still keeps.
    :param next_offset: offset of the next record to be appended.
    :param records: tuple of :class:`LogRecord`, in order.
    """

    first: int
    next_offset: int
    records: tuple


@dataclass(frozen=True, kw_only=True)
class NewRecord:
    """A record to be appended.

    :param record_id: identifier, unique for ever.
    :param data: its bytes.
    """

    record_id: str
    data: bytes


class LogClient(ABC):
    """Access to the log service."""

    @abstractmethod
    async def append(self, stream, records):
        """Append records.

        :param stream: name of the stream.
        :param records: sequence of :class:`NewRecord`.
        :return: tuple of their offsets.
        :raises UnavailableError: if nothing was appended.
        :raises OutcomeUnknownError: if the records may have been appended.
        """

    @abstractmethod
    async def read(self, stream, start, wait=0.0):
        """Read records from an offset on.

        :param stream: name of the stream.
        :param start: first offset wanted.
        :param wait: longest wait for a new record, in seconds.
        :return: a :class:`LogPage`.
        :raises UnavailableError: if the log can't be reached.
        :raises OutcomeUnknownError: if the log did not answer well.
        """


class HttpLogClient(LogClient):
    """Log service behind HTTP.

    :param client: an :class:`httpx.AsyncClient`.
    :param address: ``IP:PORT`` of the service.
    :param timeout: longest wait for an answer, in seconds.
    """

    def __init__(self, client, address, timeout=3.0):
        self.client = client
        self.address = address
        self.timeout = timeout

    def url(self, stream):
        """Return the URL of a stream's records.

        :param stream: name of the stream.
        :return: a string.
        """
        return f"http://{self.address}/streams/{stream}/records"

    async def append(self, stream, records):
        """Append records; see :meth:`LogClient.append`."""
        body = {
            "records": [
                {"id": item.record_id, "data": base64.b64encode(item.data).decode()}
                for item in records
            ]
        }
        answer = await call_json(
            self.client, "POST", self.url(stream), json=body, timeout=self.timeout
        )
        return tuple(answer["offsets"])

    async def read(self, stream, start, wait=0.0):
        """Read records; see :meth:`LogClient.read`."""
        params = {"from": start, "limit": READ_LIMIT, "wait": wait}
        timeout = max(self.timeout, wait + READ_SLACK_SECONDS)
        answer = await call_json(
            self.client, "GET", self.url(stream), params=params, timeout=timeout
        )
        records = tuple(_decode(item) for item in answer["records"])
        return LogPage(
            first=answer["first"], next_offset=answer["next"], records=records
        )


def _decode(item):
    try:
        data = base64.b64decode(item["data"], validate=True)
    except ValueError:
        data = b""
    return LogRecord(
        offset=item["offset"],
        record_id=item["id"],
        written_at=item["time"],
        data=data,
    )
