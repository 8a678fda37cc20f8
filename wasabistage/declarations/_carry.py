"""When to state the head again, before the log trims it."""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.declarations._messages import NOT_DUE, HeadStated
from wasabistage.declarations._record import ConfigCarried, encode_record
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class CarryQuery:
    """Query: should this entry carry the head forward now?

    :param version: version of the head.
    :param draw: uniform random number, 0 to 1; one for the life of the process.
    """

    version: int
    draw: float


@dataclass(frozen=True, kw_only=True)
class CarryHead:
    """Decision: append a carried record with the state.

    :param version: version of the head.
    """

    version: int


class CarryForward(Policy):
    """Decide when this entry carries the head forward.

    Every entry asks with a draw of its own, so one comes first, the others read its
    record and wait again; if two append, the second changes nothing.

    :param retention: how long the log keeps a record, in seconds.
    :param earliest: age at which the first entry may carry, as a share of
        ``retention``.
    :param spread: share of ``retention`` over which the entries are spread; the sum
        with ``earliest`` stays below one half.
    :param unknown_wait: longest wait when the age is not known, in seconds.
    :param retry: wait before an entry carries again without having read its
        record, in seconds.
    """

    def __init__(
        self,
        retention=86400.0,
        earliest=0.25,
        spread=0.2,
        unknown_wait=60.0,
        retry=10.0,
    ):
        self.retention = retention
        self.earliest = earliest
        self.spread = spread
        self.unknown_wait = unknown_wait
        self.retry = retry

    def reset(self):
        """Check the arguments and start without a head."""
        if min(self.retention, self.unknown_wait, self.retry) <= 0:
            raise SettingError("a time is not above 0", remedy="raise it")
        if self.earliest <= 0 or self.spread < 0 or self.earliest + self.spread >= 0.5:
            raise SettingError(
                "earliest and spread are not a share below one half",
                remedy="lower them, so that a record is carried in time",
            )
        self.version_ = 0
        self.stated_at_ = None
        self.heard_at_ = 0.0
        self.tried_at_ = None
        return self

    def observe(self, event, now):
        """Learn that the log states the head.

        :param event: a :class:`HeadStated`.
        :param now: monotonic time, in seconds.
        """
        if not isinstance(event, HeadStated) or event.version < self.version_:
            return
        stated_at = None if event.age is None else now - event.age
        if event.version > self.version_ or self.stated_at_ is None:
            self.stated_at_ = stated_at
        elif stated_at is not None:
            self.stated_at_ = max(self.stated_at_, stated_at)
        self.version_ = event.version
        self.heard_at_ = now
        self.tried_at_ = None

    def decide(self, query, now):
        """Tell whether to carry now.

        :param query: a :class:`CarryQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`CarryHead` or ``NOT_DUE``.
        """
        assert isinstance(query, CarryQuery)
        if not self.version_ or query.version != self.version_:
            return NOT_DUE.with_reason("the log has not stated this version here")
        due_at = self._due_at(query.draw)
        if self.tried_at_ is not None:
            due_at = max(due_at, self.tried_at_ + self.retry)
        if now < due_at:
            return NOT_DUE.with_reason(f"due in {due_at - now:.0f} s")
        self.tried_at_ = now
        return CarryHead(version=query.version)

    def _due_at(self, draw):
        if self.stated_at_ is None:
            wait = min(self.unknown_wait, self.retention * self.earliest)
            return self.heard_at_ + wait * draw
        return self.stated_at_ + self.retention * (self.earliest + self.spread * draw)


def carried_record(state, id):
    """Write the record that carries a state forward.

    :param state: the fold's ``state_``.
    :param id: random id of the record.
    :return: bytes to append.
    """
    return encode_record(ConfigCarried(id=id, state=state))
