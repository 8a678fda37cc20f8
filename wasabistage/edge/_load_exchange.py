"""Load on backend servers, as this entry and others put it on them."""

from wasabistage.quarantine import ServerHeard
from wasabistage.routing import (
    PeerBytesReceived,
    PeerCallsEnded,
    PeerDispatched,
    PeerMemoryReserved,
)
from wasabistage.topology import (
    LoadRow,
    LoadTable,
    SentReports,
    get_age,
    subtract_loads,
)

MIN_LARGE_PROMPT_TOKENS = 2000  # about one step of an engine


class LoadExchange:
    """Collects the load for reports, and applies what peers report.

    :param state: an :class:`EdgeState`.
    :param interval: time between two reports, in seconds.
    """

    def __init__(self, state, interval):
        self.state = state
        self.interval = interval
        #: Loads for the next report to relays, and to followers.
        self.group = LoadTable()
        self.fleet = LoadTable()
        self.sent_reports = SentReports()
        #: Since the last report, by server: prompt tokens sent, calls that succeeded
        #: and failed; and the time of the last byte received, monotonic seconds.
        self.sent_tokens = {}
        self.outcomes = {}
        self.last_byte_at = {}

    def record_sent_tokens(self, server, tokens):
        """Record prompt tokens that were sent to a server; report a large prompt early.

        :param server: id of the server.
        :param tokens: number of prompt tokens.
        """
        self.sent_tokens[server] = self.sent_tokens.get(server, 0) + tokens
        if tokens >= MIN_LARGE_PROMPT_TOKENS and not self.state.view.is_large:
            self.state.reports.early_event.set()

    def record_outcome(self, server, *, ok):
        """Record the end of a call to a server, for the next report.

        :param server: id of the server.
        :param ok: whether the server did not fail.
        """
        succeeded, failed = self.outcomes.get(server, (0, 0))
        self.outcomes[server] = (succeeded + ok, failed + (not ok))

    def record_bytes(self, server, now):
        """Record that bytes of a response arrived, for the next report.

        :param server: id of the server.
        :param now: monotonic time, in seconds.
        """
        self.last_byte_at[server] = now

    def take_own(self, now):
        """Return the load of this entry alone, as dict of server to ``LoadRow``."""
        router = self.state.part_router
        sent, self.sent_tokens = self.sent_tokens, {}
        outcomes, self.outcomes = self.outcomes, {}
        last_byte_at, self.last_byte_at = self.last_byte_at, {}
        running = {server: count for server, count in router.runs_.items() if count}
        return {
            server: LoadRow(
                sent.get(server, 0),
                router.reserved_tokens_.get(server, 0),
                running.get(server, 0),
                *outcomes.get(server, (0, 0)),
                get_age(last_byte_at, server, now),
            )
            for server in {**sent, **running, **outcomes, **last_byte_at}
        }

    def is_idle(self):
        """Return whether this entry has no load to report."""
        running = any(self.state.part_router.runs_.values())
        # A relay of a large fleet passes on the load of its followers.
        return not (
            self.sent_tokens or self.outcomes or running or self.group.has_counts
        )

    def observe(self, report, echo, now, is_followed):
        """Count the load that a peer and the entries behind it put on servers.

        :param report: its :class:`PeerReport`.
        :param echo: see :meth:`ReportTask.handle_report`.
        :param now: monotonic time, in seconds.
        :param is_followed: whether this entry follows the peer.
        """
        settings = self.state.settings.instance
        is_near = report.failure_domain == settings.failure_domain
        loads = report.loads
        if report.follows != settings.name:
            # It may have been a follower before.
            self.group.remove(report.name)
        if report.follows == settings.name:
            self.group.observe(report.name, loads, now)
            self.fleet.observe(report.name, loads, now)
        elif is_followed:
            if echo is not None:
                loads = subtract_loads(loads, self.sent_reports.take(echo))
        elif report.is_relay and self.state.view.get_roles().is_relay:
            self.fleet.observe(report.name, loads, now, is_near=is_near)
        else:
            # The load of another follower is in the report of its relay.
            self.fleet.remove(report.name)
            return
        self._apply_loads(report.name, loads, now, is_near or is_followed)

    def _apply_loads(self, name, loads, now, is_near):
        for server, row in loads.items():
            self._apply_sent_tokens(server, row, now)
            if is_near:
                self._apply_outcomes(server, row, now)
            self._apply_bytes(server, row, now, is_near)
        memory = PeerMemoryReserved(
            peer=name,
            reserved_tokens={key: row.reserved for key, row in loads.items()},
            runs={key: row.runs for key, row in loads.items()},
        )
        self.state.part_router.observe(memory, now)

    def _apply_sent_tokens(self, server, row, now):
        if not row.sent:
            return
        tokens = self.state.notices.policy.take_unknown(server, row.sent, now)
        if tokens:
            # Half an interval at each of one or two hops.
            hops = 2 if self.state.view.is_large else 1
            lag = hops * self.interval / 2
            event = PeerDispatched(server=server, tokens=tokens, lag=lag)
            self.state.part_router.observe(event, now)

    def _apply_outcomes(self, server, row, now):
        if row.ok or row.failed:
            draw = self.state.random.random()
            event = PeerCallsEnded(
                server=server, ok=row.ok, failed=row.failed, draw=draw
            )
            self.state.health.observe(event, now)

    def _apply_bytes(self, server, row, now, is_near):
        if is_near and row.byte_age >= 0:
            event = PeerBytesReceived(server=server)
            self.state.silence.observe(event, now - row.byte_age)
        any_byte_age = row.byte_age if row.any_byte_age < 0 else row.any_byte_age
        if any_byte_age >= 0:
            event = PeerBytesReceived(server=server, is_near=False)
            self.state.silence.observe(event, now - any_byte_age)
            event = ServerHeard(server=server)
            self.state.quarantine.observe(event, now - any_byte_age)

    def remove(self, name, now):
        """Remove the load that a silent peer has reported.

        :param name: name of the peer.
        :param now: monotonic time, in seconds.
        """
        self.group.remove(name)
        self.fleet.remove(name)
        event = PeerMemoryReserved(peer=name, reserved_tokens={})
        self.state.part_router.observe(event, now)
