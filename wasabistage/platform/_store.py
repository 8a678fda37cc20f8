"""Client of a KV cache store."""

from wasabistage.platform._http import call_json

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

    async def commits(self):
        """List the commit records.

        :return: the decoded answer with ``incarnation`` and ``commits``.
        """
        url = f"http://{self.address}/commits"
        return await call_json(self.client, "GET", url, timeout=CONTROL_TIMEOUT_SECONDS)

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
