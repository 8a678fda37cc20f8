"""Policy for tickets: only the instance that issued a ticket runs its call."""

from collections import Counter

from wasabistage.base import Ran
from wasabistage.declarations import OutagePolicy
from wasabistage.exceptions import SettingError
from wasabistage.once._home import CallPhase, HomePolicy
from wasabistage.once._messages import TicketsQuery, Verdict
from wasabistage.once._records import RecordKind
from wasabistage.once._tickets import parse_ticket
from wasabistage.utils import Sentinel

NO_TICKETS = Sentinel("NO_TICKETS")


class TicketPolicy(HomePolicy):
    """Policy that runs the call of a ticket at its home, even without the log.

    The home has a table of unused tickets and a table of the states of used ones. The
    first use of a ticket moves it from the former to the latter, and only this use
    dispatches the call. A ticket in neither table is never run, whatever any clock
    says. Tickets not used within ``first_use``, and states older than ``memory``, are
    removed; attempts with them are answered as ``EXPIRED``. Each unused ticket
    reserves a place among the ``max_keys``; at the bound no more tickets are issued.

    The other parameters are those of :class:`HomePolicy`.

    :param mint: the :class:`TicketMint` of this process.
    :param first_use: time within which a ticket must be used, in seconds.
    :param memory: time for which the state of a used ticket is kept, in seconds.
    :param max_unused: maximum number of unused tickets of one client account.
    """

    def __init__(
        self,
        *,
        incarnation,
        fold,
        batcher,
        mint,
        first_use=600.0,
        memory=3600.0,
        max_unused=2000,
        max_keys=20_000,
        max_waiting=16,
        max_body=64 << 10,
        outcome_bytes=16 << 20,
        max_forwards=4096,
    ):
        super().__init__(
            incarnation=incarnation,
            fold=fold,
            batcher=batcher,
            max_keys=max_keys,
            max_waiting=max_waiting,
            max_body=max_body,
            outcome_bytes=outcome_bytes,
            max_forwards=max_forwards,
        )
        self.mint = mint
        self.first_use = first_use
        self.memory = memory
        self.max_unused = max_unused

    def reset(self):
        """Check the arguments and clear the state.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not 0 < self.first_use < self.memory <= self.fold.horizon:
            raise SettingError(
                f"first_use={self.first_use} and memory={self.memory} of TicketPolicy "
                f"are out of order, at horizon={self.fold.horizon} of its ClaimFold",
                remedy="set 0 < first_use < memory <= horizon",
            )
        super().reset()
        self.unused_ = {}
        self.unused_counts_ = Counter()
        return self

    def decide(self, query, now):
        """Issue tickets.

        :param query: an :class:`TicketsQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of ticket strings, or ``NO_TICKETS``.
        """
        if not isinstance(query, TicketsQuery):
            return NO_TICKETS.with_reason(
                f"the query is of type {type(query).__name__}, "
                f"not {TicketsQuery.__name__}"
            )
        count = len(query.nonces)
        if len(self.states_) + len(self.unused_) + count > self.max_keys:
            return NO_TICKETS.with_reason(
                f"the table of keys is full: {count} more would exceed "
                f"max_keys={self.max_keys}"
            )
        if self.unused_counts_[query.account] + count > self.max_unused:
            return NO_TICKETS.with_reason(
                f"{count} more unused tickets of the client account would exceed "
                f"max_unused={self.max_unused}"
            )
        return tuple(self._issue(query, nonce, now) for nonce in query.nonces)

    def handle_call(self, call, now):
        """Run the call if this instance is the key's home, else forward the attempt.

        :param call: a :class:`CallArrived`.
        :param now: monotonic time, in seconds.
        """
        ticket = parse_ticket(call.key.key)
        state = self.states_.get(call.key)
        if state is not None:
            self.join(state, call)
        elif not self.is_home(ticket):
            self._forward_or_expire(call, ticket, now)
        elif not self.mint.verify(call.key.account, ticket):
            reason = "the ticket was not issued to this account"
            self.reply(call.attempt, call.key, Verdict.FORGED, reason, ran=Ran.NO)
        elif not self.redeem(ticket):
            self._reply_expired(call, ticket, now)
        else:
            self._run_or_refuse(call, ticket, now)

    def is_home(self, ticket):
        """Return whether this instance is the home of a ticket.

        :param ticket: a :class:`Ticket`.
        :return: ``True`` if this instance issued the ticket.
        """
        return ticket.home == self.incarnation

    def redeem(self, ticket):
        """Remove a ticket from the unused ones, and return whether it was there.

        :param ticket: a verified :class:`Ticket`.
        :return: ``True`` at the first use of a ticket that has not expired.
        """
        account, _ = self.unused_.pop(ticket.text, (None, 0.0))
        if account is None:
            return False
        self._decrement_unused(account)
        return True

    def tick(self, now):
        """Remove expired unused tickets, then run the base class's method.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        while self.unused_:
            text, (account, expires_at) = next(iter(self.unused_.items()))
            if expires_at > now:
                break
            del self.unused_[text]
            self._decrement_unused(account)
        return super().tick(now)

    def _issue(self, query, nonce, now):
        ticket = self.mint.issue(query.account, nonce, query.wall_time, now)
        self.unused_[ticket.text] = (query.account, now + self.first_use)
        self.unused_counts_[query.account] += 1
        return ticket.text

    def _decrement_unused(self, account):
        self.unused_counts_[account] -= 1
        if self.unused_counts_[account] <= 0:
            del self.unused_counts_[account]

    def _forward_or_expire(self, call, ticket, now):
        # The wall clocks of two instances may differ by up to two skews, which the age
        # allows for, so that no ticket counts as expired too early.
        age = call.wall_time - ticket.issued_at - 2 * self.fold.clock_skew
        has_outcome = self.fold.decide(call.key, now).outcome is not None
        if age > self.fold.horizon and not has_outcome:
            reason = "the ticket has expired"
            self.reply(call.attempt, call.key, Verdict.EXPIRED, reason)
        else:
            self.forward(call, ticket.home, ticket.issued_at, now)

    def _reply_expired(self, call, ticket, now):
        # The state of a used ticket is kept for `memory` after its first use, and so at
        # least that long after its issue. A younger ticket without a state was never
        # used.
        never_used = now - ticket.issued_at_monotonic < self.memory
        ran = Ran.NO if never_used else Ran.UNKNOWN
        reason = "the ticket has expired"
        self.reply(call.attempt, call.key, Verdict.EXPIRED, reason, ran=ran)

    def _run_or_refuse(self, call, ticket, now):
        state = self.add_key(call, ticket.issued_at, CallPhase.HELD, now + self.memory)
        reason = self._get_refusal_reason(call, now)
        if reason:
            self.refuse(call.key, state, call.wall_time, reason)
            return
        self.queue_record(RecordKind.INTENT, call.key, call.digest, call.wall_time)
        self.dispatch(call.key, state, call)

    def _get_refusal_reason(self, call, now):
        if call.inquire:
            return "the caller asked before the call had been made"
        if call.deadline <= now:
            return "the deadline passed before the call could be made"
        if call.outage == OutagePolicy.REFUSE:
            return "this call takes a UUIDv7 key of the caller's own, no ticket"
        return ""
