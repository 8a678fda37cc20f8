"""Quarantine of prompt parts that crash the engines that answer them.

A request that crashes its server does so again at the next one, so that retries and
new requests of its kind end one server after the other. :class:`CrashQuarantine` finds
the part that such requests share, and withholds requests with it::

    quarantine.observe(AttemptSent(attempt=attempt, parts=parts, server=server), now)
    quarantine.observe(AnswerBegun(attempt=attempt), now)
    quarantine.observe(AttemptEnded(attempt=attempt, end=AnswerEnd.CLOSED), now)
    ...
    decision = quarantine.decide(QuarantineQuery(request=request, parts=parts), now)
    if not decision:                   # a Sentinel
        reject the request; decision.reason names the part

Entries exchange what they know of suspected parts as :class:`PartEvidence`.
"""

from wasabistage.utils import build_lazy_exports

__getattr__, __all__ = build_lazy_exports(
    __name__,
    {
        "_attribution": ("CrashCause", "find_crash_causes"),
        "_messages": (
            "Admitted",
            "AnswerBegun",
            "AnswerContinued",
            "AnswerEnd",
            "AttemptEnded",
            "AttemptSent",
            "Crash",
            "PARTS_QUARANTINED",
            "PartEvidence",
            "QuarantineQuery",
            "ServerHeard",
            "TrialDue",
            "TrialStarted",
        ),
        "_policy": ("CrashQuarantine",),
    },
)
