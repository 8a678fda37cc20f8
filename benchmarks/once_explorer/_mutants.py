"""Variants with one mechanism switched off each, for the checks to fail on."""

from benchmarks.once_explorer._node import Variant
from wasabistage.once import (
    CallPhase,
    ClaimFold,
    Dispatch,
    DispatchLost,
    LogFirstPolicy,
    RecordsRead,
    TicketPolicy,
    Verdict,
)


class NoReadBack(LogFirstPolicy):
    """Dispatches without waiting for its claim's place in the log."""

    def claim(self, call, created_at, now):
        super().claim(call, created_at, now)
        state = self.pending_.pop(call.key, None)
        if state is not None and not call.inquire:
            self.dispatch(call.key, state, call)


class AnyClaim(LogFirstPolicy):
    """Takes its own claim for the first one, wherever it stands."""

    def observe(self, event, now):
        super().observe(event, now)
        for entry in event.entries if isinstance(event, RecordsRead) else ():
            record = entry.record
            state = self.states_.get(record.key)
            mine = record.writer == self.incarnation
            if state is None and mine and record.kind == "claim":
                self.actions_.append(Dispatch(key=record.key, attempt="late"))


class AnyAbandon(LogFirstPolicy):
    """Takes every abandon record for a proof, also one after a claim."""

    def is_abandoned(self, logged):
        return logged.is_abandoned or logged.abandon is not None


class IgnoredAbandon(LogFirstPolicy):
    """Runs a first claim although an abandon record precedes it."""

    def is_abandoned(self, logged):
        return logged.is_abandoned and not logged.home


class AgelessFold(ClaimFold):
    """Lets keys live for ever, beyond what the log keeps."""

    def reset(self):
        super().reset()
        self.horizon = 1e9
        return self


class UncarriedFold(ClaimFold):
    """Carries nothing forward."""

    def tick(self, now):
        super().tick(now)
        return []


class AnyHome(TicketPolicy):
    """Runs a ticket wherever it arrives."""

    def is_home(self, ticket):
        return True

    def handle_call(self, call, now):
        self.mint.verify = lambda account, ticket: True
        super().handle_call(call, now)

    def redeem(self, ticket):
        return True


class ReusedTicket(TicketPolicy):
    """Takes a ticket that it no longer remembers for a new one."""

    def redeem(self, ticket):
        return True


class UnmarkedRefusal(TicketPolicy):
    """Says *not run* without marking the key."""

    def refuse(self, key, state, wall_time, reason):
        super().refuse(key, state, wall_time, reason)
        self.states_.pop(key)

    def redeem(self, ticket):
        return True


class HastyNotRun(TicketPolicy):
    """Says *not run* when the home can't be reached."""

    def reply(self, attempt, key, verdict, reason="", **facts):
        if reason.startswith("the instance that decides"):
            verdict = Verdict.NOT_RUN
        super().reply(attempt, key, verdict, reason, **facts)


class HastyRetry(LogFirstPolicy):
    """Sends again after the first byte when the answer was lost."""

    def observe(self, event, now):
        if isinstance(event, DispatchLost):
            state = self.states_.get(event.key)
            if state is not None and state.phase == CallPhase.RUNNING:
                self.actions_.append(Dispatch(key=event.key, attempt=event.attempt))
        super().observe(event, now)


SHORT_KEEP = 62.0
EARLY_TRIM = Variant(name="early trim", tickets=False, keep=SHORT_KEEP)
EARLY_TRIM_UNCARRIED = Variant(
    name="early trim, no carry", tickets=False, fold=UncarriedFold, keep=SHORT_KEEP
)

MUTANTS = (
    Variant(name="no read-back", tickets=False, own_policy=NoReadBack),
    Variant(name="any claim", tickets=False, own_policy=AnyClaim),
    Variant(name="any abandon", tickets=False, own_policy=AnyAbandon),
    Variant(name="ignored abandon", tickets=False, own_policy=IgnoredAbandon),
    Variant(name="no expiry", tickets=False, fold=AgelessFold),
    Variant(name="any home", tickets=True, ticket_policy=AnyHome),
    Variant(name="reused ticket", tickets=True, ticket_policy=ReusedTicket),
    Variant(name="unmarked refusal", tickets=True, ticket_policy=UnmarkedRefusal),
    Variant(name="hasty not run", tickets=True, ticket_policy=HastyNotRun),
    Variant(name="hasty retry", tickets=False, own_policy=HastyRetry),
)
