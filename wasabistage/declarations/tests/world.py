"""A small world of publishers, entries and one log, driven by a list of steps."""

import random

from wasabistage.declarations import (
    ANY_BASE,
    Accepted,
    AppendAnswered,
    AppendFailed,
    ClientAccount,
    ConfigFold,
    ConfigProposed,
    Deployment,
    InForceQuery,
    LogFailed,
    LogRead,
    LogRecord,
    NotAccepted,
    OutcomeQuery,
    Overtaken,
    PeerState,
    PublishPolicy,
    ReadLog,
    carried_record,
    digest_of,
    encode_record,
)

ENTRIES = 3
STEPS = (
    "publish",
    "step",
    "step",
    "step",
    "step",
    "step",
    "read",
    "read",
    "read",
    "tell",
    "restart",
    "carry",
    "stale_carry",
    "junk",
    "foreign",
    "future",
    "trim",
    "land",
    "flip_log",
    "republish",
)


class Log:
    """A log that trims, fails, and loses or delays answers."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.up = True
        self.late = []

    def append(self, data):
        self.records.append(data)
        return len(self.records) - 1

    def read(self, offset, limit=100):
        start = max(offset, self.first)
        end = min(len(self.records), start + limit)
        found = tuple(
            LogRecord(offset=place, data=self.records[place])
            for place in range(start, end)
        )
        tail = len(self.records)
        return LogRead(start=start, end=max(start, end), records=found, tail=tail)


class World:
    """Carries steps out and checks after each what must always hold."""

    def __init__(self, fold=ConfigFold, publisher=PublishPolicy):
        self.fold = fold
        self.publisher = publisher
        self.log = Log()
        self.truth = ConfigFold().reset()
        self.truth_at = {0: 0}
        self.versions = set()
        self.entries = [fold().reset() for _ in range(ENTRIES)]
        self.served = [0] * ENTRIES
        self.told = []
        self.publishers = []
        self.all_publishers = []
        self.now = 0.0
        self.told_outcomes = 0

    def run(self, steps):
        for name, number in steps:
            self.now += 0.3
            getattr(self, name)(number)
            self.follow()
            self.check()

    def follow(self):
        """Let the reference fold see each record as it lands, one at a time."""
        while self.truth.state_.next < len(self.log.records):
            offset = self.truth.state_.next
            record = LogRecord(offset=offset, data=self.log.records[offset])
            read = LogRead(start=offset, end=offset + 1, records=(record,))
            self.truth.observe(read, self.now)
            self.truth_at[offset + 1] = self.truth.state_.version
            self.versions.add(self.truth.state_.version)

    def check(self):
        for index, entry in enumerate(self.entries):
            state = entry.state_
            assert self.truth_at[state.next] == state.version, "state is not exact"
            served = entry.decide(InForceQuery(), self.now)
            version = served.version if served else 0
            assert version >= self.served[index], "entry went back"
            assert version in self.versions or not version, "never accepted"
            self.served[index] = version
        for publisher in self.all_publishers:
            outcome = publisher.outcome_
            real = self.truth.decide(OutcomeQuery(id=publisher.id), self.now)
            if isinstance(outcome, Accepted) and not outcome.unchanged:
                assert real and real.accepted, "told accepted, but it was not"
                assert real.version == outcome.version, "told another version"
            if isinstance(outcome, Overtaken):
                assert not (real and real.accepted), "told overtaken, but accepted"
            if isinstance(outcome, NotAccepted) and not outcome.may_take_effect:
                assert not real, "told that no append ran, but one did"

    def settle(self):
        """End all faults; every entry must come to the newest version."""
        self.log.up = True
        self.land_all()
        for number in range(400):
            self.now += 0.3
            for publisher in list(self.publishers):
                self.act(publisher, 7)
            self.follow()
            self.check()
            if not self.publishers and number > 3:
                break
        assert not self.publishers, "a publisher never ended"
        self.log.append(carried_record(self.truth.state_, "settle"))
        self.follow()
        for entry in self.entries:
            entry.observe(self.log.read(entry.read_from, 10**6), self.now)
        self.check()
        for entry in self.entries:
            assert entry.state_.version == self.truth.state_.version, "not converged"
            assert not entry.has_gap, "gap stays open"
        self.told_outcomes = sum(
            isinstance(p.outcome_, Accepted | Overtaken) for p in self.all_publishers
        )

    def land_all(self):
        while self.log.late:
            self.log.append(self.log.late.pop())
            self.follow()

    def publish(self, number):
        if len(self.publishers) >= 3:
            return
        deployment = make_deployment(number % 50)
        publisher = self.publisher(
            deployment,
            id=f"p{len(self.all_publishers)}",
            any_base=number % 7 == 0,
            timeout=15.0,
            retry_delay=0.2,
        ).reset()
        if number % 2 and self.told:
            publisher.observe(PeerState(state=self.told[number % len(self.told)]), 0)
        self.publishers.append(publisher)
        self.all_publishers.append(publisher)

    def republish(self, number):
        """An operator publishes the same once more after an unknown outcome."""
        ended = [p for p in self.all_publishers if isinstance(p.outcome_, NotAccepted)]
        if ended and len(self.publishers) < 3:
            deployment = ended[number % len(ended)].deployment
            again = self.publisher(deployment, id=f"p{len(self.all_publishers)}")
            self.publishers.append(again.reset())
            self.all_publishers.append(again)

    def step(self, number):
        if self.publishers:
            self.act(self.publishers[number % len(self.publishers)], number // 3)

    def act(self, publisher, fault):
        actions = publisher.tick(self.now)
        if not actions:
            if publisher.outcome_:
                self.publishers.remove(publisher)
            return
        if isinstance(actions[0], ReadLog):
            up = self.log.up and fault % 8
            read = self.log.read(actions[0].offset, 1 + fault % 20)
            publisher.observe(read if up else LogFailed(), self.now)
        else:
            publisher.observe(self.append(actions[0].data, fault % 8), self.now)

    def append(self, data, fault):
        if not self.log.up:
            return AppendFailed(may_have_run=False)
        if fault == 0:
            return AppendFailed()
        if fault == 1:
            self.log.append(data)
            return AppendFailed()
        if fault == 2:
            self.log.late.append(data)
            return AppendFailed()
        if fault == 3:
            self.log.append(data)
            return AppendAnswered(offset=self.log.append(data))
        return AppendAnswered(offset=self.log.append(data))

    def land(self, number):
        if self.log.late:
            self.log.append(self.log.late.pop(number % len(self.log.late)))

    def read(self, number):
        entry = self.entries[number % ENTRIES]
        if self.log.up:
            read = self.log.read(entry.read_from, 1 + number // 3 % 6)
            entry.observe(read, self.now)
            entry.tick(self.now)
            self.told.append(entry.state_)

    def tell(self, number):
        """A state of any age reaches an entry, in any order."""
        if self.told:
            state = self.told[number // ENTRIES % len(self.told)]
            self.entries[number % ENTRIES].observe(PeerState(state=state), self.now)

    def restart(self, number):
        self.entries[number % ENTRIES] = self.fold().reset()
        self.served[number % ENTRIES] = 0

    def carry(self, number):
        state = self.entries[number % ENTRIES].state_
        if self.log.up and state.head:
            self.log.append(carried_record(state, "carry"))

    def stale_carry(self, number):
        if self.told and self.log.up:
            state = self.told[number % len(self.told)]
            self.log.append(carried_record(state, "stale"))

    def junk(self, number):
        self.log.append(random.Random(number).randbytes(number % 40))

    def foreign(self, number):
        record = self.proposal(b"{}", format=1, seen=number % 30)
        self.log.append(record if number % 2 else record[:-3])

    def future(self, number):
        self.log.append(self.proposal(b"\x00future", format=2, seen=0))

    def proposal(self, payload, format, seen):
        base = self.truth.state_.version if seen % 3 else ANY_BASE
        return encode_record(
            ConfigProposed(
                id=f"f{len(self.log.records)}",
                base_version=base,
                digest=digest_of(payload),
                payload=payload,
                format=format,
                seen=seen,
            )
        )

    def trim(self, number):
        kept = len(self.log.records) - self.log.first
        self.log.first += number % (kept + 1)

    def flip_log(self, number):
        self.log.up = number % 4 != 0


def make_deployment(number):
    digest = f"{number:064x}"
    account = ClientAccount(name="a", key_hashes=(digest,), weight=1.0 + number)
    return Deployment(name="d", failure_domains=("x",), accounts={"a": account})


def seeded_steps(seed, length=60):
    draw = random.Random(seed)
    return [(draw.choice(STEPS), draw.randrange(1 << 16)) for _ in range(length)]


def explore(seeds, **kinds):
    """Run seeded schedules; return the messages of the checks that failed."""
    failures = []
    outcomes = 0
    for seed in seeds:
        world = World(**kinds)
        try:
            world.run(seeded_steps(seed))
            world.settle()
        except AssertionError as error:
            failures.append(f"seed {seed}: {error}")
        outcomes += world.told_outcomes
    return failures, outcomes
