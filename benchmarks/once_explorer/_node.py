"""One process life of an entry, and the classes it is built from."""

from dataclasses import dataclass

from benchmarks.once_explorer._limits import (
    ATTEMPT_TIME,
    CLOCK_SKEW,
    EPOCH,
    FIRST_USE,
    HORIZON,
    MEMORY,
    RETENTION,
)
from wasabistage.once import (
    AppendRecords,
    CallArrived,
    ClaimFold,
    Dispatch,
    ForwardToHome,
    LogBatcher,
    LogFirstPolicy,
    OnceCoordinator,
    ReadLog,
    Reply,
    TicketMint,
    TicketPolicy,
    UncheckedPolicy,
)


@dataclass(frozen=True)
class Variant:
    """Classes that a schedule is run with.

    :param name: name in tables.
    :param tickets: whether callers use tickets; ``None`` for both kinds of key.
    :param ticket_policy: class for ticketed keys.
    :param own_policy: class for callers' own keys.
    :param fold: class of the fold.
    :param unchecked: whether the baseline runs instead.
    :param keep: time for which the log really keeps records, in seconds.
    """

    name: str
    tickets: bool | None = None
    ticket_policy: type = TicketPolicy
    own_policy: type = LogFirstPolicy
    fold: type = ClaimFold
    unchecked: bool = False
    keep: float = RETENTION


VARIANTS = (
    Variant(name="tickets", tickets=True),
    Variant(name="log_first", tickets=False),
    Variant(name="unchecked", unchecked=True),
)


class Node:
    """One process life of an entry; it may pause, and acts on stale state after."""

    def __init__(self, world, slot, variant):
        self.world = world
        self.slot = slot
        rng = world.rng
        self.incarnation = f"i{rng.getrandbits(64):x}"
        self.boot = rng.uniform(0.0, 1000.0)
        self.resumes = 0.0
        self.dead = False
        self.callers = {}
        self.calls = {}
        self.next_tick = None
        self.policy = build_policy(variant, self.incarnation, rng.randbytes(16))
        self.tick_in(0.0)

    def mono(self):
        """Monotonic time of this process."""
        return self.world.now + self.boot

    def wall_time(self):
        """Wall time of this process, each time wrong by up to the skew."""
        skew = self.world.rng.uniform(-CLOCK_SKEW, CLOCK_SKEW)
        return EPOCH + self.world.now + skew

    def when_awake(self, function, *args):
        """Call now, or when the process resumes, or never if it died."""
        if self.dead:
            return
        if self.world.now < self.resumes:
            delay = self.resumes - self.world.now
            self.world.at(delay, self.when_awake, function, *args)
            return
        function(*args)

    def deliver_in(self, delay, event):
        """Let an event reach this process."""
        self.world.at(delay, self.when_awake, self.handle, event)

    def handle(self, event):
        """Feed one event and carry out what follows."""
        event = event() if callable(event) else event
        self.policy.observe(event, self.mono())
        self.tick()

    def tick(self):
        """Start each action, a little later, with a possible pause before."""
        for action in self.policy.tick(self.mono()):
            delay = self.world.rng.uniform(0.0, 0.003)
            if isinstance(action, Dispatch) and self.world.rng.random() < 0.1:
                self.world.maybe_pause(self, 0.5)
            self.world.at(delay, self.when_awake, self.perform, action)
        self.tick_in(0.25 if self.is_busy() else 3.0)

    def is_busy(self):
        """Tell whether something of this process waits."""
        if isinstance(self.policy, UncheckedPolicy):
            return False
        policies = self.policy.policies_
        waits = any(p.waiting_states_ or p.needs_read_ or p.forwards_ for p in policies)
        return waits or self.policy.batcher_.decide(None, 0.0) > 0

    def tick_in(self, delay):
        """Arrange the next tick, no later than one arranged before."""
        due = self.world.now + delay
        if self.next_tick is None or due < self.next_tick:
            self.next_tick = due
            self.world.at(delay, self.when_awake, self._on_timer, due)

    def _on_timer(self, due):
        if self.next_tick == due:
            self.next_tick = None
            self.tick()

    def perform(self, action):
        """Carry out one action."""
        match action:
            case AppendRecords():
                self.world.log.append(self, action)
            case ReadLog():
                self.world.log.read(self, action)
            case Dispatch():
                self.world.dispatch(self, action)
            case ForwardToHome():
                self.world.forward(self, action)
            case Reply():
                self.world.see(action)
                receive = self.callers.pop(action.attempt, None)
                if receive is not None:
                    receive(action)

    def take(self, call, receive):
        """Accept an attempt whose bytes reached this process."""

        def arrive():
            name = self.world.name()
            self.callers[name] = receive
            self.calls[name] = call
            life = ATTEMPT_TIME * 0.8
            return CallArrived(
                attempt=name,
                deadline=self.mono() + life,
                wall_time=self.wall_time(),
                **call,
            )

        self.deliver_in(self.world.rng.uniform(0.0005, 0.002), arrive)


def build_policy(variant, incarnation, secret):
    """Build the policy of one process life with short times."""
    if variant.unchecked:
        return UncheckedPolicy().reset()
    fold = variant.fold(
        incarnation=incarnation,
        retention=RETENTION,
        horizon=HORIZON,
        clock_skew=CLOCK_SKEW,
    )
    batcher = LogBatcher(interval=0.02, retry_interval=0.5)
    shared = {"incarnation": incarnation, "fold": fold, "batcher": batcher}
    tickets = variant.ticket_policy(
        mint=TicketMint(incarnation, secret),
        first_use=FIRST_USE,
        memory=MEMORY,
        **shared,
    )
    return OnceCoordinator(
        incarnation=incarnation,
        secret=secret,
        fold=fold,
        batcher=batcher,
        tickets=tickets,
        own_keys=variant.own_policy(**shared),
        poll_interval=3.0,
        read_interval=0.2,
    ).reset()
