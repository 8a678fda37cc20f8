"""Faults that a soak injects from outside the processes, and their schedule."""

import signal
from dataclasses import dataclass
from random import Random

import trio

from tools.soak._checks import LISTING_SECONDS
from tools.soak._world import BEAT_SECONDS, SERVE_AFTER_LEAVING_SECONDS, Grey

STOP_SECONDS = 8.0
MAX_AWAY_SECONDS = 1.0  # of the store in a drill
MAX_COPY_AGE = 8.0  # seconds, of the copy from which it returns
REMOVED_KEY_INTERVAL_SECONDS = 0.05  # pause between two requests with a removed key
LAPSE_GAP_SECONDS = 0.3  # pause between two servers whose records vanish
ODD_VALUES = (
    b'{"service":"app","later":' + b"[" * 1500,
    b'{"service":"app","address":"127.0.0.1:99999","state":"ready","born":1}',
    b'{"service":"app","address":"127.0.0.1:1","state":"ready","born":' + b"9" * 400,
    '{"service":"app","address":"127.0.0.1:\u0662","state":"ready"}'.encode(),
    b'{"service":"app","address":"127.0.0.1:1","state":"ready","slots":1e400}',
    b'\xff\xfe{"service"',
)


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault.

    :param at: seconds from the start of traffic.
    :param kind: name of a method of :class:`FaultInjector`.
    :param seconds: how long it lasts.
    :param share: share of the things that it strikes.
    """

    at: float
    kind: str
    seconds: float
    share: float = 0.0


def draw_schedule(random, kinds, seconds, count):
    """Return faults in series that overlap.

    :param random: a seeded ``random.Random``.
    :param kinds: names of kinds to draw from.
    :param seconds: length of the run.
    :param count: number of faults.
    :return: list of :class:`Fault`, in order of time.
    """
    faults = [
        Fault(
            at=round(random.uniform(0.05, 0.75) * seconds, 2),
            kind=random.choice(kinds),
            seconds=round(random.uniform(0.5, 6.0), 2),
            share=round(random.uniform(0.2, 1.0), 2),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at)


class FaultInjector:
    """Plays a schedule.

    :param world: a :class:`tools.soak._world.World`.
    :param seed: of the choices of what a fault strikes.
    """

    def __init__(self, world, seed):
        self.world = world
        # Apart from the callers' choices, whose number depends on the time.
        self.random = Random(seed)
        self.odd_count = 0
        self.key_count = 0

    async def play(self, schedule):
        """Play faults at their times; return when the last one is over."""
        async with trio.open_nursery() as nursery:
            for fault in schedule:
                nursery.start_soon(self._play_one, fault)

    async def _play_one(self, fault):
        await trio.sleep(fault.at)
        await getattr(self, fault.kind)(fault)

    def _draw(self, items, share):
        items = list(items)
        count = max(1, round(share * len(items)))
        return self.random.sample(items, min(count, len(items)))

    async def kill(self, fault):
        """Kill some entries and start them again."""
        programs = self._draw(self.world.programs, fault.share)
        self.world.disturb(fault.seconds + 2.0, *(item.name for item in programs))
        for program in programs:
            await program.kill()
        await trio.sleep(fault.seconds)
        for program in programs:
            if not program.is_running:
                program.start()

    async def restart_in_turn(self, fault):
        """Stop entries with SIGTERM one after the other and start them again."""
        for program in self._draw(self.world.programs, min(fault.share, 0.3)):
            now = self.world.timer.now()
            stop = now, now + STOP_SECONDS, program.name
            self.world.record.stops.append(stop)
            process = program.process
            program.send_signal(signal.SIGTERM)
            with trio.move_on_after(STOP_SECONDS):
                while process is not None and process.poll() is None:
                    await trio.sleep(0.05)
            # Another fault may have started the next process meanwhile.
            if program.process is process:
                await program.kill()
                program.start()

    async def freeze(self, fault):
        """Stop some entries and let them go on."""
        programs = self._draw(self.world.programs, fault.share)
        self.world.disturb(fault.seconds, *(item.name for item in programs))
        for program in programs:
            program.send_signal(signal.SIGSTOP)
        await trio.sleep(fault.seconds)
        for program in programs:
            program.send_signal(signal.SIGCONT)

    async def reload(self, fault):
        """Send SIGHUP to some entries."""
        for program in self._draw(self.world.programs, fault.share):
            reload = self.world.timer.now(), program.name
            self.world.record.reloads.append(reload)
            program.send_signal(signal.SIGHUP)

    async def publish(self, fault):
        """Write the next configuration, which changes nothing."""
        self._publish_next()

    def _publish_next(self):
        _, version = self.world.record.publications[-1]
        self.world.publish(version + 1)

    async def revoke(self, fault):
        """Give out a key, take it away, and try it when no entry may accept it."""
        world = self.world
        self.key_count += 1
        key = f"removed-{self.key_count}"
        world.keys.append(key)
        self._publish_next()
        await trio.sleep(1.0)
        world.keys.remove(key)
        self._publish_next()
        await trio.sleep(world.bounds.revoke)
        with trio.move_on_after(fault.seconds):
            while True:
                program = self.random.choice(world.programs)
                world.nursery.start_soon(world.try_removed_key, key, program)
                await trio.sleep(REMOVED_KEY_INTERVAL_SECONDS)

    async def bump(self, fault):
        """Name new weights."""
        world = self.world
        world.weight_version += 1
        named = {"model": "m", "version": world.weight_version}
        world.store.put("version/m", named)

    async def lapse(self, fault):
        """Let the records of servers vanish for their silence, and return."""
        world = self.world
        staying = [item for item in world.servers if not item.is_leaving]
        for server in self._draw(staying, 0.5 * fault.share):
            world.store.put(server.server, None, "keyed.servers")
            world.nursery.start_soon(self._relist, server, fault.seconds)
            await trio.sleep(LAPSE_GAP_SECONDS)

    async def _relist(self, server, seconds):
        await trio.sleep(seconds)
        if not server.is_leaving:
            self.world.list_server(server)

    async def stall(self, fault):
        """Let some engines send no event of their streams for a time."""
        engines = [item for item in self.world.servers if item.model]
        until = self.world.timer.now() + fault.seconds
        for engine in self._draw(engines, fault.share):
            engine.stalled_until = until
        await trio.sleep(fault.seconds)

    async def grey(self, fault):
        """Let some servers fail part of their requests."""
        how = self.random.choice(("shed", "error", "reset"))
        servers = self._draw(self.world.servers, fault.share)
        for server in servers:
            server.grey = Grey(max(0.3, fault.share), how)
        await trio.sleep(fault.seconds)
        for server in servers:
            server.grey = Grey()

    async def slow(self, fault):
        """Let some plain servers answer late."""
        plain = [item for item in self.world.servers if not item.model]
        servers = self._draw(plain, fault.share)
        for server in servers:
            server.behaviour.pause = self.random.uniform(0.2, 3.5)
        await trio.sleep(fault.seconds)
        for server in servers:
            server.behaviour.pause = 0.0

    async def crash(self, fault):
        """Let some servers crash; they start again."""
        for server in self._draw(self.world.servers, 0.5 * fault.share):
            server.behaviour.down_seconds = fault.seconds
            self.world.record.crashes.append((self.world.timer.now(), server.server))
            if server.life_scope is not None:
                server.life_scope.cancel()

    async def leave(self, fault):
        """Let a server announce that it leaves, or go from the list at once."""
        world = self.world
        staying = [item for item in world.servers if not item.is_leaving]
        server = self.random.choice(staying)
        server.is_leaving = True
        await world.add_server(server.service)
        await trio.sleep(0.5)
        is_announced = self.random.random() < 0.7
        if is_announced:
            world.list_server(server, state="draining")
        else:
            self._unlist(server)
        world.record.leavings[server.server] = world.timer.now()
        await trio.sleep(SERVE_AFTER_LEAVING_SECONDS)
        if is_announced:
            self._unlist(server)

    def _unlist(self, server):
        """Remove the record of a server for good."""
        self.world.unlisted.add(server.server)
        self.world.store.put(server.server, None, "keyed.servers")

    def _split_off_zone(self, share):
        """Put a share of the servers of each service into a failure domain of its own.

        :return: list of the servers.
        """
        chosen = []
        for service in ("app", "llm"):
            servers = [item for item in self.world.servers if item.service == service]
            servers = [item for item in servers if not item.is_leaving]
            chosen += servers[: max(1, round(share * len(servers)))]
        for server in chosen:
            server.zone = "b"
            self.world.list_server(server)
        return chosen

    async def cold_return(self, fault):
        """Let a failure domain lose power and return cold, all servers at once."""
        world = self.world
        servers = self._split_off_zone(fault.share)
        for server in servers:
            server.behaviour.down_seconds = fault.seconds
            if server.life_scope is not None:
                server.life_scope.cancel()
        await trio.sleep(fault.seconds)
        listed_at = world.timer.now()
        until = listed_at + world.bounds.cold_seconds
        for server in servers:
            server.cold_until = until
            world.record.cold_spans.append((listed_at, until, server.server))
        while (now := world.timer.now()) < until:
            for server in servers:
                world.list_server(server)
            await trio.sleep(min(1.0, max(0.1, until - now)))
        for server in servers:
            world.list_server(server)

    async def evacuate(self, fault):
        """Order the evacuation of a failure domain, and withdraw it."""
        world = self.world
        servers = frozenset(item.server for item in self._split_off_zone(fault.share))
        # Long enough for every entry to know the failure domain of each server.
        await trio.sleep(2.0)
        world.store.put("evacuate/b", {"by": "soak"})
        ordered_at = world.timer.now()
        await trio.sleep(world.bounds.evacuate + fault.seconds)
        world.record.evacuations.append((ordered_at, world.timer.now(), servers))
        world.store.put("evacuate/b", None)

    async def drill(self, fault):
        """Let the store be away for a moment and return from an older copy.

        The operator and the living servers write again what was lost; the records of
        servers that have gone expire again.
        """
        world, store = self.world, self.world.store
        away, age = min(fault.seconds, MAX_AWAY_SECONDS), MAX_COPY_AGE * fault.share
        world.disturb(away + LISTING_SECONDS)
        store.is_down = True
        await trio.sleep(away)
        lost = store.go_back(age + away)
        for data in lost.get("keyed.op", ()):
            store.append("keyed.op", data)
        store.is_down = False
        world.record.drills.append((world.timer.now(), age))
        await trio.sleep(self.random.uniform(0.0, BEAT_SECONDS))
        for server in world.servers:
            if server.server not in world.unlisted:
                world.list_server(server, **server.listed)
        await trio.sleep(3.0 * BEAT_SECONDS)
        for server in world.unlisted:
            world.store.put(server, None, "keyed.servers")

    async def dedicate(self, fault):
        """Make a client account dedicated for a time, and release it."""
        world = self.world
        account = self.random.choice(sorted(world.accounts))
        if account in world.dedicated:
            return
        world.dedicated.add(account)
        self._publish_next()
        begun_at = world.timer.now()
        await trio.sleep(world.bounds.configuration + fault.seconds)
        world.record.dedications.append((begun_at, world.timer.now(), account))
        world.dedicated.discard(account)
        self._publish_next()

    async def odd_entry(self, fault):
        """Let another writer leave an entry that can't be read."""
        self.odd_count += 1
        value = self.random.choice(ODD_VALUES)
        topic = self.random.choice(("keyed.servers", "keyed.entries", "keyed.op"))
        key = f"odd-{self.odd_count}".encode()
        self.world.store.append(topic, bytes([len(key)]) + key + value)

    async def lose_answers(self, fault):
        """Let the store give no answer on some topics."""
        topics = self._draw(("keyed.op", "keyed.servers", "keyed.entries"), fault.share)
        store = self.world.store
        self.world.disturb(fault.seconds)
        store.lost_topics.update(topics)
        await trio.sleep(fault.seconds)
        store.lost_topics.difference_update(topics)

    async def answer_late(self, fault):
        """Let the store answer late on some topics."""
        topics = self._draw(("keyed.op", "keyed.servers", "keyed.entries"), fault.share)
        store = self.world.store
        self.world.disturb(fault.seconds + 2.0)
        for topic in topics:
            store.late_seconds[topic] = self.random.uniform(0.5, 2.0)
        await trio.sleep(fault.seconds)
        for topic in topics:
            store.late_seconds.pop(topic, None)

    async def trim(self, fault):
        """Let the store forget the history of a topic."""
        store = self.world.store
        topic = self.random.choice(("keyed.op", "keyed.servers", "orders"))
        store.first_offsets[topic] = len(store.topics.get(topic, []))
