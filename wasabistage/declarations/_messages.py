"""Events, queries and answers of the configuration policies."""

from dataclasses import dataclass

from wasabistage.declarations._diff import Change
from wasabistage.declarations._model import Deployment
from wasabistage.declarations._record import ConfigState
from wasabistage.utils import Sentinel

#: No configuration is known yet.
NO_CONFIGURATION = Sentinel("NO_CONFIGURATION")
#: No record with this id was folded.
NOT_SEEN = Sentinel("NOT_SEEN")
#: Nothing has to be carried forward now.
NOT_DUE = Sentinel("NOT_DUE")
#: The publication goes on.
PENDING = Sentinel("PENDING")


@dataclass(frozen=True, kw_only=True)
class LogRecord:
    """One record read from the log.

    :param offset: its offset.
    :param data: its bytes.
    :param age: time since it was appended, in seconds, if the log tells.
    """

    offset: int
    data: bytes
    age: float | None = None


@dataclass(frozen=True, kw_only=True)
class LogRead:
    """Event: every kept record with ``start <= offset < end`` was read.

    :param start: the asked offset, or the oldest kept one if that is later.
    :param end: the offset to read on from.
    :param records: the records, by offset.
    :param tail: the log's end at that time; the reader has caught up at it.
    """

    start: int
    end: int
    records: tuple[LogRecord, ...] = ()
    tail: int = 0


@dataclass(frozen=True, kw_only=True)
class LogFailed:
    """Event: the log could not be read."""


@dataclass(frozen=True, kw_only=True)
class AppendAnswered:
    """Event: the log answered an append.

    :param offset: the record's offset.
    """

    offset: int


@dataclass(frozen=True, kw_only=True)
class AppendFailed:
    """Event: an append had no good answer.

    :param may_have_run: whether it may have taken effect all the same.
    """

    may_have_run: bool = True


@dataclass(frozen=True, kw_only=True)
class PeerState:
    """Event: another entry told its folded state.

    :param state: the state.
    :param age: seconds since its head was last stated in the log, if known.
    """

    state: ConfigState
    age: float | None = None


@dataclass(frozen=True, kw_only=True)
class InForceQuery:
    """Query: which deployment is in force here?"""


@dataclass(frozen=True, kw_only=True)
class InForce:
    """Answer: the deployment in force at this instance.

    :param version: its version.
    :param deployment: the deployment.
    :param head: newest accepted version; above ``version`` when this program can't
        read it.
    :param doubtful: whether a newer version may exist, since the log was trimmed
        before it was read.
    """

    version: int
    deployment: Deployment
    head: int
    doubtful: bool = False


@dataclass(frozen=True, kw_only=True)
class OutcomeQuery:
    """Query: what became of a proposal?

    :param id: id of the publication.
    """

    id: str


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """Answer: what the fold decided on a proposal.

    :param id: id of the publication.
    :param accepted: whether it was accepted.
    :param version: its version; when overtaken, the version that stood before it.
    """

    id: str
    accepted: bool
    version: int


@dataclass(frozen=True, kw_only=True)
class PutInForce:
    """Action: use this deployment from now on.

    :param version: its version.
    :param deployment: the deployment.
    """

    version: int
    deployment: Deployment


@dataclass(frozen=True, kw_only=True)
class RaiseAlarm:
    """Action: tell the operator of a record that was passed over.

    :param offset: its offset; -1 when it did not come from the log.
    :param reason: why.
    """

    offset: int
    reason: str


@dataclass(frozen=True, kw_only=True)
class HeadStated:
    """Action, and event of the carry policy: the log states the head (again).

    :param version: version of the head.
    :param age: seconds since that record was appended, if known.
    """

    version: int
    age: float | None = None


@dataclass(frozen=True, kw_only=True)
class ReadLog:
    """Action: read the configuration stream.

    :param offset: where to read from.
    """

    offset: int


@dataclass(frozen=True, kw_only=True)
class AppendRecord:
    """Action: append a record to the configuration stream.

    :param data: its bytes.
    """

    data: bytes


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """Outcome of a publication: accepted, read back from the log.

    :param version: its version.
    :param unchanged: whether this very deployment stood in force already.
    """

    version: int
    unchanged: bool = False


@dataclass(frozen=True, kw_only=True)
class Overtaken:
    """Outcome of a publication: another one came first.

    :param version: version in force instead.
    :param changes: what it changed against the base of this publication.
    """

    version: int
    changes: tuple[Change, ...] = ()


@dataclass(frozen=True, kw_only=True)
class NotAccepted:
    """Outcome of a publication: the log was out of reach, or has a gap.

    :param reason: why, one sentence.
    :param remedy: what to do, one sentence.
    :param may_take_effect: whether an append may have taken effect, or may yet.
    """

    reason: str
    remedy: str
    may_take_effect: bool
