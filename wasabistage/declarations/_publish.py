"""Publication of a deployment: propose, append, read back, tell the outcome."""

from enum import Enum, auto

from wasabistage.base import Policy
from wasabistage.declarations._codec import (
    FORMAT,
    decode_deployment,
    digest_of,
    encode_deployment,
)
from wasabistage.declarations._diff import diff_deployments
from wasabistage.declarations._fold import ConfigFold
from wasabistage.declarations._messages import (
    PENDING,
    Accepted,
    AppendAnswered,
    AppendFailed,
    AppendRecord,
    LogFailed,
    LogRead,
    NotAccepted,
    OutcomeQuery,
    Overtaken,
    PeerState,
    ReadLog,
)
from wasabistage.declarations._record import (
    ANY_BASE,
    MAX_AUTHOR_CHARS,
    MAX_ID_CHARS,
    ConfigProposed,
    encode_record,
)
from wasabistage.exceptions import SettingError


class _Stage(Enum):
    READ = auto()
    APPEND = auto()
    READ_BACK = auto()


class PublishPolicy(Policy):
    """Publish one deployment.

    The task carries the actions of :meth:`tick` out one at a time and gives the
    answer of each to :meth:`observe`, until :meth:`decide` gives an outcome, which
    is final. A peer's state, where one can be had, is told before the first action.

    :param deployment: a :class:`wasabistage.declarations.Deployment`.
    :param id: id of this publication, random, from the caller.
    :param author: who publishes it.
    :param base_version: version it must replace; ``None`` for the one in force.
    :param any_base: whether to publish although the version in force can't be
        known, when the log was trimmed and no entry lives.
    :param timeout: longest time for the whole publication, in seconds.
    :param retry_delay: wait after a failure, in seconds.
    :param max_appends: how often the record is appended at most.
    """

    def __init__(
        self,
        deployment,
        id,
        author="",
        base_version=None,
        any_base=False,
        timeout=20.0,
        retry_delay=0.5,
        max_appends=4,
    ):
        self.deployment = deployment
        self.id = id
        self.author = author
        self.base_version = base_version
        self.any_base = any_base
        self.timeout = timeout
        self.retry_delay = retry_delay
        self.max_appends = max_appends

    def reset(self):
        """Check the arguments and start with nothing read.

        :raises wasabistage.exceptions.DeclarationError: if the deployment can't be
            written.
        """
        if not 1 <= len(self.id) <= MAX_ID_CHARS or len(self.author) > MAX_AUTHOR_CHARS:
            raise SettingError("id or author is too long", remedy="shorten it")
        if min(self.timeout, self.retry_delay, self.max_appends) <= 0:
            raise SettingError("a time or count is not above 0", remedy="raise it")
        self.payload_ = encode_deployment(self.deployment)
        self.fold_ = ConfigFold().reset()
        self.stage_ = _Stage.READ
        self.outcome_ = None
        self.base_ = None
        self.base_deployment_ = None
        self.record_ = None
        self.appends_ = 0
        self.jumps_ = 0
        self.unsure_ = False
        self.busy_ = False
        self.next_at_ = 0.0
        self.deadline_ = None
        return self

    def observe(self, event, now):
        """Take the answer to an action, or a peer's state.

        :param event: :class:`LogRead`, :class:`LogFailed`,
            :class:`AppendAnswered`, :class:`AppendFailed` or :class:`PeerState`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, PeerState):
            self.fold_.observe(event, now)
            return
        self.busy_ = False
        if self.outcome_:
            return
        if isinstance(event, LogRead):
            self.fold_.observe(event, now)
            self.fold_.tick(now)
            self._after_read(event, now)
        elif isinstance(event, LogFailed):
            self.next_at_ = now + self.retry_delay
        elif isinstance(event, AppendAnswered):
            self.unsure_ = True
            self.stage_ = _Stage.READ_BACK
        elif isinstance(event, AppendFailed):
            self.unsure_ |= event.may_have_run
            self.next_at_ = now + self.retry_delay
            # The answer may be lost while the record stands: read back first.
            self.stage_ = _Stage.READ_BACK

    def decide(self, query, now):
        """Tell the outcome.

        :param query: not used; one policy is one publication.
        :param now: monotonic time, in seconds.
        :return: :class:`Accepted`, :class:`Overtaken`, :class:`NotAccepted` or
            ``PENDING``.
        """
        return self.outcome_ or PENDING.with_reason("the log has not told yet")

    def tick(self, now):
        """Return the next action.

        :param now: monotonic time, in seconds.
        :return: a list of at most one :class:`ReadLog` or :class:`AppendRecord`.
        """
        if self.deadline_ is None:
            self.deadline_ = now + self.timeout
        if self.outcome_ is None and now >= self.deadline_:
            self._give_up("the record could not be read back from the log in time")
        if self.outcome_ or self.busy_ or now < self.next_at_:
            return []
        self.busy_ = True
        if self.stage_ is not _Stage.APPEND:
            return [ReadLog(offset=self.fold_.read_from)]
        self.appends_ += 1
        return [AppendRecord(data=self.record_)]

    def _after_read(self, read, now):
        if read.end < read.tail:
            return
        if self.appends_:
            self._read_back(now)
        else:
            self._prepare()

    def _prepare(self):
        """Choose the base and write the record."""
        fold = self.fold_
        if fold.has_gap and not self.any_base:
            self._give_up(
                "the log was trimmed and the version in force can't be known",
                "publish through a running entry, or with any base",
            )
            return
        head = fold.state_.head
        digest = digest_of(self.payload_)
        if self._is_in_force():
            self.outcome_ = Accepted(version=head.version, unchanged=True)
            return
        self.base_ = self._choose_base()
        if self.base_ not in (ANY_BASE, fold.state_.version):
            self._tell_overtaken()
            return
        self.base_deployment_ = fold.deployment_
        self.jumps_ = fold.jumps_
        self.record_ = encode_record(
            ConfigProposed(
                id=self.id,
                base_version=self.base_,
                seen=fold.read_from,
                digest=digest,
                payload=self.payload_,
                format=FORMAT,
                author=self.author,
            )
        )
        self.stage_ = _Stage.APPEND

    def _is_in_force(self):
        """Tell whether this very deployment is the newest accepted one."""
        fold = self.fold_
        if fold.has_gap or not fold.serving_:
            return False
        newest = fold.serving_.version == fold.state_.version
        return newest and fold.deployment_ == self.deployment

    def _choose_base(self):
        if self.fold_.has_gap:
            return ANY_BASE
        if self.base_version is None:
            return self.fold_.state_.version
        return self.base_version

    def _read_back(self, now):
        """Look for the own record in what was read."""
        outcome = self.fold_.decide(OutcomeQuery(id=self.id), now)
        head = self.fold_.state_.head
        moved_on = self.fold_.state_.version != self.base_ and self.base_ != ANY_BASE
        if outcome and outcome.accepted:
            self.outcome_ = Accepted(version=outcome.version)
        elif head and head.id == self.id:
            self.outcome_ = Accepted(version=head.version)
        elif (outcome or moved_on) and self.fold_.jumps_ != self.jumps_:
            # The own record may have been accepted in what was not read.
            self._give_up("the log was trimmed before the record was read back")
        elif outcome or moved_on:
            # The head has left the base, so a late append loses as well.
            self._tell_overtaken()
        else:
            self._append_again(now)

    def _append_again(self, now):
        if self.appends_ >= self.max_appends:
            self.next_at_ = now + self.retry_delay
            return
        # The same id and base again: at most one of the appends is accepted.
        self.stage_ = _Stage.APPEND
        self.next_at_ = now + self.retry_delay

    def _tell_overtaken(self):
        head = self.fold_.state_.head
        current = decode_deployment(head.payload, head.format) if head else None
        changes = diff_deployments(self.base_deployment_, current or None)
        self.outcome_ = Overtaken(
            version=self.fold_.state_.version, changes=tuple(changes)
        )

    def _give_up(self, reason, remedy="publish again once the log answers"):
        # An append without an answer yet may land as well.
        unsure = self.unsure_ or (self.busy_ and self.stage_ is _Stage.APPEND)
        if unsure:
            remedy += "; an append may have taken effect, and if it has, "
            remedy += "publishing the same again changes nothing"
        self.outcome_ = NotAccepted(
            reason=reason, remedy=remedy, may_take_effect=unsure
        )
