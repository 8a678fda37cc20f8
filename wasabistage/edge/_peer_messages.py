"""Messages that entries exchange: reports by datagram, states and logs by HTTP."""

import msgspec

from wasabistage.topology import LoadRow


class PeerEntry(msgspec.Struct):
    """Value of an entry's record in the topic of entries.

    :param ip: IP at which its peers reach it.
    :param failure_domain: failure domain that it runs in.
    :param weight: capacity to carry the facts of others.
    :param capacity: capacity to serve callers; 0 if it is unknown.
    :param incarnation: id of the process that wrote the record.
    """

    ip: str
    failure_domain: str = ""
    weight: float = 1.0
    capacity: float = 0.0
    incarnation: str = ""


class MemberRow(msgspec.Struct, array_like=True, frozen=True):
    """A live entry; see :class:`wasabistage.topology.FleetMember`."""

    name: str
    failure_domain: str
    ip: str
    callers: str
    weight: float
    is_ready: bool
    capacity: float = 0.0


class EvidenceRow(msgspec.Struct, array_like=True):
    """What an entry knows of a suspected part of prompts.

    See :class:`wasabistage.quarantine.PartEvidence`.

    :param part: id of the part.
    :param crashes: rows of server, seconds since its crash, number of the prompt,
        whether a whole event of its answer had arrived.
    :param answered: seconds since a prompt with the part was answered; ``None`` if
        none is known.
    """

    part: str
    crashes: list[tuple[str, float, int, bool]]
    answered: float | None = None


class PeerReport(msgspec.Struct, array_like=True):
    """The report of an entry.

    A follower reports for itself, a relay to other relays for itself and its
    followers, and a relay to its followers for the whole fleet.

    :param name: name of the entry.
    :param incarnation: id of its process.
    :param ip: IP at which its peers reach it.
    :param callers: address for callers, ``IP:PORT``.
    :param failure_domain: failure domain that it runs in.
    :param weight: capacity to carry the facts of others.
    :param is_ready: whether it is ready for requests of callers.
    :param has_store: whether it reaches the record store.
    :param clock: time at which it was sent, on the sender's monotonic clock.
    :param is_relay: whether the sender is a relay.
    :param follows: name of the relay that the sender follows, or ``""``.
    :param log: id of the log that ``facts`` belong to, or ``""``.
    :param first: position of the first fact.
    :param facts: encoded facts.
    :param ages: dict of topic to the time since the start of the read that confirmed
        its records, in seconds, and the offset of the newest one that was told as a
        fact. The age holds once ``facts`` and that record are applied.
    :param has_loads: whether the report has loads; one that only tells facts has none.
    :param loads: dict of server to the load that the sender and the entries behind it
        put on it.
    :param waiting: prompts that wait for an engine; to followers, those of the failure
        domain, otherwise those of the sender and its followers.
    :param ordering: servers with an order to load a version that was sent or is about
        to be sent.
    :param versions: rows of server, incarnation, model, version learned since the last
        report.
    :param named: rows of model, version, seconds since it was named, for versions that
        some engine doesn't run yet.
    :param unreadable: topics and addresses of cache sources that the sender fails to
        read.
    :param fleet_size: number of live entries that the sender knows.
    :param members: the sender's followers and itself, if it is a relay.
    :param suspects: suspected parts of prompts; those of a relay are all with crashes,
        as far as they fit.
    :param capacity: the sender's capacity to serve callers; 0 if it is unknown.
    :param configuration_version: version of the configuration that the sender has in
        force; 0 if it has none.
    :param epochs: rows of address, epoch and the time in seconds since the first entry
        knew the epoch, for cache stores.
    """

    name: str
    incarnation: str
    ip: str
    callers: str
    failure_domain: str
    weight: float
    is_ready: bool
    has_store: bool
    clock: float
    is_relay: bool = False
    follows: str = ""
    log: str = ""
    first: int = 0
    facts: list[msgspec.Raw] = []
    ages: dict[str, tuple[float, int]] = {}
    has_loads: bool = False
    loads: dict[str, LoadRow] = {}
    waiting: int = 0
    ordering: list[str] = []
    versions: list[tuple[str, int, str, int]] = []
    named: list[tuple[str, int, float]] = []
    unreadable: list[str] = []
    fleet_size: int = 0
    members: list[MemberRow] = []
    suspects: list[EvidenceRow] = []
    capacity: float = 0.0
    configuration_version: int = 0
    epochs: list[tuple[str, int, float]] = []


