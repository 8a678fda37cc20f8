"""State and actions of a key's home: one dispatch, one outcome, many attempts."""

import heapq
from abc import abstractmethod
from dataclasses import dataclass, field, replace
from enum import StrEnum

from wasabistage.exceptions import SettingError
from wasabistage.once._forwards import ForwardingPolicy
from wasabistage.once._messages import (
    AttemptCancelled,
    CallArrived,
    Dispatch,
    DispatchLost,
    DispatchUnsent,
    OutcomeArrived,
    Verdict,
)
from wasabistage.once._records import Outcome, Record, RecordKind


class CallPhase(StrEnum):
    """Phase of a key at the instance that handles it.

    - ``CLAIMING``: its claim or abandon record is queued and not read back yet.
    - ``HELD``: this instance is the home and has not dispatched the call.
    - ``RUNNING``: the call was dispatched.
    - ``DONE``: the outcome is known.
    - ``LOST``: whether the call was run, or with what outcome, can't be found out here.
    - ``REFUSED``: the call was not run and never will be.
    """

    CLAIMING = "claiming"
    HELD = "held"
    RUNNING = "running"
    DONE = "done"
    LOST = "lost"
    REFUSED = "refused"


TERMINAL_PHASES = (CallPhase.DONE, CallPhase.LOST, CallPhase.REFUSED)


@dataclass(kw_only=True, slots=True)
class CallState:
    """State of a key at the instance that handles it.

    :param digest: digest of the call; empty if only inquiries arrived.
    :param created_at: wall time of the key's creation, in seconds since the epoch.
    :param phase: phase of the key.
    :param waiting: the :class:`CallArrived` of each attempt that waits for a reply, by
        id of the attempt.
    :param outcome: the outcome, in phase ``DONE``.
    :param is_cancelled: whether the call must not be dispatched any more.
    :param reason: why there is no outcome, in the other terminal phases.
    """

    digest: str
    created_at: float
    phase: CallPhase
    waiting: dict[str, CallArrived] = field(default_factory=dict)
    outcome: Outcome | None = None
    is_cancelled: bool = False
    reason: str = ""


