"""Client of a KV cache store."""

import base64

import httpx

from wasabistage.exceptions import UnavailableError
from wasabistage.reference._http import call_json

CONTROL_TIMEOUT_SECONDS = 2.0
LIFT_TIMEOUT_SECONDS = 30.0


class HttpStoreClient:
    """Store behind HTTP.

    :param client: an :class:`httpx.AsyncClient`.
    :param address: ``IP:PORT`` of the store.
    """

    def __init__(self, client, address):
        self.client = client
        self.address = address

    async def commit(self, commit_id, record):
        """Write a commit record, after its pieces.

        :param commit_id: identifier of the record.
        :param record: its bytes.
        """
        url = f"http://{self.address}/commits/{commit_id}"
        await call_json(
            self.client, "PUT", url, content=record, timeout=CONTROL_TIMEOUT_SECONDS
        )

    async def read_commit(self, commit_id):
        """Read one commit record.

        :param commit_id: identifier of the record.
        :return: its bytes.
        :raises UnavailableError: if the store does not answer or has no such record.
        """
        url = f"http://{self.address}/commits/{commit_id}"
        try:
            answer = await self.client.get(url, timeout=CONTROL_TIMEOUT_SECONDS)
        except httpx.HTTPError as error:
            raise UnavailableError(
                f"the store at {self.address} did not answer",
                remedy="the prompt is computed instead",
            ) from error
        if answer.status_code != 200:
            raise UnavailableError(
                f"the store at {self.address} answered {answer.status_code}",
                remedy="the prompt is computed instead",
            )
        return answer.content

    async def commits(self):
        """List the commit records.

        :return: tuple of their bytes.
        """
        url = f"http://{self.address}/commits"
        answer = await call_json(
            self.client, "GET", url, timeout=CONTROL_TIMEOUT_SECONDS
        )
        return tuple(base64.b64decode(item) for item in answer["commits"].values())

    async def lift(self, keys):
        """Move pieces from disk to memory.

        :param keys: piece keys.
        """
        url = f"http://{self.address}/lift"
        body = {"keys": list(keys)}
        await call_json(
            self.client, "POST", url, json=body, timeout=LIFT_TIMEOUT_SECONDS
        )

    async def load(self):
        """Read the use of the store.

        :return: the decoded answer with ``used`` and ``capacity`` in bytes.
        """
        url = f"http://{self.address}/load"
        return await call_json(self.client, "GET", url, timeout=CONTROL_TIMEOUT_SECONDS)
