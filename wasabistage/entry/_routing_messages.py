"""Messages of the task that chooses backend servers."""

from dataclasses import dataclass

from wasabistage.base import Rank
from wasabistage.exceptions import UnavailableError
from wasabistage.reference import EngineLoad
from wasabistage.retries import Failure


@dataclass(frozen=True, kw_only=True)
class LoadArrived:
    """A load report that arrived, or its failure.

    :param name: name of the backend server.
    :param load: the report, or ``None`` if none came.
    :param asked_at: monotonic time of the question, in seconds.
    """

    name: str
    load: EngineLoad | None
    asked_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class VersionMissing:
    """Tells that a server does not hold a version that it reported.

    :param server: name of the backend server.
    :param model: name of the model.
    """

    server: str
    model: str


class VersionPendingError(UnavailableError):
    """No backend server has loaded the declared version of a model yet."""


@dataclass(frozen=True, kw_only=True)
class ChooseServer:
    """Asks for the backend server of one attempt.

    Answered with a :class:`Chosen`.

    :param attempt: identifier of the attempt.
    :param service: the :class:`wasabistage.declarations.Service`.
    :param tried: names of the servers tried before.
    :param rank: rank of the call.
    :param prompt: the :class:`wasabistage.entry._cache.Prompt`, for a model.
    :param found: where its pieces are, for a model.
    """

    attempt: str
    service: object
    tried: tuple = ()
    rank: Rank = Rank.INTERACTIVE
    prompt: object = None
    found: object = None


@dataclass(frozen=True, kw_only=True)
class Chosen:
    """The backend server of one attempt.

    :param server: the :class:`wasabistage.declarations.BackendServer`.
    :param decision: the :class:`wasabistage.routing.RouteDecision`.
    """

    server: object
    decision: object


@dataclass(frozen=True, kw_only=True)
class AttemptEnded:
    """Tells how an attempt ended.

    :param attempt: identifier of the attempt.
    :param server: name of the backend server.
    :param good: whether the server answered well.
    :param seconds: seconds per unit of expected time, or plain seconds.
    """

    attempt: str
    server: str
    good: bool
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class AskRetry:
    """Asks whether a failed attempt may be repeated.

    Answered with a :class:`wasabistage.retries.Retry` or a sentinel.

    :param service: the :class:`wasabistage.declarations.Service`.
    :param idempotent: whether the call may be repeated.
    :param failure: a :class:`wasabistage.retries.Failure`.
    :param tried: names of the servers tried so far.
    :param deadline_at: latest useful time of the first byte, monotonic seconds.
    """

    service: object
    idempotent: bool
    failure: Failure
    tried: tuple
    deadline_at: float


@dataclass(frozen=True, kw_only=True)
class AskServers:
    """Asks for the state of every backend server."""
