"""Attempts that are forwarded to the home of their key."""

from dataclasses import dataclass

from wasabistage.once._messages import (
    AttemptCancelled,
    CallArrived,
    ForwardToHome,
    HomeReplied,
    HomeUnreachable,
    ReadFailed,
    RecordsRead,
    Verdict,
)
from wasabistage.once._policy import OncePolicy

HOME_UNREACHABLE_REASON = "the instance that decides this key can't be asked"


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedAttempt:
    """An attempt that is forwarded to its home or looked up in the log.

    :param call: its :class:`CallArrived`.
    :param created_at: wall time of the key's creation, in seconds since the epoch.
    """

    call: CallArrived
    created_at: float


class ForwardingPolicy(OncePolicy):
    """Base class of the policies that give each key one home.

    Attempts for other homes are forwarded. If the home can't be reached, the attempt
    becomes a lookup: it is answered from the next read of the log to its end.

    :param incarnation: incarnation of this process.
    :param fold: the :class:`ClaimFold` that all policies of the process share.
    :param max_forwards: maximum number of attempts that are forwarded or looked up at
        a time; at the bound further ones are refused as overload.
    """

    def __init__(self, *, incarnation, fold, max_forwards=4096):
        self.incarnation = incarnation
        self.fold = fold
        self.max_forwards = max_forwards

    def reset(self):
        """Clear the state.

        :return: the policy itself.
        """
        super().reset()
        self.forwards_ = {}
        self.lookups_ = {}
        return self

    @property
    def needs_read_(self):
        """Whether the policy waits for a read of the log to its end."""
        return bool(self.lookups_)

    def forward(self, call, home, created_at, now):
        """Reply from the log, or forward the attempt to the home of its key.

        :param call: the :class:`CallArrived`.
        :param home: incarnation of the home.
        :param created_at: wall time of the key's creation, in seconds since the epoch.
        :param now: monotonic time, in seconds.
        """
        if self.reply_from_log(call, created_at, call.wall_time, now):
            return
        if call.forwarded or home in ("", self.incarnation):
            reason = "this instance can't tell what became of the key"
            self.reply(call.attempt, call.key, Verdict.UNKNOWN, reason)
        elif len(self.forwards_) + len(self.lookups_) >= self.max_forwards:
            reason = "too many attempts wait for other instances"
            self.reply(call.attempt, call.key, Verdict.OVERLOAD, reason)
        else:
            self.forwards_[call.attempt] = ForwardedAttempt(
                call=call, created_at=created_at
            )
            action = ForwardToHome(home=home, key=call.key, attempt=call.attempt)
            self.actions_.append(action)

    def reply_from_log(self, call, created_at, wall_time, now):
        """Reply if the log shows a conflict, an outcome or a refusal.

        :param call: the :class:`CallArrived`.
        :param created_at: wall time of the key's creation, in seconds since the epoch.
        :param wall_time: wall time after the last read, in seconds since the epoch.
        :param now: monotonic time, in seconds.
        :return: whether a reply was given.
        """
        logged = self.fold.decide(call.key, now)
        if logged.digest and not call.inquire and logged.digest != call.digest:
            self.reply_conflict(call)
        elif logged.outcome is not None:
            outcome = logged.outcome.record.outcome
            self.reply(call.attempt, call.key, Verdict.OUTCOME, outcome=outcome)
        elif self.is_abandoned(logged) and self.fold.can_decide(created_at, wall_time):
            reason = "the log shows that the key was refused"
            self.reply(call.attempt, call.key, Verdict.NOT_RUN, reason)
        else:
            return False
        return True

    def is_abandoned(self, logged):
        """Return whether the log proves that a call is never run.

        :param logged: the :class:`LoggedState` of its key.
        :return: ``True`` if an abandon record that holds is in the log.
        """
        return logged.is_abandoned

    def reply_conflict(self, call):
        """Reply to an attempt that reuses a key for another request.

        :param call: the :class:`CallArrived`.
        """
        reason = "the key was first used for another request"
        self.reply(call.attempt, call.key, Verdict.CONFLICT, reason)

    def observe_forwards(self, event, now):
        """Process an event that concerns forwarded attempts and lookups.

        :param event: a message of this package.
        :param now: monotonic time, in seconds.
        """
        match event:
            case HomeReplied():
                self._relay_reply(event, self.forwards_.pop(event.attempt, None))
            case HomeUnreachable():
                forwarded = self.forwards_.pop(event.attempt, None)
                if forwarded is not None:
                    self.lookups_[event.attempt] = forwarded
            case AttemptCancelled():
                self.forwards_.pop(event.attempt, None)
                self.lookups_.pop(event.attempt, None)
            case RecordsRead():
                self._answer_lookups(event, now)
            case ReadFailed():
                self._reply_unknown(self.lookups_, list(self.lookups_))

    def expire_forwards(self, now):
        """Reply to the forwards and lookups whose deadline has passed.

        :param now: monotonic time, in seconds.
        """
        for table in (self.forwards_, self.lookups_):
            late = [
                attempt
                for attempt, forwarded in table.items()
                if forwarded.call.deadline <= now
            ]
            self._reply_unknown(table, late)

    def _relay_reply(self, event, forwarded):
        reply = event.reply
        if forwarded is None:
            return
        if reply.key != forwarded.call.key:
            # The reply belongs to another call and must not reach this caller.
            self.lookups_[event.attempt] = forwarded
            return
        self.reply(
            event.attempt,
            reply.key,
            reply.verdict,
            reply.reason,
            ran=reply.ran,
            outcome=reply.outcome,
        )

    def _answer_lookups(self, event, now):
        if not event.at_end:
            return
        lookups, self.lookups_ = self.lookups_, {}
        for forwarded in lookups.values():
            call = forwarded.call
            if not self.reply_from_log(
                call, forwarded.created_at, event.wall_time, now
            ):
                self.reply(
                    call.attempt, call.key, Verdict.UNKNOWN, HOME_UNREACHABLE_REASON
                )

    def _reply_unknown(self, table, attempts):
        for attempt in attempts:
            call = table.pop(attempt).call
            self.reply(attempt, call.key, Verdict.UNKNOWN, HOME_UNREACHABLE_REASON)