class ReportDatagram(msgspec.Struct, array_like=True):
    """A datagram: a report, and what concerns its receiver alone.

    :param echo: ``clock`` of the last report received from the receiver, or ``None``.
    :param echoed: incarnation of the receiver's process that sent it, or ``""``.
    :param report: the :class:`PeerReport`.
    """

    echo: float | None
    echoed: str
    report: PeerReport


class DispatchNotice(msgspec.Struct, array_like=True, tag="d"):
    """A prompt that an entry sends to an engine now.

    :param name: name of the entry.
    :param server: id of the engine.
    :param tokens: prompt tokens that the engine has to compute.
    """

    name: str
    server: str
    tokens: int


class PaceNotice(msgspec.Struct, array_like=True, tag="p"):
    """An engine has become slow, or is no longer.

    :param name: name of the entry that tells it.
    :param server: id of the engine.
    :param factor: duration of work relative to its usual duration.
    """

    name: str
    server: str
    factor: float


class EncodedReportDatagram(msgspec.Struct, array_like=True):
    """An :class:`ReportDatagram` whose report is encoded once for all receivers."""

    echo: float | None
    echoed: str
    report: msgspec.Raw


class RecordFact(msgspec.Struct, array_like=True, tag="r"):
    """A record of a topic that all entries follow.

    :param topic: name of the topic.
    :param key: key of the record.
    :param offset: its offset.
    :param value: its value; ``None`` if the key was removed.
    :param is_large: whether the value is left out, since it fits in no datagram.
    """

    topic: str
    key: str
    offset: int
    value: bytes | None = None
    is_large: bool = False


class CacheFact(msgspec.Struct, array_like=True, tag="c"):
    """Changes of the parts that a cache source holds.

    :param address: address of the source.
    :param epoch: number that changes when the source restarts.
    :param since: position of the read.
    :param position: position of the next read.
    :param is_listing: whether the groups are all that the source holds.
    :param clock: the servers' wall clock, in seconds, or ``None``.
    :param groups: rows of cache key, parts, tokens cached of each part.
    """

    address: str
    epoch: int
    since: int
    position: int
    is_listing: bool
    clock: float | None
    groups: list[tuple[str, list[str], list[int]]]


class FreedFact(msgspec.Struct, array_like=True, tag="f"):
    """Parts were freed at a cache store, whether or not its events tell of it.

    :param address: address of the store.
    :param epoch: number that changes when the store restarts.
    :param groups: rows of cache key, parts.
    """

    address: str
    epoch: int
    groups: list[tuple[str, list[str]]]


class MemberFact(msgspec.Struct, array_like=True, tag="m"):
    """An entry has appeared, changed or gone.

    :param member: the entry.
    :param is_live: whether it is live.
    """

    member: MemberRow
    is_live: bool


Fact = RecordFact | CacheFact | FreedFact | MemberFact


class TopicSnapshot(msgspec.Struct, array_like=True):
    """The newest record of each key of one topic, as one entry knows them.

    :param age: time since the start of the read that confirmed them, in seconds.
    :param end: offset up to which the topic was read.
    :param newest: offset of the newest record that was told as a fact.
    :param records: rows of key, offset, value; the value is ``None`` if the key was
        removed.
    :param read_end: offset up to which every key without a row has no record, since
        the sender, or another entry whose snapshot it has applied, has read the whole
        topic up to there.
    """

    age: float
    end: int
    newest: int
    records: list[tuple[str, int, bytes | None]]
    read_end: int = 0


class FleetState(msgspec.Struct, array_like=True):
    """All that an entry knows from facts, up to a position in one of its logs.

    :param log: id of the log.
    :param position: position of the next fact.
    :param topics: dict of topic to its snapshot.
    :param sources: what the cache sources hold, as listings.
    :param members: the live entries; empty if the log has no facts on entries.
    """

    log: str
    position: int
    topics: dict[str, TopicSnapshot]
    sources: list[CacheFact]
    members: list[MemberRow]


class FactBatch(msgspec.Struct, array_like=True):
    """Facts of a log from a position on.

    :param log: id of the log.
    :param first: position of the first fact.
    :param facts: encoded facts.
    """

    log: str
    first: int
    facts: list[msgspec.Raw]


ENCODER = msgspec.msgpack.Encoder()
NOTICE_DECODER = msgspec.msgpack.Decoder(DispatchNotice | PaceNotice)
DATAGRAM_DECODER = msgspec.msgpack.Decoder(ReportDatagram)
FACT_DECODER = msgspec.msgpack.Decoder(Fact)
SNAPSHOT_DECODER = msgspec.msgpack.Decoder(TopicSnapshot)
STATE_DECODER = msgspec.msgpack.Decoder(FleetState)
BATCH_DECODER = msgspec.msgpack.Decoder(FactBatch)
