"""Coordinator of the once-only policies of one process."""

from wasabistage.once._batcher import LogBatcher
from wasabistage.once._fold import ClaimFold
from wasabistage.once._keys import parse_uuid_key_time
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
    """Coordinator of the once-only policies, which share one log.

    The form of a key selects its policy: :class:`TicketPolicy` for a ticket,
    :class:`LogFirstPolicy` for a UUIDv7. The declaration of the call doesn't matter,
    so a key is never under two policies, even while a new configuration changes the
    call's ``outage``.

    :param incarnation: random id of this process since its start, of letters and
        digits.
    :param secret: at least 16 random bytes, with which tickets are authenticated.
    :param fold: a :class:`ClaimFold`; ``None`` for one with defaults.
    :param batcher: a :class:`LogBatcher`; ``None`` for one with defaults.
    :param tickets: a :class:`TicketPolicy`; ``None`` for one with defaults.
    :param own_keys: a :class:`LogFirstPolicy`; ``None`` for one with defaults.
    :param poll_interval: time between two reads of the log while nothing waits for
        them, in seconds.
    :param read_interval: minimum time between two reads while a decision or an append
        waits for the log, in seconds.
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
        """Build and reset the fold, the batcher and the policies.

        :return: the coordinator itself.
        :raises SettingError: if an argument of one of them is out of range.
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
        for component in (self.fold_, self.batcher_, *self.policies_):
            component.reset()
        self.read_in_flight_ = False
        self.last_read_at_ = float("-inf")
        return self

    def observe(self, event, now):
        """Pass an event to the components that it concerns.

        :param event: a message of this package.
        :param now: monotonic time, in seconds.
        """
        match event:
            case CallArrived():
                self._route_call(event, now)
                return
            case RecordsRead() | ReadFailed():
                self.read_in_flight_ = False
                self.fold_.observe(event, now)
                self.batcher_.observe(event, now)
            case AppendConfirmed() | AppendFailed() | AppendUnknown():
                self.batcher_.observe(event, now)
        for policy in self.policies_:
            policy.observe(event, now)

    def decide(self, query, now):
        """Issue tickets, or return the state of a key as the log records it.

        :param query: a :class:`TicketsQuery` or a :class:`CallKey`.
        :param now: monotonic time, in seconds.
        :return: a tuple of ticket strings or ``NO_TICKETS`` for the former, a
            :class:`LoggedState` for the latter.
        """
        if isinstance(query, TicketsQuery):
            return self.tickets_.decide(query, now)
        return self.fold_.decide(query, now)

    def tick(self, now):
        """Return the actions that are due: an append, a read, then the others.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        for record in self.fold_.tick(now):
            self.batcher_.offer(record)
        policy_actions = [
            action for policy in self.policies_ for action in policy.tick(now)
        ]
        self._count_verdicts(policy_actions)
        actions = self.batcher_.tick(now) + self._request_read(now) + policy_actions
        return actions + super().tick(now)

    def is_drained(self):
        """Return whether every call has ended and its records are in the log.

        A shutdown waits for it only for a bounded time, because the records can't be
        written while the log is unreachable.
        """
        idle = all(policy.is_idle() for policy in self.policies_)
        return idle and self.batcher_.decide(None, 0.0) == 0

    def _route_call(self, event, now):
        if parse_ticket(event.key.key):
            self.tickets_.observe(event, now)
        elif parse_uuid_key_time(event.key.key):
            self.own_keys_.observe(event, now)
        else:
            reason = "the idempotency key is neither a ticket nor a UUIDv7"
            self.reply(event.attempt, event.key, Verdict.BAD_KEY, reason)

    def _request_read(self, now):
        needed = self.batcher_.needs_read_ or any(p.needs_read_ for p in self.policies_)
        elapsed = now - self.last_read_at_
        due = elapsed >= (self.read_interval if needed else self.poll_interval)
        if self.read_in_flight_ or not due:
            return []
        self.read_in_flight_ = True
        self.last_read_at_ = now
        return [ReadLog(start=self.fold_.next_offset_ or 0)]

    def _count_verdicts(self, actions):
        for action in actions:
            if isinstance(action, Reply):
                self.verdict_counts_[action.verdict] += 1
