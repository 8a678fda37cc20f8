"""Watches for prompts that crash servers, and withholds those that would."""

from wasabistage.edge._peer_messages import EvidenceRow
from wasabistage.http1 import ChannelClosedError
from wasabistage.quarantine import (
    PARTS_QUARANTINED,
    AnswerBegun,
    AnswerContinued,
    AnswerEnd,
    AttemptEnded,
    AttemptSent,
    Crash,
    PartEvidence,
    QuarantineQuery,
    ServerHeard,
    TrialDue,
    TrialStarted,
)
from wasabistage.topology import rank_members

NEVER = float("-inf")
MAX_AGE_SECONDS = 3600.0  # of crashes in reports
MAX_EVIDENCE_ROWS = 32  # some 7 KB of a report


class CrashWatch:
    """Applies a :class:`wasabistage.quarantine.CrashQuarantine` to the attempts.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.quarantine = state.quarantine
        #: Each open :class:`Attempt` with a prompt and its cancel scope, by its id.
        self.open_attempts = {}
        #: The parts of each quarantine that the log has named last.
        self.logged_parts = frozenset()

    def check(self, request):
        """Return a falsy sentinel if a prompt must not be sent to a server.

        :param request: a :class:`CallerRequest`.
        :return: a decision, or ``PARTS_QUARANTINED`` with the reason.
        """
        query = QuarantineQuery(
            request=request.request_id, parts=get_shared_parts(request)
        )
        decision = self.quarantine.decide(query, self.state.timer.now())
        if isinstance(decision, TrialDue):
            decision = self._decide_trial(request, decision)
        if not decision:
            self.state.metrics.count("prompt.withheld")
        return decision

    def _decide_trial(self, request, trial):
        """Start a trial if it is this entry's turn; otherwise return a sentinel."""
        ready = [
            item for item in self.state.view.get_members().values() if item.is_ready
        ]
        ranking = rank_members(ready, f"trial/{trial.turn}/{','.join(trial.parts)}")
        if not ranking or ranking[0].name != self.state.settings.instance.name:
            return PARTS_QUARANTINED.with_reason(
                f"another entry tries a prompt with {', '.join(trial.parts)}"
            )
        self.state.log.write(
            "trial_started", request=request.request_id, parts=trial.parts
        )
        event = TrialStarted(request=request.request_id, parts=trial.parts)
        self.quarantine.observe(event, self.state.timer.now())
        return trial

    def get_retry_seconds(self, request):
        """Return the seconds until a rejected prompt may be tried.

        :param request: a :class:`CallerRequest`.
        """
        cause = self.quarantine.find_cause(get_shared_parts(request))
        if cause is None:
            return 0.0
        return max(0.0, self.quarantine.get_hold_end(cause) - self.state.timer.now())

    def record_start(self, exchange, attempt, scope):
        """Record that a prompt is being sent.

        :param exchange: the :class:`Exchange`.
        :param attempt: the :class:`Attempt`.
        :param scope: the cancel scope of the attempt.
        """
        self.open_attempts[attempt.attempt_id] = attempt, scope
        event = AttemptSent(
            attempt=attempt.attempt_id,
            server=attempt.choice.record.server,
            parts=get_shared_parts(exchange.request),
        )
        self.quarantine.observe(event, self.state.timer.now())

    def record_head(self, attempt):
        """Record that the head of an answer arrived."""
        if attempt.attempt_id in self.open_attempts:
            event = AnswerBegun(attempt=attempt.attempt_id)
            self.quarantine.observe(event, self.state.timer.now())

    def record_bytes(self, attempt, *, has_events):
        """Record that bytes of an answer arrived.

        :param attempt: the :class:`Attempt`.
        :param has_events: whether a whole event arrived with them.
        """
        now = self.state.timer.now()
        if attempt.attempt_id in self.open_attempts:
            event = AnswerContinued(attempt=attempt.attempt_id, has_events=has_events)
            self.quarantine.observe(event, now)
        server = attempt.choice.record.server
        self.quarantine.observe(ServerHeard(server=server), now)

    def record_end(self, attempt, error):
        """Record how an attempt ended.

        :param attempt: the :class:`Attempt`.
        :param error: the error of its channel, or ``None``.
        """
        if self.open_attempts.pop(attempt.attempt_id, None) is None:
            return
        end = AnswerEnd.OTHER
        if isinstance(error, ChannelClosedError):
            end = AnswerEnd.CLOSED
        elif attempt.is_answer_whole:
            end = AnswerEnd.WHOLE
        now = self.state.timer.now()
        self.quarantine.observe(AttemptEnded(attempt=attempt.attempt_id, end=end), now)
        self._handle_changes(now)

    def merge(self, rows, now):
        """Merge the evidence of another entry.

        :param rows: list of :class:`EvidenceRow`.
        :param now: monotonic time, in seconds.
        """
        for row in rows[:MAX_EVIDENCE_ROWS]:
            self.quarantine.observe(decode_evidence(row, now), now)
        if rows:
            self._handle_changes(now)

    def build_rows(self, *, is_relay):
        """Return the evidence for a report, as list of :class:`EvidenceRow`.

        :param is_relay: whether the report is a relay's.
        """
        now = self.state.timer.now()
        evidence = self.quarantine.get_evidence(now, is_full=is_relay)
        return [encode_evidence(item, now) for item in evidence[:MAX_EVIDENCE_ROWS]]

    def _handle_changes(self, now):
        self._log_causes(now)
        for name in self.quarantine.find_withheld_attempts(now):
            attempt, scope = self.open_attempts[name]
            attempt.is_withdrawn = True
            scope.cancel()

    def _log_causes(self, now):
        """Log the quarantines that have begun or ended since the last call."""
        causes = {cause.parts: cause for cause in self.quarantine.get_causes()}
        for parts, cause in causes.items():
            if parts not in self.logged_parts:
                self.state.log.write(
                    "parts_quarantined",
                    parts=sorted(parts),
                    outages=cause.outages,
                    hold=round(self.quarantine.get_hold_end(cause) - now, 3),
                )
        for parts in self.logged_parts - set(causes):
            self.state.log.write("parts_released", parts=sorted(parts))
        self.logged_parts = frozenset(causes)

    async def tick(self, tick):
        """Forget old evidence; called by the timer service.

        :param tick: unused.
        """
        now = self.state.timer.now()
        self.quarantine.tick(now)
        self._handle_changes(now)


