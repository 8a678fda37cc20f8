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
MAX_AGE_SECONDS = 3600.0  # of crashes in reports, far above the longest quarantine
MAX_EVIDENCE_ROWS = 32  # some 7 KB of a report


class CrashWatch:
    """Applies a :class:`wasabistage.quarantine.CrashQuarantine` to the attempts.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Each open :class:`Attempt` with a prompt and its cancel scope, by its id.
        self.open_attempts = {}
        self.logged_causes = frozenset()

    @property
    def quarantine(self):
        """The :class:`wasabistage.quarantine.CrashQuarantine` of this process."""
        return self.state.quarantine

    def check(self, request):
        """Return a falsy sentinel if a prompt must not be sent to a server.

        :param request: a :class:`CallerRequest`.
        :return: a decision, or ``PARTS_QUARANTINED`` with the reason.
        """
        now = self.state.timer.now()
        query = QuarantineQuery(
            request=request.request_id, parts=get_shared_parts(request)
        )
        decision = self.quarantine.decide(query, now)
        if not isinstance(decision, TrialDue):
            return decision
        members = self.state.view.get_members().values()
        role = f"trial/{decision.turn}/{','.join(decision.parts)}"
        if rank_members(members, role)[0].name != self.state.settings.instance.name:
            return PARTS_QUARANTINED.with_reason(
                f"another entry tries a prompt with {', '.join(decision.parts)}"
            )
        self.state.log.write(
            "trial_started", request=request.request_id, parts=decision.parts
        )
        event = TrialStarted(request=request.request_id, parts=decision.parts)
        self.quarantine.observe(event, now)
        return decision

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

    def record_bytes(self, attempt):
        """Record that bytes of an answer arrived."""
        now = self.state.timer.now()
        if attempt.attempt_id in self.open_attempts:
            event = AnswerContinued(attempt=attempt.attempt_id)
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
        elif attempt.is_stream_whole and attempt.first_event_seconds is not None:
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
            answered = row.answered
            if answered is not None and not answered >= 0.0:
                answered = None
            evidence = PartEvidence(
                part=row.part,
                crashes=tuple(
                    Crash(server=server, at=now - age, prompt=prompt)
                    for server, age, prompt in row.crashes
                    if 0.0 <= age < MAX_AGE_SECONDS
                ),
                answered_at=NEVER if answered is None else now - answered,
            )
            self.quarantine.observe(evidence, now)
        if rows:
            self._handle_changes(now)

    def build_rows(self, *, is_relay):
        """Return the evidence for a report, as list of :class:`EvidenceRow`.

        :param is_relay: whether the report is a relay's.
        """
        now = self.state.timer.now()
        evidence = self.quarantine.get_evidence(now, is_full=is_relay)
        return [
            EvidenceRow(
                part=item.part,
                crashes=[
                    (crash.server, now - crash.at, crash.prompt)
                    for crash in item.crashes
                ],
                answered=None if item.answered_at == NEVER else now - item.answered_at,
            )
            for item in evidence[:MAX_EVIDENCE_ROWS]
        ]

    def _handle_changes(self, now):
        """Log new and ended quarantines, and withdraw prompts that wait in servers."""
        causes = frozenset(cause.parts for cause in self.quarantine.get_causes())
        for cause in self.quarantine.get_causes():
            if cause.parts not in self.logged_causes:
                self.state.log.write(
                    "parts_quarantined",
                    parts=sorted(cause.parts),
                    outages=cause.outages,
                    hold=round(self.quarantine.get_hold_end(cause) - now, 3),
                )
        for parts in self.logged_causes - causes:
            self.state.log.write("parts_released", parts=sorted(parts))
        self.logged_causes = causes
        for name in self.quarantine.find_withheld_attempts(now):
            attempt, scope = self.open_attempts[name]
            attempt.is_withdrawn = True
            scope.cancel()

    async def tick(self, tick):
        """Forget old evidence; called by the timer service.

        :param tick: unused.
        """
        now = self.state.timer.now()
        self.quarantine.tick(now)
        self._handle_changes(now)


def get_shared_parts(request):
    """Return the ids of a prompt's parts that other prompts may share.

    :param request: a :class:`CallerRequest`.
    """
    if request.prompt is None:
        return ()
    return tuple(part.part for part in request.prompt.parts[:-1])
