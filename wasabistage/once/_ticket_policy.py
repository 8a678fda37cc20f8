"""Ticketed keys: run by the instance that issued the ticket, and by no other."""

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
    """Run a ticketed key at its home, with or without the log.

    The home keeps each unused ticket; its first use takes it out, and only that
    dispatches. A ticket in neither table is never run, whatever any clock says.
    Tickets not used within ``first_use``, and keys older than ``memory``, are
    dropped and answered as expired. An unused ticket reserves its place among the
    ``max_keys``; at the bound no more are issued.

    :param mint: the :class:`TicketMint` of this process.
    :param first_use: time within which a ticket must be used, in seconds.
    :param memory: time for which a used ticket is remembered, in seconds.
    :param max_unused: unused tickets of one client account.
    :param params: see :class:`HomePolicy`.
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
        """Check the arguments and forget everything.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not 0 < self.first_use < self.memory <= self.fold.horizon:
            raise SettingError(
                "ticket times are out of order",
                remedy="set 0 < first_use < memory <= horizon",
            )
        super().reset()
        self.unused_ = {}
        self.unused_by_account_ = Counter()
        return self

    def decide(self, query, now):
        """Issue tickets.

        :param query: an :class:`TicketsQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of ticket strings, or ``NO_TICKETS``.
        """
        if not isinstance(query, TicketsQuery):
            return NO_TICKETS.because("the query is not for tickets")
        count = len(query.nonces)
        if len(self.states_) + len(self.unused_) + count > self.max_keys:
            return NO_TICKETS.because("the table of keys is full")
        if self.unused_by_account_[query.account] + count > self.max_unused:
            return NO_TICKETS.because("the account has too many unused tickets")
        return tuple(self._issue(query, nonce, now) for nonce in query.nonces)

    def handle_call(self, call, now):
        """Run the key here if this is its home, else forward the attempt.

        :param call: a :class:`CallArrived`.
        :param now: monotonic time, in seconds.
        """
        ticket = parse_ticket(call.key.key)
        work = self.states_.get(call.key)
        if work is not None:
            self.join(work, call)
        elif not self.is_home(ticket):
            self._arrive_elsewhere(call, ticket, now)
        elif not self.mint.verify(call.key.account, ticket):
            reason = "the ticket was not issued to this account"
            self.reply(call.attempt, call.key, Verdict.FORGED, reason, ran=Ran.NO)
        elif not self.redeem(ticket):
            self._answer_absent(call, ticket, now)
        else:
            self._start(call, ticket, now)

    def is_home(self, ticket):
        """Tell whether this process may run the ticket.

        :param ticket: a :class:`Ticket`.
        :return: ``True`` if it issued it.
        """
        return ticket.home == self.incarnation

    def redeem(self, ticket):
        """Take an unused ticket out; true once in a ticket's life.

        :param ticket: a verified :class:`Ticket`.
        :return: ``True`` if it was unused.
        """
        account, _ = self.unused_.pop(ticket.text, (None, 0.0))
        if account is None:
            return False
        self._count_down(account)
        return True

    def tick(self, now):
        """Drop unused tickets whose time is over, then as the base class.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        while self.unused_:
            text, (account, ends) = next(iter(self.unused_.items()))
            if ends > now:
                break
            del self.unused_[text]
            self._count_down(account)
        return super().tick(now)

    def _issue(self, query, nonce, now):
        ticket = self.mint.issue(query.account, nonce, query.wall, now)
        self.unused_[ticket.text] = (query.account, now + self.first_use)
        self.unused_by_account_[query.account] += 1
        return ticket.text

    def _count_down(self, account):
        self.unused_by_account_[account] -= 1
        if self.unused_by_account_[account] <= 0:
            del self.unused_by_account_[account]

    def _arrive_elsewhere(self, call, ticket, now):
        # The wall clocks of two instances may differ by two skews.
        age = call.wall - ticket.issued - 2 * self.fold.clock_skew
        known = self.fold.decide(call.key, now).outcome is not None
        if age > self.fold.horizon and not known:
            reason = "the ticket has expired"
            self.reply(call.attempt, call.key, Verdict.EXPIRED, reason)
        else:
            self.forward(call, ticket.home, ticket.issued, now)

    def _answer_absent(self, call, ticket, now):
        # A used ticket stays in the table for `memory` after its first use, hence
        # at least that long after its issue.
        unused = now - ticket.issued_monotonic < self.memory
        ran = Ran.NO if unused else Ran.UNKNOWN
        reason = "the ticket has expired"
        self.reply(call.attempt, call.key, Verdict.EXPIRED, reason, ran=ran)

    def _start(self, call, ticket, now):
        work = self.add(call, ticket.issued, CallPhase.HELD, now + self.memory)
        reason = self._refusal(call, now)
        if reason:
            self.refuse(call.key, work, call.wall, reason)
            return
        self.write(RecordKind.INTENT, call.key, call.digest, call.wall)
        self.dispatch(call.key, work, call)

    def _refusal(self, call, now):
        if call.inquire:
            return "the caller asked before the call had been made"
        if call.deadline <= now:
            return "the deadline passed before the call could be made"
        if call.outage == OutagePolicy.REFUSE:
            return "this call takes a UUIDv7 key of the caller's own, no ticket"
        return ""