class HomePolicy(ForwardingPolicy):
    """Base class of the policies whose instance is the home of keys.

    The state of a key is kept until the key has expired. At ``max_keys`` states new
    keys are refused; no state is removed early. A body is not stored if it is larger
    than ``max_body``, or if all stored bodies would exceed ``outcome_bytes``. The
    attempts that wait for such an answer get all of it; later ones get its status,
    headers and digest, with ``body_omitted`` set.

    :param incarnation: incarnation of this process.
    :param fold: the :class:`ClaimFold` that all policies of the process share.
    :param batcher: the :class:`LogBatcher` that all policies of the process share.
    :param max_keys: maximum number of keys whose state is kept.
    :param max_waiting: maximum number of attempts of one key that wait at a time.
    :param max_body: maximum size of a stored body, in bytes.
    :param outcome_bytes: maximum size of all stored bodies, in bytes.
    :param max_forwards: maximum number of attempts that are forwarded or looked up at
        a time.
    """

    def __init__(
        self,
        *,
        incarnation,
        fold,
        batcher,
        max_keys=20_000,
        max_waiting=16,
        max_body=64 << 10,
        outcome_bytes=16 << 20,
        max_forwards=4096,
    ):
        super().__init__(incarnation=incarnation, fold=fold, max_forwards=max_forwards)
        self.batcher = batcher
        self.max_keys = max_keys
        self.max_waiting = max_waiting
        self.max_body = max_body
        self.outcome_bytes = outcome_bytes

    def reset(self):
        """Check the arguments and clear the state.

        :return: the policy itself.
        :raises SettingError: if a bound is not positive.
        """
        if min(self.max_keys, self.max_waiting, self.max_forwards) < 1:
            raise SettingError(
                f"max_keys={self.max_keys}, max_waiting={self.max_waiting} or "
                f"max_forwards={self.max_forwards} of {type(self).__name__} is below 1",
                remedy="set all three to 1 or more",
            )
        super().reset()
        self.states_ = {}
        self.waiting_states_ = {}
        self.expiry_schedule_ = []
        self.added_count_ = 0
        self.body_bytes_ = 0
        return self

    def is_idle(self):
        """Return whether no call runs and no attempt waits here."""
        running = any(
            state.phase == CallPhase.RUNNING for state in self.states_.values()
        )
        return not (running or self.waiting_states_ or self.forwards_ or self.lookups_)

    @abstractmethod
    def handle_call(self, call, now):
        """Handle an attempt.

        :param call: a :class:`CallArrived`.
        :param now: monotonic time, in seconds.
        """

    def observe(self, event, now):
        """Process an event.

        :param event: a message of this package.
        :param now: monotonic time, in seconds.
        """
        match event:
            case CallArrived():
                self.handle_call(event, now)
            case OutcomeArrived():
                self._record_outcome(event, now)
            case DispatchUnsent():
                self._handle_unsent(event, now)
            case DispatchLost():
                self._handle_lost(event, now)
            case AttemptCancelled():
                for key in [
                    k
                    for k in self.waiting_states_
                    if self._remove_attempt(k, event.attempt)
                ]:
                    del self.waiting_states_[key]
        self.observe_forwards(event, now)

    def tick(self, now):
        """Reply to late attempts, remove expired keys, and return the actions.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        self.expire_forwards(now)
        for key in list(self.waiting_states_):
            self._expire_attempts(key, now)
        while self.expiry_schedule_ and self.expiry_schedule_[0][0] <= now:
            self._remove_key(heapq.heappop(self.expiry_schedule_)[2])
        return super().tick(now)

    def add_key(self, call, created_at, phase, expires_at):
        """Add the state of a key, with a first attempt that waits.

        :param call: the :class:`CallArrived` of the attempt.
        :param created_at: wall time of the key's creation, in seconds since the epoch.
        :param phase: phase of the key.
        :param expires_at: monotonic time at which the state is removed, in seconds.
        :return: a :class:`CallState`.
        """
        digest = "" if call.inquire else call.digest
        state = CallState(digest=digest, created_at=created_at, phase=phase)
        self.states_[call.key] = state
        self.added_count_ += 1
        heapq.heappush(self.expiry_schedule_, (expires_at, self.added_count_, call.key))
        if len(self.expiry_schedule_) > 2 * self.max_keys:
            # Keys whose attempts were forwarded to their home are still scheduled.
            kept = [item for item in self.expiry_schedule_ if item[2] in self.states_]
            heapq.heapify(kept)
            self.expiry_schedule_ = kept
        self.add_waiting(state, call)
        return state

    def add_waiting(self, state, call):
        """Let an attempt wait until the key reaches a terminal phase.

        :param state: the key's :class:`CallState`.
        :param call: the :class:`CallArrived`.
        """
        if len(state.waiting) >= self.max_waiting:
            reason = "too many attempts of this key wait"
            self.reply(call.attempt, call.key, Verdict.OVERLOAD, reason)
            return
        state.waiting[call.attempt] = call
        self.waiting_states_[call.key] = state

    def join(self, state, call):
        """Reply to an attempt from the key's state, or let it wait.

        :param state: the key's :class:`CallState`.
        :param call: the :class:`CallArrived`.
        """
        if state.digest and not call.inquire and state.digest != call.digest:
            self.reply_conflict(call)
        elif state.phase in TERMINAL_PHASES:
            self.reply_result(state, call)
        else:
            self.add_waiting(state, call)

    def reply_result(self, state, call):
        """Reply to an attempt of a key in a terminal phase.

        :param state: the key's :class:`CallState`.
        :param call: the :class:`CallArrived`.
        """
        if state.phase == CallPhase.DONE:
            self.reply(call.attempt, call.key, Verdict.OUTCOME, outcome=state.outcome)
        elif state.phase == CallPhase.REFUSED:
            self.reply(call.attempt, call.key, Verdict.NOT_RUN, state.reason)
        else:
            self.reply(call.attempt, call.key, Verdict.UNKNOWN, state.reason)

    def dispatch(self, key, state, call):
        """Dispatch a call; no other method of this class and its subclasses does.

        :param key: the :class:`CallKey`.
        :param state: its :class:`CallState`.
        :param call: the :class:`CallArrived` of the attempt whose body is sent.
        """
        state.phase = CallPhase.RUNNING
        state.digest = call.digest
        self.actions_.append(Dispatch(key=key, attempt=call.attempt))

    def complete(self, key, state, phase, reason=""):
        """Enter a terminal phase and reply to all waiting attempts.

        :param key: the :class:`CallKey`.
        :param state: its :class:`CallState`.
        :param phase: one of ``TERMINAL_PHASES``.
        :param reason: why there is no outcome.
        """
        state.phase, state.reason = phase, reason
        waiting, state.waiting = state.waiting, {}
        self.waiting_states_.pop(key, None)
        for call in waiting.values():
            self.reply_result(state, call)

    def queue_record(self, kind, key, digest, wall_time, outcome=None):
        """Queue a record for the log.

        :param kind: a :class:`RecordKind`.
        :param key: the :class:`CallKey`.
        :param digest: digest of the call.
        :param wall_time: wall time, in seconds since the epoch.
        :param outcome: the :class:`Outcome`, for kind ``OUTCOME``.
        :return: whether the batcher accepted the record.
        """
        record = Record(
            kind=kind,
            writer=self.incarnation,
            number=self.batcher.next_sequence_number(),
            key=key,
            digest=digest,
            written=wall_time,
            outcome=outcome,
        )
        return self.batcher.offer(record)

    def _record_outcome(self, event, now):
        state = self.states_.get(event.key)
        if state is None or state.phase not in (CallPhase.RUNNING, CallPhase.LOST):
            return
        state.outcome = event.outcome
        self.complete(event.key, state, CallPhase.DONE)
        state.outcome = self._limit_body(event.outcome)
        kind = RecordKind.OUTCOME
        self.queue_record(kind, event.key, state.digest, event.wall_time, state.outcome)

    def _limit_body(self, outcome):
        size = len(outcome.body)
        if size > self.max_body or self.body_bytes_ + size > self.outcome_bytes:
            return replace(outcome, body=b"", body_omitted=True)
        self.body_bytes_ += size
        return outcome

    def _handle_unsent(self, event, now):
        state = self.states_.get(event.key)
        if state is not None and state.phase == CallPhase.RUNNING:
            self.refuse(
                event.key, state, event.wall_time, "no backend server took the call"
            )

    def refuse(self, key, state, wall_time, reason):
        """Refuse a key for good, here and in the log.

        Only the home may call this, and only while no byte has been sent.

        :param key: the :class:`CallKey`.
        :param state: its :class:`CallState`.
        :param wall_time: wall time, in seconds since the epoch.
        :param reason: why the call is not run.
        """
        self.complete(key, state, CallPhase.REFUSED, reason)
        self.queue_record(RecordKind.ABANDON, key, state.digest, wall_time)

    def _handle_lost(self, event, now):
        state = self.states_.get(event.key)
        if state is not None and state.phase == CallPhase.RUNNING:
            reason = "the backend server's answer was lost"
            self.complete(event.key, state, CallPhase.LOST, reason)

    def _remove_attempt(self, key, attempt):
        waiting = self.waiting_states_[key].waiting
        waiting.pop(attempt, None)
        return not waiting

    def _expire_attempts(self, key, now):
        state = self.waiting_states_[key]
        late = [call for call in state.waiting.values() if call.deadline <= now]
        for call in late:
            del state.waiting[call.attempt]
            reason = "the deadline passed before the outcome was known"
            self.reply(call.attempt, key, Verdict.UNKNOWN, reason)
        if not state.waiting:
            del self.waiting_states_[key]

    def _remove_key(self, key):
        state = self.states_.pop(key, None)
        self.waiting_states_.pop(key, None)
        if state is not None and state.outcome is not None:
            self.body_bytes_ -= len(state.outcome.body)
