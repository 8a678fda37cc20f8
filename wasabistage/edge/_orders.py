"""The task that orders engines to load the named weight version."""

import msgspec
import trio

from wasabistage.edge._messages import OrderAnswer, OrderMethod, VersionOrder
from wasabistage.edge._watches import OrderRecord
from wasabistage.fleet import OvertakenError, StoreError, Topic
from wasabistage.http1 import ChannelError
from wasabistage.rollout import (
    LeaseQuery,
    LeaseRecord,
    LeaseRecordAppended,
    OrderFenced,
    ServerOrdered,
    ServerVersionReported,
    VersionLoadCandidate,
    VersionLoadEnded,
    VersionLoadQuery,
)

ORDER_INTERVAL_SECONDS = 0.1  # pause between two searches for engines to order
#: The same in an entry that does not read the record store, and can't hold the lease.
STORE_INTERVAL_SECONDS = 0.5
ORDER_LEAD_SECONDS = (
    0.3  # seconds without new requests before an order; most runs end by then
)
REPORT_INTERVAL_SECONDS = 0.1  # pause between two polls of a loading engine
SERVER_TIMEOUT_SECONDS = 0.5  # servers answer in milliseconds
#: Time after which a pending append leaves its engines to other entries. A healthy
#: store takes milliseconds, a slow one some tenths of a second.
APPEND_RELEASE_SECONDS = 0.25
#: Pause without orders after a failed append. It is three times the wait for the lease
#: per place in line, so that another entry takes it. If only the answer of the store
#: was lost, the pause costs little.
APPEND_FAILURE_PAUSE_SECONDS = 0.9
LOAD_TIMEOUT_SECONDS = 5.0  # for runs to end and weights to load


