"""Callers' own keys: claimed in the log before they are run."""

from wasabistage.once._home import CallPhase, HomePolicy
from wasabistage.once._keys import is_live, key_time
from wasabistage.once._messages import RecordsRead, Verdict
from wasabistage.once._records import RecordKind


class LogFirstPolicy(HomePolicy):
    """Run a caller's own key where the log's first claim stands.

    The claimer dispatches only after it has read its own claim back as the first,
    with no abandon record before it, while the key is live and a caller waits. A
    claim whose callers have gone is held: it runs when an attempt comes, here or
    forwarded. The answer *not run* rests on an abandon record that precedes every
    claim, or on the home's own refusal.

    With the log out of reach an attempt waits for its deadline and is then
    answered as unknown. At ``max_keys``, or with the batcher's backlog full, a
    new key is answered as overload.
    """

    def reset(self):
        """Check the arguments and forget everything.

        :return: the policy itself.
        """
        super().reset()
        self.pending_ = {}
        return self

    @property
    def needs_read_(self):
        """Whether a fresh read of the log is wanted."""
        return bool(self.pending_) or super().needs_read_

    def decide(self, query, now):
        """Return this instance's entry of a key.

        :param query: a :class:`CallKey`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Work`, or ``None``.
        """
        return self.states_.get(query)

    def observe(self, event, now):
        """Learn from an event.

        :param event: a message of this package.
        :param now: monotonic time, in seconds.
        """
        super().observe(event, now)
        if isinstance(event, RecordsRead):
            for key, work in list(self.pending_.items()):
                self._judge(key, work, event.wall, now)

    def tick(self, now):
        """As the base class; also drop pending claims of forgotten keys.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        actions = super().tick(now)
        for key in [key for key in self.pending_ if key not in self.states_]:
            del self.pending_[key]
        return actions

    def handle_call(self, call, now):
        """Join the key's work, forward the attempt, or claim the key.

        :param call: a :class:`CallArrived`.
        :param now: monotonic time, in seconds.
        """
        born = key_time(call.key.key)
        work = self.states_.get(call.key)
        standing = self.fold.decide(call.key, now)
        if work is not None:
            self._join_work(work, call, now)
        elif standing.home or standing.is_abandoned:
            self.forward(call, standing.home, born, now)
        elif not self.is_live(born, call.wall):
            self._expire(call, born)
        elif call.forwarded or not self.fold.is_certain(born, call.wall):
            reason = "this instance can't tell whether the key was run"
            self.reply(call.attempt, call.key, Verdict.UNKNOWN, reason)
        else:
            self.claim(call, born, now)

    def claim(self, call, born, now):
        """Ask the log for the key: claim it, or abandon it for an inquiry.

        :param call: the arrival.
        :param born: wall time of the key's making, in seconds since the epoch.
        :param now: monotonic time, in seconds.
        """
        kind = RecordKind.ABANDON if call.inquire else RecordKind.CLAIM
        full = len(self.states_) >= self.max_keys or self.fold.is_full(call.key.account)
        if full or not self.write(kind, call.key, call.digest, call.wall):
            reason = "too many keys are remembered or wait for the log"
            self.reply(call.attempt, call.key, Verdict.OVERLOAD, reason)
            return
        life = born - call.wall + self.fold.horizon + 4 * self.fold.clock_skew
        work = self.add(call, born, CallPhase.CLAIMING, now + life)
        work.stopped = call.inquire
        self.pending_[call.key] = work

    def is_live(self, born, wall):
        """Tell whether a key is neither expired nor from the future.

        :param born: wall time of the key's making, in seconds since the epoch.
        :param wall: wall time, in seconds since the epoch.
        :return: ``True`` if it may be run.
        """
        fold = self.fold
        return is_live(born, wall, horizon=fold.horizon, clock_skew=fold.clock_skew)

    def _join_work(self, work, call, now):
        if call.inquire and work.phase in (CallPhase.CLAIMING, CallPhase.HELD):
            work.stopped = True
        self.join(work, call)
        if work.phase == CallPhase.HELD:
            self._settle_own(call.key, work, call.wall, now)

    def _expire(self, call, born):
        if born > call.wall:
            reason = "the key's time lies in the future; check the caller's clock"
        else:
            reason = "the key has expired"
        self.reply(call.attempt, call.key, Verdict.EXPIRED, reason)

    def _judge(self, key, work, wall, now):
        standing = self.fold.decide(key, now)
        if not self.fold.is_certain(work.born, wall):
            del self.pending_[key]
            reason = "the key expired, or part of the log was missed"
            self.end(key, work, CallPhase.LOST, reason)
        elif self.is_abandoned(standing):
            del self.pending_[key]
            self.end(key, work, CallPhase.REFUSED, "the key was refused in the log")
        elif standing.home == self.incarnation:
            del self.pending_[key]
            self._settle_own(key, work, wall, now)
        elif standing.home:
            del self.pending_[key]
            self._hand_over(key, work, standing.home, wall, now)

    def _settle_own(self, key, work, wall, now):
        work.phase = CallPhase.HELD
        if work.stopped:
            self.refuse(key, work, wall, "the caller asked before the call was made")
            return
        calls = [call for call in work.waiting.values() if call.deadline > now]
        if calls and self.is_live(work.born, wall):
            self.dispatch(key, work, calls[0])

    def _hand_over(self, key, work, home, wall, now):
        del self.states_[key]
        self.waiting_states_.pop(key, None)
        for call in work.waiting.values():
            if not self.answer_from_log(call, work.born, wall, now):
                self.forward(call, home, work.born, now)
