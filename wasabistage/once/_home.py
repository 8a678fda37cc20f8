"""What a key's home keeps and does: one dispatch, one outcome, many attempts."""

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
    """CallPhase of a key at the instance that handles it."""

    CLAIMING = "claiming"
    HELD = "held"
    RUNNING = "running"
    DONE = "done"
    LOST = "lost"
    REFUSED = "refused"


ENDED = (CallPhase.DONE, CallPhase.LOST, CallPhase.REFUSED)


@dataclass(kw_only=True, slots=True)
class Work:
    """One key at the instance that handles it.

    :param digest: digest of the call; empty after an inquiry alone.
    :param born: wall time of the key's making, in seconds since the epoch.
    :param phase: its phase.
    :param waiting: arrivals that want a reply, by attempt.
    :param outcome: the outcome, in phase ``DONE``.
    :param stopped: whether it must not be dispatched any more.
    :param reason: why it ended without an outcome.
    """

    digest: str
    born: float
    phase: CallPhase
    waiting: dict[str, CallArrived] = field(default_factory=dict)
    outcome: Outcome | None = None
    stopped: bool = False
    reason: str = ""


class HomePolicy(ForwardingPolicy):
    """Base of the policies whose instance is the home of keys.

    A key's entry is kept until the key has expired. At ``max_keys`` entries no
    new key is taken; none is forgotten early. Bodies beyond ``max_body`` each or
    ``outcome_bytes`` in all are not kept: the first callers get the whole answer,
    a later attempt its status, headers and digest with ``body_omitted``.

    :param incarnation: random id of this process's life.
    :param fold: the :class:`ClaimFold` that all policies of the process read.
    :param batcher: the :class:`LogBatcher` that all policies write through.
    :param max_keys: keys kept.
    :param max_waiting: attempts of one key that wait at a time.
    :param max_body: largest body kept, in bytes.
    :param outcome_bytes: bodies kept in all, in bytes.
    :param max_forwards: attempts forwarded or looked up at a time.
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
        """Check the arguments and forget everything.

        :return: the policy itself.
        :raises SettingError: if a bound is not positive.
        """
        if min(self.max_keys, self.max_waiting, self.max_forwards) < 1:
            raise SettingError(
                "a bound of a once-only policy is not positive", remedy="use 1 or more"
            )
        super().reset()
        self.states_ = {}
        self.waiting_states_ = {}
        self.forgets_ = []
        self.added_ = 0
        self.kept_bytes_ = 0
        return self

    def is_idle(self):
        """Tell whether no call runs and no attempt waits here."""
        runs = any(work.phase == CallPhase.RUNNING for work in self.states_.values())
        return not (runs or self.waiting_states_ or self.forwards_ or self.lookups_)

    @abstractmethod
    def handle_call(self, call, now):
        """Handle an attempt.

        :param call: a :class:`CallArrived`.
        :param now: monotonic time, in seconds.
        """

    def observe(self, event, now):
        """Learn from an event.

        :param event: a message of this package.
        :param now: monotonic time, in seconds.
        """
        match event:
            case CallArrived():
                self.handle_call(event, now)
            case OutcomeArrived():
                self._finish(event, now)
            case DispatchUnsent():
                self._refuse_unsent(event, now)
            case DispatchLost():
                self._lose(event, now)
            case AttemptCancelled():
                for key in [
                    k for k in self.waiting_states_ if self._leave(k, event.attempt)
                ]:
                    del self.waiting_states_[key]
        self.observe_forwards(event, now)

    def tick(self, now):
        """Answer late attempts, forget expired keys, return the actions.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        self.expire_forwards(now)
        for key in list(self.waiting_states_):
            self._expire_waiting(key, now)
        while self.forgets_ and self.forgets_[0][0] <= now:
            self._forget(heapq.heappop(self.forgets_)[2])
        return super().tick(now)

    def add(self, call, born, phase, forgets):
        """Start to keep a key.

        :param call: the first arrival.
        :param born: wall time of the key's making, in seconds since the epoch.
        :param phase: its phase.
        :param forgets: monotonic time at which it is dropped, in seconds.
        :return: a :class:`Work`.
        """
        digest = "" if call.inquire else call.digest
        work = Work(digest=digest, born=born, phase=phase)
        self.states_[call.key] = work
        self.added_ += 1
        heapq.heappush(self.forgets_, (forgets, self.added_, call.key))
        if len(self.forgets_) > 2 * self.max_keys:
            # Keys handed over to their home leave their times behind.
            kept = [item for item in self.forgets_ if item[2] in self.states_]
            heapq.heapify(kept)
            self.forgets_ = kept
        self.wait(work, call)
        return work

    def wait(self, work, call):
        """Let an attempt wait for the key's end.

        :param work: the key's :class:`Work`.
        :param call: the arrival.
        """
        if len(work.waiting) >= self.max_waiting:
            reason = "too many attempts of this key wait"
            self.reply(call.attempt, call.key, Verdict.OVERLOAD, reason)
            return
        work.waiting[call.attempt] = call
        self.waiting_states_[call.key] = work

    def join(self, work, call):
        """Answer an attempt from the key's entry, or let it wait.

        :param work: the key's :class:`Work`.
        :param call: the arrival.
        """
        if work.digest and not call.inquire and work.digest != call.digest:
            self.refuse_conflict(call)
        elif work.phase in ENDED:
            self.answer(work, call)
        else:
            self.wait(work, call)

    def answer(self, work, call):
        """Reply with an ended key's end.

        :param work: the key's :class:`Work`.
        :param call: the arrival.
        """
        if work.phase == CallPhase.DONE:
            self.reply(call.attempt, call.key, Verdict.OUTCOME, outcome=work.outcome)
        elif work.phase == CallPhase.REFUSED:
            self.reply(call.attempt, call.key, Verdict.NOT_RUN, work.reason)
        else:
            self.reply(call.attempt, call.key, Verdict.UNKNOWN, work.reason)

    def dispatch(self, key, work, call):
        """Dispatch a key; the only place that does.

        :param key: the :class:`CallKey`.
        :param work: its :class:`Work`.
        :param call: the arrival whose body is sent.
        """
        work.phase = CallPhase.RUNNING
        work.digest = call.digest
        self.actions_.append(Dispatch(key=key, attempt=call.attempt))

    def end(self, key, work, phase, reason=""):
        """End a key and answer all that wait for it.

        :param key: the :class:`CallKey`.
        :param work: its :class:`Work`.
        :param phase: one of ``ENDED``.
        :param reason: why there is no outcome.
        """
        work.phase, work.reason = phase, reason
        waiting, work.waiting = work.waiting, {}
        self.waiting_states_.pop(key, None)
        for call in waiting.values():
            self.answer(work, call)

    def write(self, kind, key, digest, wall, outcome=None):
        """Queue a record for the log.

        :param kind: a :class:`RecordKind`.
        :param key: the :class:`CallKey`.
        :param digest: digest of the call.
        :param wall: wall time, in seconds since the epoch.
        :param outcome: the :class:`Outcome`, for kind ``OUTCOME``.
        :return: whether the backlog took it.
        """
        record = Record(
            kind=kind,
            writer=self.incarnation,
            number=self.batcher.take_number(),
            key=key,
            digest=digest,
            written=wall,
            outcome=outcome,
        )
        return self.batcher.offer(record)

    def _finish(self, event, now):
        work = self.states_.get(event.key)
        if work is None or work.phase not in (CallPhase.RUNNING, CallPhase.LOST):
            return
        work.outcome = event.outcome
        self.end(event.key, work, CallPhase.DONE)
        work.outcome = self._bounded(event.outcome)
        kind = RecordKind.OUTCOME
        self.write(kind, event.key, work.digest, event.wall, work.outcome)

    def _bounded(self, outcome):
        size = len(outcome.body)
        if size > self.max_body or self.kept_bytes_ + size > self.outcome_bytes:
            return replace(outcome, body=b"", body_omitted=True)
        self.kept_bytes_ += size
        return outcome

    def _refuse_unsent(self, event, now):
        work = self.states_.get(event.key)
        if work is not None and work.phase == CallPhase.RUNNING:
            self.refuse(event.key, work, event.wall, "no backend server took the call")

    def refuse(self, key, work, wall, reason):
        """Mark a key as never to be run, here and in the log.

        Only the home calls this, before any byte was sent.

        :param key: the :class:`CallKey`.
        :param work: its :class:`Work`.
        :param wall: wall time, in seconds since the epoch.
        :param reason: why it is not run.
        """
        self.end(key, work, CallPhase.REFUSED, reason)
        self.write(RecordKind.ABANDON, key, work.digest, wall)

    def _lose(self, event, now):
        work = self.states_.get(event.key)
        if work is not None and work.phase == CallPhase.RUNNING:
            reason = "the backend server's answer was lost"
            self.end(event.key, work, CallPhase.LOST, reason)

    def _leave(self, key, attempt):
        waiting = self.waiting_states_[key].waiting
        waiting.pop(attempt, None)
        return not waiting

    def _expire_waiting(self, key, now):
        work = self.waiting_states_[key]
        late = [call for call in work.waiting.values() if call.deadline <= now]
        for call in late:
            del work.waiting[call.attempt]
            reason = "the deadline passed before the outcome was known"
            self.reply(call.attempt, key, Verdict.UNKNOWN, reason)
        if not work.waiting:
            del self.waiting_states_[key]

    def _forget(self, key):
        work = self.states_.pop(key, None)
        self.waiting_states_.pop(key, None)
        if work is not None and work.outcome is not None:
            self.kept_bytes_ -= len(work.outcome.body)
