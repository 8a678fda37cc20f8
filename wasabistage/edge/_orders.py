"""The task that brings engines to the named weight version."""

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

PERIOD = 0.1  # seconds between two looks at what is to be ordered
ORDER_LEAD_SECONDS = 0.3  # seconds without new requests, in which most runs end
REPORT_PERIOD = 0.1  # seconds between two questions for a loading server's state
CALL_TIMEOUT = 0.5  # seconds; servers answer orders in milliseconds
#: Seconds that the append of a record may take before others may keep its engines; a
#: well store takes milliseconds, a slow one some tenths.
RELEASE_AFTER = 0.25
#: Seconds without orders after an append failed: the waits of three places, so that
#: another entry takes over; if the answer alone was lost, little time is.
STAND_ASIDE = 0.9
LOAD_LIMIT = 5.0  # seconds for runs to end and weights to load


class OrderTask:
    """Orders weight versions while this entry holds the lease.

    :param state: an :class:`EdgeState`.
    :param store: a :class:`wasabistage.fleet.RecordStore`.
    :param watch: the :class:`OrderWatch`.
    """

    def __init__(self, state, store, watch):
        self.state = state
        self.store = store
        self.watch = watch
        self.nursery = None
        self.denied = ""
        self.claiming = trio.Lock()
        self.aside_until = float("-inf")
        #: Engines that are kept for an order that has not left yet.
        self.kept = set()
        self.claim_begun_at = None

    async def run(self):
        """Order until cancelled."""
        async with trio.open_nursery() as self.nursery:
            while True:
                await trio.sleep(PERIOD)
                if not self.state.is_draining:
                    await self._look()

    async def _look(self):
        state, now = self.state, self.state.timer.now()
        if not state.gossip.has_store or now < self.aside_until:
            return
        if self.claim_begun_at is not None:
            await self._release_late(now)
            return
        candidates = swap_candidates(state)
        query = VersionLoadQuery(
            candidates=candidates, excluded_servers=state.lease.excluded_servers(now)
        )
        swaps = state.swap.decide(query, now)
        wanted = tuple(swap.server for swap in swaps)
        query = LeaseQuery(servers=wanted, place=order_place(state))
        claim = state.lease.decide(query, now)
        if not swaps:
            return
        if not claim:
            self._note_denied(claim.reason, wanted)
            return
        self.denied = ""
        for swap in swaps:
            if swap.server in claim.servers:
                state.swap.observe(ServerOrdered(server=swap.server), now)
                state.gossip.ordering.add(swap.server)
                self.kept.add(swap.server)
                self.nursery.start_soon(self._order, swap)
        await state.gossip.tell()

    async def _release_late(self, now):
        """Leave the engines to other entries if the store doesn't answer."""
        if now - self.claim_begun_at > RELEASE_AFTER and self.kept:
            self.state.log.write("order_released", servers=sorted(self.kept))
            self.state.gossip.ordering -= self.kept
            self.kept.clear()
            await self.state.gossip.tell()

    def _note_denied(self, reason, servers):
        if reason != self.denied:
            self.denied = reason
            self.state.log.write("order_lease_denied", reason=reason, servers=servers)

    async def _claim(self, server):
        """Append a record that names a server; return whether it may be ordered.

        It is appended right before the order: a holder that halts between the two
        keeps its successor from the server for the whole turn.
        """
        state = self.state
        async with self.claiming:
            # The wait for this entry's turn was over before it kept work away.
            query = LeaseQuery(servers=(server,), place=0)
            claim = state.lease.decide(query, state.timer.now())
            if not claim:
                self._note_denied(claim.reason, (server,))
                return False
            self.claim_begun_at = state.timer.now()
            try:
                return await self._append(claim)
            finally:
                self.claim_begun_at = None

    async def _append(self, claim):
        state = self.state
        name, begun_at = state.settings.instance.name, state.timer.now()
        value = OrderRecord(
            holder=name, incarnation=state.incarnation, servers=list(claim.servers)
        )
        try:
            offset = await self.store.append(
                Topic.ORDERS,
                msgspec.json.encode(value),
                expected_end=claim.expected_end,
            )
        except OvertakenError:
            state.log.write("order_lease_overtaken", end=claim.expected_end)
            self.watch.look()
            return False
        except StoreError as error:
            state.log.write("order_lease_failed", reason=str(error))
            self.aside_until = state.timer.now() + STAND_ASIDE
            return False
        record = LeaseRecord(
            offset=offset,
            holder=name,
            incarnation=state.incarnation,
            servers=claim.servers,
        )
        state.lease.observe(
            LeaseRecordAppended(record=record, begun_at=begun_at), state.timer.now()
        )
        state.log.write("order_lease_held", offset=offset, servers=claim.servers)
        return True

    async def _order(self, swap):
        """Order one server and wait until it runs the version."""
        state, ok = self.state, False
        try:
            with trio.move_on_after(LOAD_LIMIT):
                ok = await self._order_once(swap)
        except ChannelError as error:
            state.log.write("order_failed", server=swap.server, reason=str(error))
        finally:
            state.gossip.ordering.discard(swap.server)
            self.kept.discard(swap.server)
            event = VersionLoadEnded(server=swap.server, ok=ok)
            state.swap.observe(event, state.timer.now())

    async def _order_once(self, swap):
        """Order one server; return whether it runs the version."""
        state = self.state
        record = state.servers.get(swap.server)
        if record is None:
            return False
        await trio.sleep(ORDER_LEAD_SECONDS)
        report = await state.platform.read_report(record.address, CALL_TIMEOUT)
        state.note_server_clock(report.clock)
        version = report.versions.get(swap.model, 0)
        if version >= swap.version:
            self._note_version(record, swap.model, version)
            return True
        if not await self._claim(swap.server):
            return False
        if not await self._send(record, swap, report):
            return False
        await self._wait_loaded(record, swap)
        return True

    async def _send(self, record, swap, report):
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
        self.kept.discard(swap.server)
        state.gossip.ordering.add(swap.server)
        answer = await state.platform.send_order(record.address, order, CALL_TIMEOUT)
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
        return answer in (OrderAnswer.ACCEPTED, OrderAnswer.HOLDS, OrderAnswer.BUSY)

    async def _wait_loaded(self, record, swap):
        """Ask a loading server for its state until it runs the version."""
        state = self.state
        while True:
            await trio.sleep(REPORT_PERIOD)
            report = await state.platform.read_report(record.address, CALL_TIMEOUT)
            version = report.versions.get(swap.model)
            if (
                version is not None
                and version >= swap.version
                and not report.is_loading
            ):
                self._note_version(record, swap.model, version)
                await state.gossip.tell()
                return

    def _note_version(self, record, model, version):
        state, now = self.state, self.state.timer.now()
        event = ServerVersionReported(
            server=record.server,
            incarnation=record.incarnation,
            model=model,
            version=version,
        )
        state.swap.observe(event, now)
        state.gossip.note_version(record.server, record.incarnation, model, version)
        state.log.write("server_loaded", server=record.server, version=version)


def swap_candidates(state):
    """Return the engines that are listed as usable.

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


def order_place(state):
    """Return an entry's place for orders: the last holder first, then by name.

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
