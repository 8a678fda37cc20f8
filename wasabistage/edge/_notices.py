"""Sends and receives notices of prompts and slow engines by UDP datagrams."""

from collections import deque

import trio

from wasabistage.edge._peer_messages import (
    ENCODER,
    NOTICE_DECODER,
    DispatchNotice,
    PaceNotice,
)
from wasabistage.routing import PaceNewsQuery, PaceReported, PeerDispatched
from wasabistage.topology import DispatchNotices, NoticeQuery, NoticeReceived
from wasabistage.utils import UnreadableError, decode_data

MAX_NOTICE_BYTES = 512  # names and ids have some tens of characters
MAX_NOTICE_TOKENS = 10_000_000  # more than the memory of any engine
MEMBERS_SECONDS = 0.2  # for which the list of entries is used; reports are as old
MAX_UNSENT_NOTICES = 256  # older ones are dropped; reports tell of their prompts


class NoticeTask:
    """Tells other entries of prompts and slow engines, and applies what they tell.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.policy = DispatchNotices().reset()
        self.own_name = state.settings.instance.name
        #: The live entries, and the time at which they were last read.
        self.members = {}
        self.members_read_at = float("-inf")
        self.sock = None
        #: Encoded notices and their targets' IPs, the oldest first.
        self.unsent = deque(maxlen=MAX_UNSENT_NOTICES)
        self.unsent_event = trio.Event()

    async def open(self):
        """Open the socket, if the settings name a port."""
        settings = self.state.settings
        if not settings.listen.notice_port:
            return
        self.sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await self.sock.bind((settings.instance.ip, settings.listen.notice_port))

    def notify(self, record, tokens):
        """Tell other entries soon of a prompt that is being sent to an engine.

        :param record: the engine's :class:`wasabistage.fleet.ServerRecord`.
        :param tokens: prompt tokens that the engine has to compute.
        """
        notice = DispatchNotice(self.own_name, record.server, tokens)
        self._queue(notice, record, tokens)

    def notify_pace(self, record, factor):
        """Record the pace that an engine reports, and tell others if it is news.

        :param record: the engine's :class:`wasabistage.fleet.ServerRecord`.
        :param factor: duration of work relative to its usual duration.
        """
        if not self.state.view.is_crowded:
            return
        moments, now = self.state.slow_moments, self.state.timer.now()
        query = PaceNewsQuery(server=record.server, factor=factor)
        if moments.decide(query, now):
            notice = PaceNotice(self.own_name, record.server, factor)
            self._queue(notice, record, self.policy.min_tokens)
        moments.observe(PaceReported(server=record.server, factor=factor), now)

    def _queue(self, notice, record, tokens):
        if self.sock is None or not self.state.view.is_crowded:
            return
        query = NoticeQuery(
            tokens=tokens,
            slots=record.slots,
            failure_domain=record.failure_domain,
            own=self.own_name,
            members=self._get_members(),
        )
        ips = self.policy.decide(query, self.state.timer.now())
        if ips:
            self.unsent.append((ENCODER.encode(notice), ips))
            self.unsent_event.set()

    def _get_members(self):
        """Return the live entries, read now and then: reading them copies them all."""
        now = self.state.timer.now()
        if now - self.members_read_at > MEMBERS_SECONDS:
            self.members, self.members_read_at = self.state.view.get_members(), now
        return self.members

    async def run_sending(self):
        """Send notices until cancelled."""
        port = self.state.settings.listen.notice_port
        while True:
            await self.unsent_event.wait()
            self.unsent_event = trio.Event()
            while self.unsent:
                data, ips = self.unsent.popleft()
                for ip in ips:
                    try:
                        await self.sock.sendto(data, (ip, port))
                    except OSError:
                        self.state.metrics.count("notice.failures")
                self.state.metrics.count("notice.sent", len(ips))

    async def run_receiving(self):
        """Receive notices until cancelled."""
        while True:
            data, _ = await self.sock.recvfrom(MAX_NOTICE_BYTES)
            try:
                self.handle(decode_data(NOTICE_DECODER, data))
            except UnreadableError:
                self.state.metrics.count("notice.failures")

    def handle(self, notice):
        """Apply what another entry tells.

        :param notice: a :class:`DispatchNotice` or a :class:`PaceNotice`.
        """
        state = self.state
        is_known = notice.name in self._get_members()
        if not is_known or state.servers.get(notice.server) is None:
            state.metrics.count("notice.ignored")
            return
        state.metrics.count("notice.received")
        if isinstance(notice, PaceNotice):
            event = PaceReported(server=notice.server, factor=notice.factor)
            state.slow_moments.observe(event, state.timer.now())
        elif 0 < notice.tokens <= MAX_NOTICE_TOKENS:
            self._record_dispatch(notice)

    def _record_dispatch(self, notice):
        """Count the prompt of a notice as work ahead at its engine."""
        now = self.state.timer.now()
        event = NoticeReceived(server=notice.server, tokens=notice.tokens)
        self.policy.observe(event, now)
        dispatched = PeerDispatched(server=notice.server, tokens=notice.tokens)
        self.state.part_router.observe(dispatched, now)
