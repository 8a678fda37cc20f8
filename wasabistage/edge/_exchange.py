"""The state of one request while it is forwarded."""

from contextlib import contextmanager
from dataclasses import dataclass, field

from wasabistage.retries import Failure
from wasabistage.sessions import EventSplitter


@dataclass
class Attempt:
    """One attempt to send a request to a backend server.

    :param choice: the :class:`wasabistage.edge._choice.Choice`.
    :param attempt_id: id of the attempt within this process.
    :param begun_at: start of the attempt, monotonic seconds.
    :param failure: a :class:`wasabistage.retries.Failure`; ``None`` if the attempt
        succeeded or is still running.
    :param reason: description of the failure, for the log.
    :param error_response: head and body of the server's error response (status 500 or
        above), or ``None``.
    :param retry_after: time after which the server permits a retry, in seconds, or
        ``None``.
    :param head_seconds: time to the head of the response, or ``None``.
    :param first_event_seconds: time to the first stream event, or ``None``.
    :param is_answer_whole: whether an answer with a success status and content has been
        forwarded to its end.
    :param is_withdrawn: whether it was cancelled since its prompt would have crashed
        the server, or have begun on old weights too late.
    :param is_unheld: whether this process had no memory for the response.
    :param is_version_mismatch: whether the server runs another weight version than
        was expected.
    :param is_server_replaced: whether another server now has the address.
    :param is_deferred: whether it was not sent, since the server must not get it now.
    :param cold_limit: the :class:`ColdLimit` under which it counts, or ``None``.
    """

    choice: object
    attempt_id: str
    begun_at: float
    failure: Failure | None = None
    reason: str = ""
    error_response: tuple | None = None
    retry_after: float | None = None
    head_seconds: float | None = None
    first_event_seconds: float | None = None
    is_answer_whole: bool = False
    is_withdrawn: bool = False
    is_unheld: bool = False
    is_version_mismatch: bool = False
    is_server_replaced: bool = False
    is_deferred: bool = False
    cold_limit: object = None


@dataclass(eq=False)
class ServerWait:
    """A wait of an attempt for bytes from its server.

    :param scope: the cancel scope of the wait.
    :param channel: the :class:`wasabistage.http1.Channel` of a response that has begun;
        ``None`` before its head has been read.
    :param limit: longest time without a byte of a response that has begun, in seconds.
    :param begun_at: start of the wait, seconds of trio's clock.
    :param exchange: the :class:`Exchange`.
    :param attempt: the :class:`Attempt`.
    """

    scope: object
    channel: object
    limit: float
    begun_at: float
    exchange: object
    attempt: object

    def is_too_long(self, now):
        """Return whether the wait ends if the server sends nothing on any channel.

        :param now: seconds of trio's clock.
        """
        if self.channel is None:
            return True
        return now - max(self.begun_at, self.channel.heard_at) > self.limit


@dataclass
class Exchange:
    """A request of a caller with its attempts.

    :param request: the :class:`CallerRequest`.
    :param route: its :class:`wasabistage.fleet.Route`.
    :param account: its :class:`wasabistage.fleet.ClientAccount`, or ``None``.
    :param service: name of the service that the request is sent to.
    :param taken_under: the :class:`wasabistage.fleet.Configuration` in force when it
        was taken.
    :param channel: the :class:`wasabistage.http1.CallerChannel`.
    :param nursery: nursery for the tasks of this request.
    :param deadline_at: time by which it must be answered, monotonic seconds.
    :param attempts: list of :class:`Attempt`, oldest first.
    :param may_have_run: whether a server may have run it.
    :param splitter: splits streams into events; knows which were forwarded.
    :param rest_seconds: time for which all servers want no requests, in seconds; 0 if
        one of them takes requests.
    :param is_write_open: whether a write to the caller has begun and not returned. If
        it was cancelled, what the caller has received is unknown.
    :param gate_waits: number of times that the gate found no room for the request.
    :param last_event_at: time at which the last event of a stream was received,
        monotonic seconds; ``None`` before the first.
    :param granted_retry: the :class:`wasabistage.retries.Retry` for which the running
        attempt is cancelled, or ``None``.
    :param has_unsent_retry: whether a retry that takes from the budget was decided and
        not sent yet.
    """

    request: object
    route: object
    account: object
    service: str
    taken_under: object
    channel: object
    nursery: object
    deadline_at: float
    attempts: list = field(default_factory=list)
    may_have_run: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    gate_waits: int = 0
    rest_seconds: float = 0.0
    is_write_open: bool = False
    last_event_at: float | None = None
    granted_retry: object = None
    has_unsent_retry: bool = False

    @contextmanager
    def write(self):
        """Mark the writes of the block to the caller, until they have returned."""
        self.is_write_open = True
        yield
        self.is_write_open = False

    def get_time_left(self, now):
        """Return the seconds until the deadline."""
        return self.deadline_at - now

    @property
    def has_begun(self):
        """Whether the caller has got the head of an answer."""
        return self.channel is not None and self.channel.started

    @property
    def tried_servers(self):
        """Ids of the servers that the request was sent to, without replaced ones."""
        return {
            item.choice.record.server
            for item in self.attempts
            if item.failure is not Failure.NOT_SENT and not item.is_server_replaced
        }
