"""Attempts that another instance, the key's home, decides."""

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

UNKNOWN_REASON = "the instance that decides this key can't be asked"


@dataclass(frozen=True, kw_only=True, slots=True)
class Forwarded:
    """A forwarded attempt.

    :param call: the attempt's arrival.
    :param born: wall time of the key's making, in seconds since the epoch.
    """

    call: CallArrived
    born: float


class ForwardingPolicy(OncePolicy):
    """Base of the policies that give each key one home.

    At ``max_forwards`` attempts under way further ones are refused as overload.

    :param incarnation: random id of this process's life.
    :param fold: the :class:`ClaimFold` that both policies read.
    :param max_forwards: attempts forwarded or looked up at a time.
    """

    def __init__(self, *, incarnation, fold, max_forwards=4096):
        self.incarnation = incarnation
        self.fold = fold
        self.max_forwards = max_forwards

    def reset(self):
        """Forget everything.

        :return: the policy itself.
        """
        super().reset()
        self.forwards_ = {}
        self.lookups_ = {}
        return self

    @property
    def needs_read_(self):
        """Whether a fresh read of the log is wanted."""
        return bool(self.lookups_)

    def forward(self, call, home, born, now):
        """Answer from the log, or hand the attempt to its home.

        :param call: the arrival.
        :param home: incarnation of the home.
        :param born: wall time of the key's making, in seconds since the epoch.
        :param now: monotonic time, in seconds.
        """
        if self.answer_from_log(call, born, call.wall, now):
            return
        if call.forwarded or home in ("", self.incarnation):
            reason = "this instance can't tell what became of the key"
            self.reply(call.attempt, call.key, Verdict.UNKNOWN, reason)
        elif len(self.forwards_) + len(self.lookups_) >= self.max_forwards:
            reason = "too many attempts wait for other instances"
            self.reply(call.attempt, call.key, Verdict.OVERLOAD, reason)
        else:
            self.forwards_[call.attempt] = Forwarded(call=call, born=born)
            action = ForwardToHome(home=home, key=call.key, attempt=call.attempt)
            self.actions_.append(action)

    def answer_from_log(self, call, born, wall, now):
        """Reply if the log holds the key's end.

        :param call: the arrival.
        :param born: wall time of the key's making, in seconds since the epoch.
        :param wall: wall time after the last read, in seconds since the epoch.
        :param now: monotonic time, in seconds.
        :return: whether a reply was given.
        """
        standing = self.fold.decide(call.key, now)
        if standing.digest and not call.inquire and standing.digest != call.digest:
            self.refuse_conflict(call)
        elif standing.outcome is not None:
            outcome = standing.outcome.record.outcome
            self.reply(call.attempt, call.key, Verdict.OUTCOME, outcome=outcome)
        elif self.is_abandoned(standing) and self.fold.is_certain(born, wall):
            reason = "the log shows that the key was refused"
            self.reply(call.attempt, call.key, Verdict.NOT_RUN, reason)
        else:
            return False
        return True

    def is_abandoned(self, standing):
        """Tell whether the log proves that a key never runs.

        :param standing: a :class:`Standing`.
        :return: ``True`` if it does.
        """
        return standing.is_abandoned

    def refuse_conflict(self, call):
        """Refuse an attempt that reuses a key for something else.

        :param call: the arrival.
        """
        reason = "the key was first used for another request"
        self.reply(call.attempt, call.key, Verdict.CONFLICT, reason)

    def observe_forwards(self, event, now):
        """Learn how forwarded attempts ended.

        :param event: a message of this package.
        :param now: monotonic time, in seconds.
        """
        match event:
            case HomeReplied():
                self._pass_on(event, self.forwards_.pop(event.attempt, None))
            case HomeUnreachable():
                forwarded = self.forwards_.pop(event.attempt, None)
                if forwarded is not None:
                    self.lookups_[event.attempt] = forwarded
            case AttemptCancelled():
                self.forwards_.pop(event.attempt, None)
                self.lookups_.pop(event.attempt, None)
            case RecordsRead():
                self._look_up(event, now)
            case ReadFailed():
                self._give_up(self.lookups_, list(self.lookups_))

    def expire_forwards(self, now):
        """Answer the forwarded attempts whose deadline has passed.

        :param now: monotonic time, in seconds.
        """
        for table in (self.forwards_, self.lookups_):
            late = [name for name, f in table.items() if f.call.deadline <= now]
            self._give_up(table, late)

    def _pass_on(self, event, forwarded):
        got = event.reply
        if forwarded is None:
            return
        if got.key != forwarded.call.key:
            # A crossed reply belongs to another caller.
            self.lookups_[event.attempt] = forwarded
            return
        self.reply(
            event.attempt,
            got.key,
            got.verdict,
            got.reason,
            ran=got.ran,
            outcome=got.outcome,
        )

    def _look_up(self, event, now):
        if not event.at_end:
            return
        lookups, self.lookups_ = self.lookups_, {}
        for forwarded in lookups.values():
            call = forwarded.call
            if not self.answer_from_log(call, forwarded.born, event.wall, now):
                self.reply(call.attempt, call.key, Verdict.UNKNOWN, UNKNOWN_REASON)

    def _give_up(self, table, attempts):
        for attempt in attempts:
            call = table.pop(attempt).call
            self.reply(attempt, call.key, Verdict.UNKNOWN, UNKNOWN_REASON)
