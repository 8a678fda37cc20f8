"""Events, queries and decisions of the quarantine."""

from dataclasses import dataclass
from enum import StrEnum, auto

from wasabistage.utils import Sentinel

PARTS_QUARANTINED = Sentinel(
    "PARTS_QUARANTINED", "parts of the prompt crash the servers that answer it"
)


class AnswerEnd(StrEnum):
    """How an attempt ended.

    ``WHOLE``: the answer is complete. ``CLOSED``: the server closed the connection
    before that. ``OTHER``: anything else, such as an error response or a timeout.
    """

    WHOLE = auto()
    CLOSED = auto()
    OTHER = auto()


@dataclass(frozen=True, kw_only=True)
class AttemptSent:
    """A prompt is sent to a server.

    :param attempt: id of the attempt.
    :param server: id of the server.
    :param parts: ids of the parts that other prompts may share.
    """

    attempt: str
    server: str
    parts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class AnswerBegun:
    """The head of the answer to an attempt arrived.

    :param attempt: id of the attempt.
    """

    attempt: str


@dataclass(frozen=True, kw_only=True)
class AnswerContinued:
    """Bytes of the answer to an attempt arrived.

    :param attempt: id of the attempt.
    :param has_events: whether a whole event arrived with them.
    """

    attempt: str
    has_events: bool


@dataclass(frozen=True, kw_only=True)
class AttemptEnded:
    """An attempt ended.

    :param attempt: id of the attempt.
    :param end: an :class:`AnswerEnd`.
    """

    attempt: str
    end: AnswerEnd


@dataclass(frozen=True, kw_only=True)
class ServerHeard:
    """Bytes of an answer arrived from a server; observed with the time of that.

    :param server: id of the server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class Crash:
    """A server closed the connection of a prompt whose answer had just begun.

    :param server: id of the server.
    :param at: monotonic time, in seconds.
    :param prompt: number that the parts of the same prompt have in common.
    :param has_events: whether a whole event of the answer had arrived.
    """

    server: str
    at: float
    prompt: int
    has_events: bool = False


@dataclass(frozen=True, kw_only=True)
class PartEvidence:
    """What an entry knows of a suspected part.

    :param part: id of the part.
    :param crashes: tuple of :class:`Crash` of prompts with the part, after it was last
        answered.
    :param answered_at: time at which a prompt with the part was last answered,
        monotonic seconds; ``-inf`` if none is known.
    """

    part: str
    crashes: tuple[Crash, ...] = ()
    answered_at: float = float("-inf")


@dataclass(frozen=True, kw_only=True)
class QuarantineQuery:
    """Question whether a prompt may be sent to a server.

    :param request: id of the request.
    :param parts: ids of the parts that other prompts may share.
    """

    request: str
    parts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Admitted:
    """Decision: the prompt may be sent."""


@dataclass(frozen=True, kw_only=True)
class TrialDue:
    """Decision: the prompt may be sent by the one entry that tries for the fleet.

    The entry that sends it reports :class:`TrialStarted`; the others reject it.

    :param parts: the parts in quarantine, sorted.
    :param turn: number of the turn; with each, another entry may try.
    """

    parts: tuple[str, ...]
    turn: int


@dataclass(frozen=True, kw_only=True)
class TrialStarted:
    """This entry sends one prompt with quarantined parts.

    :param request: id of the request.
    :param parts: as in :class:`TrialDue`.
    """

    request: str
    parts: tuple[str, ...]
