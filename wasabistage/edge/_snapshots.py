"""Snapshots of record topics for entries that can't reach the record store."""

import msgspec

from wasabistage.edge._handlers import RequestHandler
from wasabistage.fleet import StoredRecord, StoreError, Topic
from wasabistage.http1 import Answer, ChannelError, HttpClient

REQUEST_TIMEOUT_SECONDS = 0.4  # peers answer in some milliseconds
MAX_SNAPSHOT_BYTES = 8 << 20  # twice the largest configuration
SNAPSHOT_PATH = b"/facts/"


class TopicSnapshot(msgspec.Struct, array_like=True):
    """The newest record of each key of one topic, as one entry knows them.

    :param age: time since the start of the read that confirmed them, in seconds.
    :param end: offset up to which the topic was read.
    :param records: rows of key, offset, value.
    """

    age: float
    end: int
    records: list[tuple[str, int, bytes]]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(TopicSnapshot)


class SnapshotHandler(RequestHandler):
    """Serves snapshots to other entries.

    :param state: an :class:`EdgeState`.
    :param watches: dict of topic name to :class:`RecordWatch`.
    """

    def __init__(self, state, watches):
        super().__init__(state)
        self.watches = watches

    def answer(self, request):
        """See :meth:`RequestHandler.answer`."""
        snapshot = self._get_snapshot(request.target)
        if snapshot is None:
            return Answer(status=404)
        return Answer(status=200, body=ENCODER.encode(snapshot))

    def _get_snapshot(self, target):
        name = target.removeprefix(SNAPSHOT_PATH).decode("latin-1")
        watch = self.watches.get(name)
        if watch is None or watch.position is None:
            return None
        return TopicSnapshot(
            age=self.state.timer.now() - watch.confirmed_at,
            end=watch.position,
            records=[
                (record.key, record.offset, record.value)
                for record in watch.newest_records.values()
            ],
        )


class SnapshotClient:
    """Requests snapshots from other entries.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.clients = {}

    async def request(self, topic):
        """Request a snapshot from one entry, preferably one that reaches the store.

        :param topic: a :class:`wasabistage.fleet.Topic`.
        :return: a tuple of :class:`TopicSnapshot`, its records as
            :class:`wasabistage.fleet.StoredRecord`, and the time of the request,
            monotonic seconds.
        :raises StoreError: if no other entry is known, or the entry gave no snapshot.
        """
        address = self._select_address()
        if address not in self.clients:
            self.clients[address] = HttpClient(
                address, self.state.timer, MAX_SNAPSHOT_BYTES
            )
        requested_at = self.state.timer.now()
        target = SNAPSHOT_PATH + str(topic).encode()
        try:
            reply = await self.clients[address].call(
                b"GET", target, timeout=REQUEST_TIMEOUT_SECONDS
            )
            if reply.status != 200:
                raise StoreError(f"peer {address} has not read the topic yet")
            snapshot = DECODER.decode(reply.body)
        except (ChannelError, msgspec.DecodeError) as error:
            raise StoreError(f"peer {address} sent no snapshot: {error}") from error
        records = tuple(
            StoredRecord(offset=offset, key=key, value=value)
            for key, offset, value in snapshot.records
        )
        return snapshot, records, requested_at

    def _select_address(self):
        state = self.state
        port = state.settings.listen.peers.rpartition(":")[2]
        own = state.settings.instance.ip
        ips = [peer.report.ip for peer in state.peers.values() if peer.report.has_store]
        ips = ips or [ip for ip in state.gossip.addresses.values() if ip != own]
        if not ips:
            raise StoreError("no other entry is known")
        return f"{state.random.choice(ips)}:{port}"


#: Topics of which entries serve snapshots.
SHARED_TOPICS = (Topic.CONFIGURATION, Topic.SERVERS)