class OrderTask:
    """Orders engines to load weight versions while this entry holds the order lease.

    :param state: an :class:`EdgeState`.
    :param store: a :class:`wasabistage.fleet.RecordStore`.
    :param watch: the :class:`OrderWatch`.
    """

    def __init__(self, state, store, watch):
        self.state = state
        self.store = store
        self.watch = watch
        self.nursery = None
        self.last_denial = ""
        self.append_lock = trio.Lock()
        self.paused_until = float("-inf")
        #: Engines without new requests because an order to them is about to be sent.
        self.pending_servers = set()
        self.append_begun_at = None

    async def run(self):
        """Send orders until cancelled."""
        async with trio.open_nursery() as self.nursery:
            while True:
                if not self.state.view.has_store:
                    await trio.sleep(STORE_INTERVAL_SECONDS)
                    continue
                await trio.sleep(ORDER_INTERVAL_SECONDS)
                if not self.state.is_draining:
                    await self._order_outdated()

    async def _order_outdated(self):
        """Start an order for each engine that should load a version now."""
        state, now = self.state, self.state.timer.now()
        if not state.view.has_store or now < self.paused_until:
            return
        if self.append_begun_at is not None:
            await self._release_if_late(now)
            return
        candidates = get_swap_candidates(state)
        query = VersionLoadQuery(
            candidates=candidates, excluded_servers=state.lease.excluded_servers(now)
        )
        swaps = state.swap.decide(query, now)
        wanted_servers = tuple(swap.server for swap in swaps)
        query = LeaseQuery(servers=wanted_servers, place=get_lease_place(state))
        grant = state.lease.decide(query, now)
        if not swaps:
            return
        if not grant:
            self._log_denial(grant.reason, wanted_servers)
            return
        self.last_denial = ""
        for swap in swaps:
            if swap.server in grant.servers:
                state.swap.observe(ServerOrdered(server=swap.server), now)
                state.reports.ordering.add(swap.server)
                self.pending_servers.add(swap.server)
                self.nursery.start_soon(self._run_order, swap)
        await state.reports.send_report()

    async def _release_if_late(self, now):
        """Give up the pending engines if the store doesn't answer in time.

        Other entries can then send requests to them, or order them.
        """
        if now - self.append_begun_at > APPEND_RELEASE_SECONDS and self.pending_servers:
            self.state.log.write("order_released", servers=sorted(self.pending_servers))
            self.state.reports.ordering -= self.pending_servers
            self.pending_servers.clear()
            await self.state.reports.send_report()

    def _log_denial(self, reason, servers):
        if reason != self.last_denial:
            self.last_denial = reason
            self.state.log.write("order_lease_denied", reason=reason, servers=servers)

    async def _append_grant(self, server):
        """Append a grant that names a server; return whether it may be ordered.

        The grant is appended right before the order, because a holder that halts in
        between keeps its successor from ordering the server for ``order_turn_ms``.
        """
        state = self.state
        async with self.append_lock:
            # Place 0: this entry waited its turn before it stopped requests to the
            # engine.
            query = LeaseQuery(servers=(server,), place=0)
            grant = state.lease.decide(query, state.timer.now())
            if not grant:
                self._log_denial(grant.reason, (server,))
                return False
            self.append_begun_at = state.timer.now()
            try:
                return await self._append_record(grant)
            finally:
                self.append_begun_at = None

    async def _append_record(self, grant):
        state = self.state
        name, begun_at = state.settings.instance.name, state.timer.now()
        value = OrderRecord(
            holder=name, incarnation=state.incarnation, servers=list(grant.servers)
        )
        try:
            offset = await self.store.append(
                Topic.ORDERS,
                msgspec.json.encode(value),
                expected_end=grant.expected_end,
            )
        except OvertakenError:
            state.log.write("order_lease_overtaken", end=grant.expected_end)
            self.watch.read_now()
            return False
        except StoreError as error:
            state.log.write("order_lease_failed", reason=str(error))
            self.paused_until = state.timer.now() + APPEND_FAILURE_PAUSE_SECONDS
            return False
        record = LeaseRecord(
            offset=offset,
            holder=name,
            incarnation=state.incarnation,
            servers=grant.servers,
        )
        state.lease.observe(
            LeaseRecordAppended(record=record, begun_at=begun_at), state.timer.now()
        )
        state.log.write("order_lease_held", offset=offset, servers=grant.servers)
        return True

    async def _run_order(self, swap):
        """Bring one server to a version and record how it ended."""
        state, ok = self.state, False
        try:
            with trio.move_on_after(LOAD_TIMEOUT_SECONDS):
                ok = await self._bring_to_version(swap)
        except ChannelError as error:
            state.log.write("order_failed", server=swap.server, reason=str(error))
        finally:
            state.reports.ordering.discard(swap.server)
            self.pending_servers.discard(swap.server)
            event = VersionLoadEnded(server=swap.server, ok=ok)
            state.swap.observe(event, state.timer.now())

    async def _bring_to_version(self, swap):
        """Order one server to load a version and wait until it runs it.

        :return: whether the server runs the version.
        """
        state = self.state
        record = state.servers.get(swap.server)
        if record is None:
            return False
        await trio.sleep(ORDER_LEAD_SECONDS)
        report = await state.platform.read_report(
            record.address, SERVER_TIMEOUT_SECONDS
        )
        state.record_server_clock(report.clock)
        version = report.versions.get(swap.model, 0)
        if version >= swap.version:
            self._record_version(record, swap.model, version)
            return True
        if not await self._append_grant(swap.server):
            return False
        if not await self._send_order(record, swap, report):
            return False
        await self._wait_until_loaded(record, swap)
        return True

    async def _send_order(self, record, swap, report):
        """Send an order; return whether the server loads or runs a version."""
        state = self.state
        order = VersionOrder(
            server=swap.server,
            model=swap.model,
            version=swap.version,
            holder=state.settings.instance.name,
            fencing=state.lease.fencing_,
            method=OrderMethod.KEEP_RUNS,
            orders=report.orders,
        )
        if not state.lease.may_send(swap.server, state.timer.now()):
            state.log.write("order_withheld", server=swap.server, fencing=order.fencing)
            return False
        self.pending_servers.discard(swap.server)
        state.reports.ordering.add(swap.server)
        answer = await state.platform.send_order(
            record.address, order, SERVER_TIMEOUT_SECONDS
        )
        state.metrics.count("order.sent", label=answer)
        state.log.write(
            "order_sent",
            server=swap.server,
            version=swap.version,
            fencing=order.fencing,
            precondition=report.orders,
            answer=answer,
        )
        if answer is OrderAnswer.FENCED:
            state.lease.observe(OrderFenced(), state.timer.now())
            self.watch.read_now()
        return answer in (OrderAnswer.ACCEPTED, OrderAnswer.HOLDS, OrderAnswer.BUSY)

    async def _wait_until_loaded(self, record, swap):
        """Poll a loading server until it runs the version."""
        state = self.state
        while True:
            await trio.sleep(REPORT_INTERVAL_SECONDS)
            report = await state.platform.read_report(
                record.address, SERVER_TIMEOUT_SECONDS
            )
            version = report.versions.get(swap.model)
            if (
                version is not None
                and version >= swap.version
                and not report.is_loading
            ):
                self._record_version(record, swap.model, version)
                await state.reports.send_report()
                return

    def _record_version(self, record, model, version):
        state, now = self.state, self.state.timer.now()
        event = ServerVersionReported(
            server=record.server,
            incarnation=record.incarnation,
            model=model,
            version=version,
        )
        state.swap.observe(event, now)
        state.reports.record_version(record.server, record.incarnation, model, version)
        state.log.write("server_loaded", server=record.server, version=version)


def get_swap_candidates(state):
    """Return the usable engines of all services.

    :param state: an :class:`EdgeState`.
    :return: tuple of :class:`wasabistage.rollout.VersionLoadCandidate`.
    """
    configuration = state.routes.configuration
    if configuration is None:
        return ()
    return tuple(
        VersionLoadCandidate(
            server=record.server,
            incarnation=record.incarnation,
            models=tuple(record.versions),
        )
        for service in configuration.services.values()
        if service.engine is not None
        for record in state.servers.find_usable(service.name)
    )


def get_lease_place(state):
    """Return this entry's place in line for the order lease; 0 is the first.

    The last holder comes first, the others follow by name.

    :param state: an :class:`EdgeState`.
    """
    own = state.settings.instance.name
    names = [
        peer.report.name
        for peer in state.peers.values()
        if peer.report.is_ready and peer.report.has_store
    ]
    last = (
        state.lease.last_record_.holder if state.lease.last_record_ is not None else ""
    )
    order = sorted([*names, own], key=lambda name: (name != last, name))
    return order.index(own)
