"""One request on its way: what is known of it, and its attempts."""

from dataclasses import dataclass, field

from wasabistage.retries import Failure
from wasabistage.sessions import EventSplitter


@dataclass
class Attempt:
    """One dispatch of a request.

    :param choice: the :class:`wasabistage.edge._choice.Choice`.
    :param attempt_id: id of the attempt within this process.
    :param begun_at: when it began, monotonic seconds.
    :param failure: a :class:`wasabistage.retries.Failure`; ``None`` when answered.
    :param reason: what happened.
    :param error_response: whole plain answer (head, body) that the server gave, if any.
    :param retry_after: seconds that the server named, or ``None``.
    :param first_event_seconds: seconds to its first event, or ``None``.
    :param is_version_mismatch: whether the server runs another weight version than
        was expected.
    :param is_other_server: whether another server had the address.
    """

    choice: object
    attempt_id: str
    begun_at: float
    failure: Failure | None = None
    reason: str = ""
    error_response: tuple | None = None
    retry_after: float | None = None
    first_event_seconds: float | None = None
    is_version_mismatch: bool = False
    is_other_server: bool = False


@dataclass
class Exchange:
    """A request and what became of it.

    :param request: the :class:`CallerRequest`.
    :param route: its :class:`wasabistage.fleet.Route`.
    :param account: its :class:`wasabistage.fleet.ClientAccount`, or ``None``.
    :param service: name of the service that takes it.
    :param channel: the :class:`wasabistage.http1.CallerChannel`.
    :param nursery: nursery of the request, for what runs beside it.
    :param deadline_at: when it must be answered, monotonic seconds.
    :param attempts: list of :class:`Attempt`.
    :param may_have_run: whether a server may have run it.
    :param splitter: events passed on so far.
    :param gate_waits: looks at the gate that found no room.
    """

    request: object
    route: object
    account: object
    service: str
    channel: object
    nursery: object
    deadline_at: float
    attempts: list = field(default_factory=list)
    may_have_run: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    gate_waits: int = 0

    def get_time_left(self, now):
        """Return the seconds until the deadline."""
        return self.deadline_at - now

    @property
    def tried_servers(self):
        """Ids of the servers that got the request."""
        return {
            item.choice.record.server
            for item in self.attempts
            if item.failure is not Failure.NOT_SENT and not item.is_other_server
        }
