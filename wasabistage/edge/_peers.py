"""Reports that entries send each other by UDP datagrams."""

import msgspec
import trio

from wasabistage.rollout import (
    PeerOrderEnded,
    ServerOrdered,
    ServerVersionReported,
    VersionNamed,
)
from wasabistage.routing import PeerDispatched, PeerMemoryReserved

GOSSIP_INTERVAL_SECONDS = 0.2
MIN_LARGE_PROMPT_TOKENS = 2000  # about one step of an engine
MIN_EARLY_INTERVAL_SECONDS = 0.02  # pause between two early reports
PEER_TIMEOUT_SECONDS = 1.2  # six lost reports in a row
MAX_DATAGRAM_BYTES = 60000  # below the largest UDP payload
MAX_PEERS = 1024  # above the intended number of entries


class PeerEntry(msgspec.Struct):
    """Value of an entry's record: the IP at which its peers reach it."""

    ip: str


class PeerReport(msgspec.Struct, array_like=True):
    """The report of an entry, sent as one datagram.

    :param name: name of the entry.
    :param incarnation: id of its process.
    :param ip: IP at which its peers reach it.
    :param callers: address for callers, ``IP:PORT``.
    :param failure_domain: failure domain that it runs in.
    :param is_ready: whether it is ready for requests of callers.
    :param has_store: whether it reaches the record store.
    :param sent: dict of server to prompt tokens sent since the last report.
    :param promised: dict of server to KV cache memory reserved for running requests,
        in tokens.
    :param ordering: servers with an order to load a version that this entry has sent
        or is about to send.
    :param versions: rows of server, incarnation, model, version learned since the last
        report.
    :param named: rows of model, version, seconds since it was named, for versions that
        some engine doesn't run yet.
    :param known: IPs of the entries that it knows.
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
    """Another entry.

    :param report: its last :class:`PeerReport`.
    :param heard_at: time at which the report was received, monotonic seconds.
    """

    def __init__(self, report, heard_at):
        self.report = report
        self.heard_at = heard_at


class GossipTask:
    """Sends and receives reports on a UDP socket.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.sock = None
        #: IPs of the known entries, by name.
        self.addresses = {}
        #: Prompt tokens sent since the last report, by server.
        self.sent_tokens = {}
        #: Servers with an order that this entry has sent or is about to send.
        self.ordering = set()
        #: Set to send a report before the next interval.
        self.early_event = trio.Event()
        #: Rows of server, incarnation, model, version for the next report.
        self.learned_versions = []
        #: Whether this entry reaches the record store.
        self.has_store = False

    def add_address(self, name, ip):
        """Add the IP of an entry, unless it is this one's or the table is full.

        :param name: name of the entry; any unique text if the name is unknown.
        :param ip: IP of the entry.
        """
        if ip != self.state.settings.instance.ip and len(self.addresses) < MAX_PEERS:
            self.addresses[name] = ip

    def record_sent_tokens(self, server, tokens):
        """Record prompt tokens that were sent to a server; report a large prompt early.

        :param server: id of the server.
        :param tokens: number of prompt tokens.
        """
        self.sent_tokens[server] = self.sent_tokens.get(server, 0) + tokens
        if tokens >= MIN_LARGE_PROMPT_TOKENS:
            self.early_event.set()

    def record_version(self, server, incarnation, model, version):
        """Record the version that a server runs, for the next report."""
        self.learned_versions.append((server, incarnation, model, version))

    async def open(self):
        """Open the socket and add the addresses of the seeds."""
        settings = self.state.settings
        self.sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        address = (settings.instance.ip, settings.listen.gossip_port)
        await self.sock.bind(address)
        for seed in settings.peers.seeds.split(","):
            ip = seed.strip().rpartition(":")[0]
            if ip:
                self.add_address(f"seed {ip}", ip)

    async def send_periodically(self, tick):
        """Send a report and remove silent peers; called by the timer service.

        :param tick: unused.
        """
        await self.send_report()
        self.remove_silent_peers()

    async def run_early_sending(self):
        """Send a report right after each large prompt, until cancelled."""
        while True:
            await self.early_event.wait()
            self.early_event = trio.Event()
            await self.send_report()
            await trio.sleep(MIN_EARLY_INTERVAL_SECONDS)

    async def send_report(self):
        """Send a report to every known entry."""
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
            sent=self.sent_tokens,
            promised=self.state.part_router.reserved_tokens_,
            ordering=sorted(self.ordering),
            versions=self.learned_versions[-64:],
            named=self.state.swap.get_named_version_ages(self.state.timer.now()),
            known=sorted(ips)[:64],
        )
        self.sent_tokens, self.learned_versions = {}, []
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

    def remove_silent_peers(self):
        """Remove the peers that sent no report within ``PEER_TIMEOUT_SECONDS``."""
        now = self.state.timer.now()
        for name, peer in list(self.state.peers.items()):
            if now - peer.heard_at > PEER_TIMEOUT_SECONDS:
                del self.state.peers[name]
                self.state.part_router.observe(
                    PeerMemoryReserved(peer=name, reserved_tokens={}), now
                )
                self.state.log.write(
                    "peer_lost", peer=name, silent=round(now - peer.heard_at, 3)
                )

    async def run_receiving(self):
        """Receive reports until cancelled."""
        while True:
            data, _ = await self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                report = DECODER.decode(data)
            except msgspec.DecodeError:
                self.state.metrics.count("peer.failures")
                continue
            self.handle_report(report, self.state.timer.now())

    def handle_report(self, report, now):
        """Apply a peer's report to the state of this entry.

        :param report: a :class:`PeerReport`.
        :param now: monotonic time, in seconds.
        """
        if report.name == self.state.settings.instance.name:
            return
        known = self.state.peers.get(report.name)
        if known is None:
            self.state.log.write("peer_found", peer=report.name, ip=report.ip)
        self.state.peers[report.name] = Peer(report, now)
        self.add_address(report.name, report.ip)
        for ip in report.known:
            self.add_address(f"seed {ip}", ip)
        for server, tokens in report.sent.items():
            event = PeerDispatched(
                server=server, tokens=tokens, lag=GOSSIP_INTERVAL_SECONDS / 2
            )
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