def encode_evidence(evidence, now):
    """Return the :class:`EvidenceRow` of a part.

    :param evidence: a :class:`wasabistage.quarantine.PartEvidence`.
    :param now: monotonic time, in seconds.
    """
    answered_at = evidence.answered_at
    return EvidenceRow(
        part=evidence.part,
        crashes=[
            (crash.server, now - crash.at, crash.prompt, crash.has_events)
            for crash in evidence.crashes
        ],
        answered=None if answered_at == NEVER else now - answered_at,
    )


def decode_evidence(row, now):
    """Return the :class:`wasabistage.quarantine.PartEvidence` of a row.

    Ages that can't be right are left out.

    :param row: an :class:`EvidenceRow`.
    :param now: monotonic time, in seconds.
    """
    is_answered = row.answered is not None and row.answered >= 0.0
    return PartEvidence(
        part=row.part,
        crashes=tuple(
            Crash(server=server, at=now - age, prompt=prompt, has_events=has_events)
            for server, age, prompt, has_events in row.crashes
            if 0.0 <= age < MAX_AGE_SECONDS
        ),
        answered_at=now - row.answered if is_answered else NEVER,
    )


def get_shared_parts(request):
    """Return the ids of a prompt's parts that other prompts may share.

    :param request: a :class:`CallerRequest`.
    """
    if request.prompt is None:
        return ()
    return tuple(part.part for part in request.prompt.parts[:-1])
