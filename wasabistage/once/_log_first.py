"""Policy for UUIDv7 keys: a key is claimed in the log before its call is run."""

from wasabistage.once._home import CallPhase, HomePolicy
from wasabistage.once._keys import is_live, parse_key_time
from wasabistage.once._messages import RecordsRead, Verdict
from wasabistage.once._records import RecordKind


class LogFirstPolicy(HomePolicy):
    """Policy that runs the call of a UUIDv7 at the writer of the key's first claim.

    The claimer dispatches the call only after it has read its own claim back as the
    first one, with no abandon record before it, and only while the key is live and a
    caller waits. If no caller waits then, the key is held: the call is run when
    another attempt arrives, directly or forwarded. The verdict ``NOT_RUN`` is given
    only if an abandon record precedes every claim, or the home has refused the key.

    While the log is unreachable, an attempt waits until its deadline and is then
    answered as ``UNKNOWN``. At ``max_keys``, or with the batcher's backlog full, a new
    key is answered as ``OVERLOAD``.
    """

    def reset(self):
        """Check the arguments and clear the state.

        :return: the policy itself.
        """
        super().reset()
        self.pending_ = {}
        return self

    @property
    def needs_read_(self):
        """Whether the policy waits for a read of the log to its end."""
        return bool(self.pending_) or super().needs_read_

    def decide(self, query, now):
        """Return the state of a key at this instance.

        :param query: a :class:`CallKey`.
        :param now: monotonic time, in seconds.
        :return: a :class:`CallState`, or ``None``.
        """
        return self.states_.get(query)

    def observe(self, event, now):
        """Process an event; after a read of the log, decide about pending keys.

        :param event: a message of this package.
        :param now: monotonic time, in seconds.
        """
        super().observe(event, now)
        if isinstance(event, RecordsRead):
            for key, state in list(self.pending_.items()):
                self._decide_pending(key, state, event.wall_time, now)

    def tick(self, now):
        """Run the base class's method, and drop pending keys without a state.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        actions = super().tick(now)
        for key in [key for key in self.pending_ if key not in self.states_]:
            del self.pending_[key]
        return actions

    def handle_call(self, call, now):
        """Join the key's state, forward the attempt, or claim the key.

        :param call: a :class:`CallArrived`.
        :param now: monotonic time, in seconds.
        """
        created_at = parse_key_time(call.key.key)
        state = self.states_.get(call.key)
        logged = self.fold.decide(call.key, now)
        if state is not None:
            self._join_existing(state, call, now)
        elif logged.home or logged.is_abandoned:
            self.forward(call, logged.home, created_at, now)
        elif not self.is_live(created_at, call.wall_time):
            self._reply_expired(call, created_at)
        elif call.forwarded or not self.fold.can_decide(created_at, call.wall_time):
            reason = "this instance can't tell whether the key was run"
            self.reply(call.attempt, call.key, Verdict.UNKNOWN, reason)
        else:
            self.claim(call, created_at, now)

    def claim(self, call, created_at, now):
        """Queue a claim record for a new key, or an abandon record for an inquiry.

        :param call: the :class:`CallArrived`.
        :param created_at: wall time of the key's creation, in seconds since the epoch.
        :param now: monotonic time, in seconds.
        """
        kind = RecordKind.ABANDON if call.inquire else RecordKind.CLAIM
        full = len(self.states_) >= self.max_keys or self.fold.is_full(call.key.account)
        if full or not self.queue_record(kind, call.key, call.digest, call.wall_time):
            reason = "too many keys are remembered or wait for the log"
            self.reply(call.attempt, call.key, Verdict.OVERLOAD, reason)
            return
        lifetime = (
            created_at - call.wall_time + self.fold.horizon + 4 * self.fold.clock_skew
        )
        state = self.add_key(call, created_at, CallPhase.CLAIMING, now + lifetime)
        state.is_cancelled = call.inquire
        self.pending_[call.key] = state

    def is_live(self, created_at, wall_time):
        """Return whether a key has not expired and is not from the future.

        :param created_at: wall time of the key's creation, in seconds since the epoch.
        :param wall_time: wall time, in seconds since the epoch.
        :return: ``True`` if its call may be run.
        """
        fold = self.fold
        return is_live(
            created_at, wall_time, horizon=fold.horizon, clock_skew=fold.clock_skew
        )

    def _join_existing(self, state, call, now):
        if call.inquire and state.phase in (CallPhase.CLAIMING, CallPhase.HELD):
            state.is_cancelled = True
        self.join(state, call)
        if state.phase == CallPhase.HELD:
            self._dispatch_or_refuse(call.key, state, call.wall_time, now)

    def _reply_expired(self, call, created_at):
        if created_at > call.wall_time:
            reason = "the key's time lies in the future; check the caller's clock"
        else:
            reason = "the key has expired"
        self.reply(call.attempt, call.key, Verdict.EXPIRED, reason)

    def _decide_pending(self, key, state, wall_time, now):
        logged = self.fold.decide(key, now)
        if not self.fold.can_decide(state.created_at, wall_time):
            del self.pending_[key]
            reason = "the key expired, or part of the log was missed"
            self.complete(key, state, CallPhase.LOST, reason)
        elif self.is_abandoned(logged):
            del self.pending_[key]
            self.complete(
                key, state, CallPhase.REFUSED, "the key was refused in the log"
            )
        elif logged.home == self.incarnation:
            del self.pending_[key]
            self._dispatch_or_refuse(key, state, wall_time, now)
        elif logged.home:
            del self.pending_[key]
            self._forward_waiting(key, state, logged.home, wall_time, now)

    def _dispatch_or_refuse(self, key, state, wall_time, now):
        state.phase = CallPhase.HELD
        if state.is_cancelled:
            self.refuse(
                key, state, wall_time, "the caller asked before the call was made"
            )
            return
        calls = [call for call in state.waiting.values() if call.deadline > now]
        if calls and self.is_live(state.created_at, wall_time):
            self.dispatch(key, state, calls[0])

    def _forward_waiting(self, key, state, home, wall_time, now):
        del self.states_[key]
        self.waiting_states_.pop(key, None)
        for call in state.waiting.values():
            if not self.reply_from_log(call, state.created_at, wall_time, now):
                self.forward(call, home, state.created_at, now)
