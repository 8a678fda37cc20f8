"""One log line for each request of a caller."""

from dataclasses import dataclass

import trio
from werkzeug.exceptions import HTTPException

from wasabistage.exceptions import WasabistageError
from wasabistage.observe import make_logger

#: Status of a request whose caller left before an answer began; none was sent.
NO_STATUS = 0
FAULT_STATUS = 500
NAMES = ("request_id", "endpoint", "account", "service", "call", "rank", "server")
log = make_logger("request")


@dataclass
class RequestRecord:
    """What the log line of one request says; never what the caller sent.

    :ivar request_id: identifier of the request.
    :ivar started: monotonic time of its arrival, in seconds.
    :ivar endpoint: name of the handler; empty for an unknown path.
    :ivar account: name of the client account; empty until it is known.
    :ivar service: name of the service.
    :ivar call: name of the call.
    :ivar rank: its rank.
    :ivar server: backend server that answered.
    :ivar streaming: whether the line is written at the end of a stream.
    """

    request_id: str
    started: float
    endpoint: str = ""
    account: str = ""
    service: str = ""
    call: str = ""
    rank: str = ""
    server: str = ""
    streaming: bool = False

    def note_call(self, resolved):
        """Keep which call it is.

        :param resolved: a :class:`wasabistage.entry._calls.ResolvedCall`.
        """
        self.service = resolved.service.name
        self.call = resolved.call.name
        self.rank = resolved.call.rank.name.lower()

    def write(self, now, status, kind="ok"):
        """Write the line.

        :param now: monotonic time, in seconds.
        :param status: HTTP status.
        :param kind: kind of the error; ``ok`` for none.
        """
        facts = {name: getattr(self, name) for name in NAMES if getattr(self, name)}
        facts |= {
            "status": status,
            "kind": kind,
            "seconds": round(now - self.started, 6),
        }
        log.info("request", extra=facts)


def describe_failure(error, translate):
    """Tell the status and the kind that an error ends a request with.

    :param error: the exception.
    :param translate: turns an error of the HTTP library into a typed one.
    :return: a tuple of the status and the kind.
    """
    if isinstance(error, HTTPException):
        error = translate(error)
    if isinstance(error, WasabistageError):
        return error.status, error.kind
    if isinstance(error, trio.Cancelled):
        return NO_STATUS, "caller_left"
    return FAULT_STATUS, WasabistageError.kind


def status_of(answer):
    """Return the HTTP status of what a handler returned.

    :param answer: a response, a body, or a tuple of body, status and headers.
    :return: the status.
    """
    if isinstance(answer, tuple):
        return answer[1]
    return getattr(answer, "status_code", 200)
