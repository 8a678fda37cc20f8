"""What entries tell each other: load by datagrams, facts on request."""

import msgspec
import trio

from wasabistage.rollout import (
    PeerOrderEnded,
    ServerOrdered,
    ServerVersionReported,
    VersionNamed,
)
from wasabistage.routing import PeerDispatched, PeerMemoryReserved

GOSSIP_PERIOD = 0.2  # seconds between two datagrams to a peer
LARGE_PROMPT = 2000  # tokens; a step of an engine computes about as many
EARLY_PAUSE = 0.02  # seconds between two reports out of turn
SILENT_AFTER = 1.2  # seconds; six datagrams in a row are lost
MAX_DATAGRAM = 60000  # bytes; below the largest UDP payload
MAX_PEERS = 1024  # entries; above the target size


class PeerEntry(msgspec.Struct):
    """Value of an entry's record: where it is."""

    ip: str


class PeerReport(msgspec.Struct, array_like=True):
    """A datagram.

    :param name: name of the entry.
    :param incarnation: its life.
    :param callers: address for callers.
    :param failure_domain: failure domain it stands in.
    :param is_ready: whether callers should be sent there.
    :param sent: dict of server to prompt tokens sent since the last report.
    :param promised: dict of server to memory promised to requests now, in tokens.
    :param ordering: servers that it has ordered to load a version and that haven't yet.
    :param versions: rows of server, incarnation, model, version learned lately.
    :param named: rows of model, version, seconds since it was named, for versions that
        some engine doesn't run yet.
    :param known: addresses of the entries that it knows.
    :param has_store: whether it reaches the store of records.
    """

    name: str
    incarnation: str
    ip: str
    callers: str
    failure_domain: str
    is_ready: bool
    has_store: bool
    sent: dict[str, int] = {}
    promised: dict[str, int] = {}
    ordering: list[str] = []
    versions: list[tuple[str, int, str, int]] = []
    named: list[tuple[str, int, float]] = []
    known: list[str] = []


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(PeerReport)


class Peer:
    """What is known of another entry.

    :param report: its last :class:`PeerReport`.
    :param heard_at: when it came, monotonic seconds.
    """

    def __init__(self, report, heard_at):
        self.report = report
        self.heard_at = heard_at


class GossipTask:
    """Owns the UDP socket.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.sock = None
        self.addresses = {}
        self.sent = {}
        self.ordering = set()
        self.wake = trio.Event()
        self.versions = []
        self.has_store = False

    def know(self, name, ip):
        """Note where an entry is.

        :param name: its name.
        :param ip: its IP.
        """
        if ip != self.state.settings.instance.ip and len(self.addresses) < MAX_PEERS:
            self.addresses[name] = ip

    def note_sent(self, server, tokens):
        """Note prompt tokens that were sent to a server."""
        self.sent[server] = self.sent.get(server, 0) + tokens
        if tokens >= LARGE_PROMPT:
            self.wake.set()

    def note_version(self, server, incarnation, model, version):
        """Note a version that was just learned, to be told once."""
        self.versions.append((server, incarnation, model, version))

    async def open(self):
        """Open the socket and learn the seeds."""
        settings = self.state.settings
        self.sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        address = (settings.instance.ip, settings.listen.gossip_port)
        await self.sock.bind(address)
        for seed in settings.peers.seeds.split(","):
            ip = seed.strip().rpartition(":")[0]
            if ip:
                self.know(f"seed {ip}", ip)

    async def run_sending(self, tick):
        """Tell every peer; a subscriber of the timer service."""
        await self.tell()
        self.drop_silent()

    async def run_early(self):
        """Tell every peer at once of a large prompt, until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            await self.tell()
            await trio.sleep(EARLY_PAUSE)

    async def tell(self):
        """Send what changed to every entry that is known."""
        settings = self.state.settings
        ips = set(self.addresses.values())
        report = PeerReport(
            name=settings.instance.name,
            incarnation=self.state.incarnation,
            ip=settings.instance.ip,
            callers=settings.listen.callers,
            failure_domain=settings.instance.failure_domain,
            is_ready=self.state.is_ready,
            has_store=self.has_store,
            sent=self.sent,
            promised=self.state.part_router.reserved_tokens_,
            ordering=sorted(self.ordering),
            versions=self.versions[-64:],
            named=self.state.swap.get_named_version_ages(self.state.timer.now()),
            known=sorted(ips)[:64],
        )
        self.sent, self.versions = {}, []
        for server in self.ordering:
            self.state.swap.observe(
                ServerOrdered(server=server), self.state.timer.now()
            )
        data = ENCODER.encode(report)
        for ip in ips:
            try:
                await self.sock.sendto(data, (ip, settings.listen.gossip_port))
            except OSError:
                self.state.metrics.count("peer.failures")

    def drop_silent(self):
        """Forget the peers that fell silent."""
        now = self.state.timer.now()
        for name, peer in list(self.state.peers.items()):
            if now - peer.heard_at > SILENT_AFTER:
                del self.state.peers[name]
                self.state.part_router.observe(
                    PeerMemoryReserved(peer=name, reserved_tokens={}), now
                )
                self.state.log.write(
                    "peer_lost", peer=name, silent=round(now - peer.heard_at, 3)
                )

    async def run_receiving(self):
        """Take in datagrams until cancelled."""
        while True:
            data, _ = await self.sock.recvfrom(MAX_DATAGRAM)
            try:
                report = DECODER.decode(data)
            except msgspec.DecodeError:
                self.state.metrics.count("peer.failures")
                continue
            self.take(report, self.state.timer.now())

    def take(self, report, now):
        """Take in a peer's report.

        :param report: a :class:`PeerReport`.
        :param now: monotonic time, in seconds.
        """
        if report.name == self.state.settings.instance.name:
            return
        known = self.state.peers.get(report.name)
        if known is None:
            self.state.log.write("peer_found", peer=report.name, ip=report.ip)
        self.state.peers[report.name] = Peer(report, now)
        self.know(report.name, report.ip)
        for ip in report.known:
            self.know(f"seed {ip}", ip)
        for server, tokens in report.sent.items():
            event = PeerDispatched(server=server, tokens=tokens, lag=GOSSIP_PERIOD / 2)
            self.state.part_router.observe(event, now)
        memory = PeerMemoryReserved(peer=report.name, reserved_tokens=report.promised)
        self.state.part_router.observe(memory, now)
        if known is not None:
            for server in set(known.report.ordering) - set(report.ordering):
                self.state.swap.observe(PeerOrderEnded(server=server), now)
        for server in report.ordering:
            self.state.swap.observe(ServerOrdered(server=server), now)
        for model, version, age in report.named:
            event = VersionNamed(model=model, version=version, age=age)
            self.state.swap.observe(event, now)
        for server, incarnation, model, version in report.versions:
            event = ServerVersionReported(
                server=server, incarnation=incarnation, model=model, version=version
            )
            self.state.swap.observe(event, now)
