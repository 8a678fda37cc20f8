"""The once-only decisions of one process, put together."""

from wasabistage.once._batcher import LogBatcher
from wasabistage.once._fold import ClaimFold
from wasabistage.once._keys import key_time
from wasabistage.once._log_first import LogFirstPolicy
from wasabistage.once._messages import (
    AppendConfirmed,
    AppendFailed,
    AppendUnknown,
    CallArrived,
    ReadFailed,
    ReadLog,
    RecordsRead,
    Reply,
    TicketsQuery,
    Verdict,
)
from wasabistage.once._policy import OncePolicy
from wasabistage.once._ticket_policy import TicketPolicy
from wasabistage.once._tickets import TicketMint, parse_ticket


class OnceCoordinator(OncePolicy):
    """Pick the policy by the form of the key, and share one log between them.

    A ticket goes to its home, whatever the service declares by now; a UUIDv7 is
    claimed in the log first. So a key is never under two policies, also while a
    new configuration changes a call's ``outage``.

    :param incarnation: random id of this process's life, letters and digits.
    :param secret: at least 16 random bytes for the tickets' codes.
    :param fold: a :class:`ClaimFold`; ``None`` for one with defaults.
    :param batcher: a :class:`LogBatcher`; ``None`` for one with defaults.
    :param tickets: a :class:`TicketPolicy`; ``None`` for one with defaults.
    :param own_keys: a :class:`LogFirstPolicy`; ``None`` for one with defaults.
    :param poll_interval: time between two reads of the log's end, in seconds.
    :param read_interval: least time between two reads while a decision waits for
        the log, in seconds.
    """

    def __init__(
        self,
        *,
        incarnation,
        secret,
        fold=None,
        batcher=None,
        tickets=None,
        own_keys=None,
        poll_interval=1.0,
        read_interval=0.02,
    ):
        self.incarnation = incarnation
        self.secret = secret
        self.fold = fold
        self.batcher = batcher
        self.tickets = tickets
        self.own_keys = own_keys
        self.poll_interval = poll_interval
        self.read_interval = read_interval

    def reset(self):
        """Build and reset the parts.

        :return: the coordinator itself.
        :raises SettingError: if an argument of a part is out of range.
        """
        super().reset()
        self.fold_ = self.fold or ClaimFold(incarnation=self.incarnation)
        self.batcher_ = self.batcher or LogBatcher()
        shared = {
            "incarnation": self.incarnation,
            "fold": self.fold_,
            "batcher": self.batcher_,
        }
        mint = TicketMint(self.incarnation, self.secret)
        self.tickets_ = self.tickets or TicketPolicy(mint=mint, **shared)
        self.own_keys_ = self.own_keys or LogFirstPolicy(**shared)
        self.policies_ = (self.tickets_, self.own_keys_)
        for part in (self.fold_, self.batcher_, *self.policies_):
            part.reset()
        self.reading_ = False
        self.last_read_ = float("-inf")
        return self

    def observe(self, event, now):
        """Hand an event to the parts that it concerns.

        :param event: a message of this package.
        :param now: monotonic time, in seconds.
        """
        match event:
            case CallArrived():
                self._route(event, now)
                return
            case RecordsRead() | ReadFailed():
                self.reading_ = False
                self.fold_.observe(event, now)
                self.batcher_.observe(event, now)
            case AppendConfirmed() | AppendFailed() | AppendUnknown():
                self.batcher_.observe(event, now)
        for policy in self.policies_:
            policy.observe(event, now)

    def decide(self, query, now):
        """Issue tickets, or tell what the log says about a key.

        :param query: an :class:`TicketsQuery` or a :class:`CallKey`.
        :param now: monotonic time, in seconds.
        :return: tickets or ``NO_TICKETS``; a :class:`Standing`.
        """
        if isinstance(query, TicketsQuery):
            return self.tickets_.decide(query, now)
        return self.fold_.decide(query, now)

    def tick(self, now):
        """Return the actions that are due, appends first.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        for record in self.fold_.tick(now):
            self.batcher_.offer(record)
        follow = [action for policy in self.policies_ for action in policy.tick(now)]
        self._count(follow)
        actions = self.batcher_.tick(now) + self._read(now) + follow
        return actions + super().tick(now)

    def is_drained(self):
        """Tell whether every call has ended and its records are in the log.

        A shutdown waits for it, within its bound: with the log down the records
        stay where they are.
        """
        idle = all(policy.is_idle() for policy in self.policies_)
        return idle and self.batcher_.decide(None, 0.0) == 0

    def _route(self, event, now):
        if parse_ticket(event.key.key):
            self.tickets_.observe(event, now)
        elif key_time(event.key.key):
            self.own_keys_.observe(event, now)
        else:
            reason = "the idempotency key is neither a ticket nor a UUIDv7"
            self.reply(event.attempt, event.key, Verdict.BAD_KEY, reason)

    def _read(self, now):
        wanted = self.batcher_.needs_read_ or any(p.needs_read_ for p in self.policies_)
        since = now - self.last_read_
        due = since >= (self.read_interval if wanted else self.poll_interval)
        if self.reading_ or not due:
            return []
        self.reading_ = True
        self.last_read_ = now
        return [ReadLog(start=self.fold_.position_ or 0)]

    def _count(self, actions):
        for action in actions:
            if isinstance(action, Reply):
                self.verdicts_[action.verdict] += 1
