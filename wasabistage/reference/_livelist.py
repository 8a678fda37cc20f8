"""Client of the platform's lagging list of instances."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from wasabistage.reference._http import call_json


@dataclass(frozen=True, kw_only=True)
class ListedInstance:
    """One entry of the list.

    :param name: name of the instance.
    :param kind: ``entry``, ``engine``, ``service`` or ``store``.
    :param address: ``IP:PORT``.
    :param leaving: whether it is about to go.
    :param peer_address: ``IP:PORT`` for other entries, of an entry.
    :param failure_domain: failure domain it stands in, if the list tells.
    """

    name: str
    kind: str
    address: str
    leaving: bool
    peer_address: str = ""
    failure_domain: str = ""


@dataclass(frozen=True, kw_only=True)
class LiveList:
    """The list as it was some time ago.

    :param as_of: wall-clock time it describes, in seconds since 1970.
    :param instances: tuple of :class:`ListedInstance`.
    """

    as_of: float
    instances: tuple


class ListClient(ABC):
    """Access to the list."""

    @abstractmethod
    async def read(self):
        """Read the list.

        :return: a :class:`LiveList`.
        :raises WasabistageError: if it can't be read.
        """


class HttpListClient(ListClient):
    """List behind HTTP.

    :param client: an :class:`httpx.AsyncClient`.
    :param address: ``IP:PORT`` of the service.
    :param timeout: longest wait for an answer, in seconds.
    """

    def __init__(self, client, address, timeout=2.0):
        self.client = client
        self.address = address
        self.timeout = timeout

    async def read(self):
        """Read the list; see :meth:`ListClient.read`."""
        url = f"http://{self.address}/instances"
        answer = await call_json(self.client, "GET", url, timeout=self.timeout)
        instances = tuple(
            ListedInstance(
                name=item["name"],
                kind=item["kind"],
                address=item["address"],
                leaving=item.get("state") == "leaving",
                peer_address=item.get("peer_address", ""),
                failure_domain=item.get("failure_domain", ""),
            )
            for item in answer["instances"]
        )
        return LiveList(as_of=answer["as_of"], instances=instances)
