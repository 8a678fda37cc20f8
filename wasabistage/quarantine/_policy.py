"""Quarantine of prompt parts by the crashes that all entries see."""

import math
import zlib
from collections import OrderedDict
from dataclasses import dataclass, field

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.quarantine._attribution import find_crash_causes
from wasabistage.quarantine._messages import (
    PARTS_QUARANTINED,
    Admitted,
    AnswerBegun,
    AnswerContinued,
    AnswerEnd,
    AttemptEnded,
    AttemptSent,
    Crash,
    PartEvidence,
    ServerHeard,
    TrialDue,
    TrialStarted,
)

MAX_PARTS = 256  # suspected parts
MAX_ANSWERED_PARTS = 4096  # parts of which the time of the last answer is kept
MAX_CRASHES_PER_PART = 8
ADMITTED = Admitted()
NEVER = float("-inf")


@dataclass
class _Attempt:
    server: str
    parts: tuple
    begun_at: float | None = None
    has_events: bool = False
    is_credited: bool = False


@dataclass
class _Suspect:
    crashes: list = field(default_factory=list)
    answered_at: float = NEVER
    changed_at: float = NEVER


class CrashQuarantine(Policy):
    """Quarantine of the parts of prompts under which servers crash.

    A prompt is suspected if its server closes the connection when the answer has just
    begun; others on that server were computed or answered without harm before. One of
    which a whole event has arrived is suspected only if no other one is. A part is
    sound as of the moment at which a prompt with it is answered. Parts that are
    left with enough outages, by all entries' evidence, are in quarantine: for ``hold``
    after the last crash, twice as long with each further outage. Then one prompt is
    tried. Parts of different prompts that explain the same crashes are told apart by
    trials after ``ambiguous_hold``.

    If a share ``p`` of all prompts is lost before the first event, a sound part is lost
    ``k`` times in a row with a probability of ``p ** k``. The number of outages that is
    enough makes this less than ``false_share``. It is ``max_outages`` for a part that
    was answered before, or lost after an event: an entry may not know yet that another
    prompt was lost before its first event.

    :param begin_seconds: time from the head of an answer after which its prompt has
        done no harm if events have arrived, in seconds.
    :param min_outages: least number of outages before a quarantine, 2 or more.
    :param max_outages: number of outages that is always enough.
    :param false_share: see above, between 0 and 1.
    :param rate_seconds: time constant of the mean share of lost prompts, in seconds.
    :param prior_prompts: number of prompts, one of them lost, with which that mean
        begins.
    :param outage_seconds: crashes of several servers within this time are one outage.
    :param same_crash_seconds: reports of the same server's crash within this time are
        about one crash.
    :param alive_margin: time after a supposed crash from which bytes of the server
        show that it goes on, in seconds. Bytes that arrived before it may be read
        later.
    :param start_seconds: least time in which a crashed server starts again; later
        bytes don't show that it hasn't crashed.
    :param hold: first time in quarantine, in seconds.
    :param max_hold: longest time in quarantine, in seconds.
    :param ambiguous_hold: time in quarantine of one of several possible causes.
    :param trial_seconds: pause between two trials, in seconds.
    :param spread_seconds: time for which a change is sent to other entries.
    :param forget_seconds: time after which a crash of a part that is not in quarantine
        is forgotten.
    """

    def __init__(
        self,
        *,
        begin_seconds=0.5,
        min_outages=2,
        max_outages=4,
        false_share=0.002,
        rate_seconds=30.0,
        prior_prompts=100,
        outage_seconds=0.2,
        same_crash_seconds=0.5,
        alive_margin=0.15,
        start_seconds=1.0,
        hold=30.0,
        max_hold=600.0,
        ambiguous_hold=2.0,
        trial_seconds=2.0,
        spread_seconds=1.0,
        forget_seconds=60.0,
    ):
        self.begin_seconds = begin_seconds
        self.min_outages = min_outages
        self.max_outages = max_outages
        self.false_share = false_share
        self.rate_seconds = rate_seconds
        self.prior_prompts = prior_prompts
        self.outage_seconds = outage_seconds
        self.same_crash_seconds = same_crash_seconds
        self.alive_margin = alive_margin
        self.start_seconds = start_seconds
        self.hold = hold
        self.max_hold = max_hold
        self.ambiguous_hold = ambiguous_hold
        self.trial_seconds = trial_seconds
        self.spread_seconds = spread_seconds
        self.forget_seconds = forget_seconds

    def reset(self):
        """Check the arguments and clear all evidence.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not 2 <= self.min_outages <= self.max_outages:
            raise SettingError(
                f"min_outages is {self.min_outages!r} and max_outages "
                f"{self.max_outages!r}, but one crash has too many possible causes",
                remedy="set min_outages to 2 or more, max_outages to that or more",
            )
        if not 0 < self.false_share < 1:
            raise SettingError(
                f"false_share is {self.false_share!r}",
                remedy="set false_share to a value between 0 and 1",
            )
        if not 0 < self.hold <= self.max_hold:
            raise SettingError(
                f"hold is {self.hold!r} and max_hold {self.max_hold!r}",
                remedy="set hold above 0, and max_hold to hold or more",
            )
        self.attempts_ = {}
        self.suspects_ = {}
        #: Time at which a prompt with a part was last answered by this entry.
        self.answered_at_ = OrderedDict()
        #: Time of the last supposed crash of each server, and the time at which a
        #: server was heard since.
        self.crashed_at_ = {}
        self.heard_at_ = {}
        self.trials_ = {}
        #: List of :class:`CrashCause`; ``None`` after the evidence has changed.
        self.causes_ = []
        #: Parts that were in quarantine when the causes were last computed.
        self.quarantined_ = set()
        #: Recent prompts that were answered and that were lost before the first event
        #: of their answer, both with exponentially decaying weights.
        self.answered_weight_ = 0.0
        self.lost_weight_ = 0.0
        self.weighed_at_ = 0.0
        return self

    def observe(self, event, now):
        """Record an event.

        :param event: one of the events of this package, or a :class:`PartEvidence` of
            another entry.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, AnswerContinued):
            self._continue_answer(event, now)
        elif isinstance(event, ServerHeard):
            self._hear(event.server, now)
        elif isinstance(event, AttemptSent):
            attempt = _Attempt(server=event.server, parts=event.parts)
            self.attempts_[event.attempt] = attempt
        elif isinstance(event, AnswerBegun):
            self.attempts_[event.attempt].begun_at = now
        elif isinstance(event, AttemptEnded):
            self._end_attempt(event, now)
        elif isinstance(event, PartEvidence):
            self._merge(event, now)
        elif isinstance(event, TrialStarted):
            self.trials_[event.parts] = (event.request, now)

    def _continue_answer(self, event, now):
        attempt = self.attempts_[event.attempt]
        if attempt.is_credited or attempt.begun_at is None:
            return
        attempt.has_events = attempt.has_events or event.has_events
        if attempt.has_events and now - attempt.begun_at >= self.begin_seconds:
            attempt.is_credited = True
            self._record_answered(attempt.parts, now)

    def _decay_weights(self, now):
        factor = math.exp(-max(0.0, now - self.weighed_at_) / self.rate_seconds)
        self.answered_weight_ *= factor
        self.lost_weight_ *= factor
        self.weighed_at_ = now

    def get_needed_outages(self):
        """Return the number of outages that is enough for a part without answers."""
        weight = self.answered_weight_ + self.lost_weight_ + self.prior_prompts
        share = (self.lost_weight_ + 1.0) / weight
        if share >= 1.0:
            return self.max_outages
        needed = math.ceil(math.log(self.false_share) / math.log(share))
        return min(max(needed, self.min_outages), self.max_outages)

    def _end_attempt(self, event, now):
        attempt = self.attempts_.pop(event.attempt)
        if attempt.is_credited:
            return
        if event.end is AnswerEnd.WHOLE:
            self._record_answered(attempt.parts, now)
        elif event.end is AnswerEnd.CLOSED and attempt.begun_at is not None:
            if attempt.has_events and now - attempt.begun_at >= self.begin_seconds:
                return
            if not attempt.has_events:
                self._decay_weights(now)
                self.lost_weight_ += 1.0
            crash = Crash(
                server=attempt.server,
                at=now,
                prompt=zlib.crc32(event.attempt.encode()),
                has_events=attempt.has_events,
            )
            self._record_crash(attempt.parts, crash, now)

    def _record_answered(self, parts, now):
        self._decay_weights(now)
        self.answered_weight_ += 1.0
        for part in parts:
            self.answered_at_[part] = now
            self.answered_at_.move_to_end(part)
            if part in self.suspects_:
                self._clear_until(self.suspects_[part], now, now)
        while len(self.answered_at_) > MAX_ANSWERED_PARTS:
            self.answered_at_.popitem(last=False)

    def _clear_until(self, suspect, answered_at, now):
        """Drop the crashes before an answer to a prompt with the part."""
        if answered_at <= suspect.answered_at:
            return
        is_first = suspect.answered_at == NEVER
        suspect.answered_at = answered_at
        left = [crash for crash in suspect.crashes if crash.at > answered_at]
        if is_first or len(left) < len(suspect.crashes):
            suspect.crashes = left
            suspect.changed_at = now
            self.causes_ = None

    def _record_crash(self, parts, crash, now):
        if self._was_heard_after(crash):
            return
        for part in parts:
            suspect = self._get_suspect(part)
            if self._add_crash(suspect, crash):
                suspect.changed_at = now
        self.crashed_at_[crash.server] = crash.at
        self.causes_ = None

    def _get_suspect(self, part):
        if part not in self.suspects_:
            if len(self.suspects_) >= MAX_PARTS:
                # The last one is a part in quarantine only if all of them are.
                del self.suspects_[self._rank_suspects()[-1]]
            answered_at = self.answered_at_.get(part, NEVER)
            self.suspects_[part] = _Suspect(answered_at=answered_at)
        return self.suspects_[part]

    def _rank_suspects(self):
        """Return the suspected parts: those in quarantine, then the last changed."""
        self.get_causes()

        def get_rank(part):
            return part in self.quarantined_, self.suspects_[part].changed_at, part

        return sorted(self.suspects_, key=get_rank, reverse=True)

    def _add_crash(self, suspect, crash):
        """Add a crash unless it is known or refuted; return whether it is new."""
        if crash.at <= suspect.answered_at:
            return False
        if any(known.prompt == crash.prompt for known in suspect.crashes):
            return False
        suspect.crashes.append(crash)
        suspect.crashes.sort(key=lambda item: item.at)
        del suspect.crashes[:-MAX_CRASHES_PER_PART]
        return True

    def _was_heard_after(self, crash):
        heard_at = self.heard_at_.get(crash.server, NEVER)
        return self.alive_margin < heard_at - crash.at < self.start_seconds

    def _hear(self, server, now):
        crashed_at = self.crashed_at_.get(server)
        if crashed_at is None:
            return
        if self.alive_margin < now - crashed_at < self.start_seconds:
            self.heard_at_[server] = now
            del self.crashed_at_[server]
            for suspect in self.suspects_.values():
                suspect.crashes = [
                    crash
                    for crash in suspect.crashes
                    if crash.server != server or not self._was_heard_after(crash)
                ]
            self.causes_ = None

    def _merge(self, evidence, now):
        """Merge what another entry knows of a part into the own evidence."""
        known = self.suspects_.get(evidence.part)
        crashes = [item for item in evidence.crashes if not self._was_heard_after(item)]
        if known is None and not crashes:
            return
        suspect = self._get_suspect(evidence.part)
        if known is None and suspect.answered_at > evidence.answered_at:
            suspect.changed_at = now
        self._clear_until(suspect, evidence.answered_at, now)
        added = [crash for crash in crashes if self._add_crash(suspect, crash)]
        for crash in added:
            at = max(crash.at, self.crashed_at_.get(crash.server, NEVER))
            self.crashed_at_[crash.server] = at
        if added:
            suspect.changed_at = now
            self.causes_ = None

    def get_causes(self):
        """Return the :class:`CrashCause` of the parts in quarantine, as list."""
        if self.causes_ is None:
            suspects = {
                part: suspect
                for part, suspect in self.suspects_.items()
                if len(suspect.crashes) >= self.min_outages
            }
            self.causes_ = find_crash_causes(
                {part: suspect.crashes for part, suspect in suspects.items()},
                {part: self._get_needed_outages_of(part) for part in suspects},
                outage_seconds=self.outage_seconds,
                same_crash_seconds=self.same_crash_seconds,
            )
            self.quarantined_ = {part for cause in self.causes_ for part in cause.parts}
        return self.causes_

    def _get_needed_outages_of(self, part):
        if part in self.quarantined_:
            # Later crashes under other prompts don't refute the earlier evidence.
            return self.min_outages
        suspect = self.suspects_[part]
        had_events = any(crash.has_events for crash in suspect.crashes)
        if suspect.answered_at == NEVER and not had_events:
            return self.get_needed_outages()
        return self.max_outages

    def get_hold_end(self, cause):
        """Return the time at which a quarantine ends, monotonic seconds.

        :param cause: a :class:`CrashCause`.
        """
        if cause.is_ambiguous:
            return cause.last_at + self.ambiguous_hold
        doublings = cause.outages - self.min_outages
        return cause.last_at + min(self.hold * 2**doublings, self.max_hold)

    def find_cause(self, parts):
        """Return the :class:`CrashCause` that a prompt has, or ``None``.

        :param parts: ids of its parts.
        """
        causes = self.get_causes()
        if not causes:
            return None
        present = frozenset(parts)
        affecting = [cause for cause in causes if cause.parts <= present]
        return max(affecting, key=self.get_hold_end, default=None)

    def decide(self, query, now):
        """Decide whether a prompt may be sent to a server.

        :param query: a :class:`QuarantineQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`Admitted`, a :class:`TrialDue`, or ``PARTS_QUARANTINED``.
        """
        cause = self.find_cause(query.parts)
        if cause is None:
            return ADMITTED
        parts = tuple(sorted(cause.parts))
        held_for = now - self.get_hold_end(cause)
        if held_for >= 0.0:
            request, started_at = self.trials_.get(parts, ("", NEVER))
            if request == query.request:
                return ADMITTED
            if now - started_at >= self.trial_seconds:
                return TrialDue(parts=parts, turn=int(held_for / self.trial_seconds))
        return PARTS_QUARANTINED.with_reason(
            f"servers crashed {cause.outages} times under prompts with "
            f"{', '.join(parts)}"
        )

    def find_withheld_attempts(self, now):
        """Return the ids of attempts with quarantined parts that wait in servers.

        :param now: monotonic time, in seconds.
        :return: list of those whose answer has not begun.
        """
        if not self.get_causes():
            return []
        return [
            name
            for name, attempt in self.attempts_.items()
            if attempt.begun_at is None
            and (cause := self.find_cause(attempt.parts)) is not None
            and now < self.get_hold_end(cause)
        ]

    def get_evidence(self, now, *, is_full):
        """Return what other entries should know.

        :param now: monotonic time, in seconds.
        :param is_full: whether they need the evidence of all parts with crashes, and
            not only what has changed lately.
        :return: list of :class:`PartEvidence`: the parts in quarantine first, then
            those that were last changed.
        """
        suspects = {part: self.suspects_[part] for part in self._rank_suspects()}
        return [
            PartEvidence(
                part=part,
                crashes=tuple(suspect.crashes),
                answered_at=suspect.answered_at,
            )
            for part, suspect in suspects.items()
            if now - suspect.changed_at < self.spread_seconds
            or (is_full and suspect.crashes)
        ]

    def _forget_crashes(self, now):
        kept = {
            part
            for cause in self.get_causes()
            if now < self.get_hold_end(cause) + self.forget_seconds
            for part in cause.parts
        }
        for part, suspect in list(self.suspects_.items()):
            left = [
                crash
                for crash in suspect.crashes
                if part in kept or now - crash.at < self.forget_seconds
            ]
            if len(left) < len(suspect.crashes):
                suspect.crashes = left
                self.causes_ = None
            if not left and now - suspect.changed_at > self.spread_seconds:
                del self.suspects_[part]

    def tick(self, now):
        """Forget old evidence.

        :param now: monotonic time, in seconds.
        """
        self._forget_crashes(now)
        for parts, (_, started_at) in list(self.trials_.items()):
            if now - started_at > self.forget_seconds:
                del self.trials_[parts]
        # Other entries may tell of a refuted crash for as long as they remember it.
        for times in (self.crashed_at_, self.heard_at_):
            for server, at in list(times.items()):
                if now - at > self.start_seconds + self.forget_seconds:
                    del times[server]
        return []
