"""Folding of the configuration stream.

The state is always exact for every record below ``state_.next``. A read that
starts later than that (the log was trimmed) is held until a carried record, a
peer's state, or a record with any base closes the gap.
"""

from abc import abstractmethod
from collections import OrderedDict
from dataclasses import replace

from wasabistage.base import Policy
from wasabistage.declarations._codec import decode_deployment
from wasabistage.declarations._gap import Gap
from wasabistage.declarations._messages import (
    NO_CONFIGURATION,
    NOT_SEEN,
    HeadStated,
    InForce,
    InForceQuery,
    LogRead,
    Outcome,
    OutcomeQuery,
    PeerState,
    PutInForce,
    RaiseAlarm,
)
from wasabistage.declarations._record import (
    ANY_BASE,
    NO_VERSION,
    ConfigCarried,
    ConfigProposed,
    ConfigState,
    Statement,
    decode_record,
    state_fault,
)
from wasabistage.exceptions import SettingError


class BaseConfigFold(Policy):
    """Base of folds: reading, gaps and answers; the rules are the subclass's.

    :param max_held: records held while a gap is open; the oldest go first, which
        only makes the gap wider.
    :param max_held_bytes: bytes of them, by the same rule.
    :param max_outcomes: outcomes remembered by id; the oldest go first.
    :param max_alarms: alarms kept until the next tick; more are only counted.
    """

    def __init__(
        self,
        max_held=1024,
        max_held_bytes=8 << 20,
        max_outcomes=4096,
        max_alarms=100,
    ):
        self.max_held = max_held
        self.max_held_bytes = max_held_bytes
        self.max_outcomes = max_outcomes
        self.max_alarms = max_alarms

    def reset(self):
        """Check the arguments and start with nothing folded."""
        for name, value in self.get_params().items():
            if value < 1:
                raise SettingError(f"{name} is below 1", remedy="set it to 1 or more")
        self.state_ = ConfigState()
        self.serving_ = None
        self.deployment_ = None
        self.gap_ = Gap(self.max_held, self.max_held_bytes)
        self.outcomes_ = OrderedDict()
        self.alarms_ = []
        self.alarm_count_ = 0
        self.stated_ = None
        self.put_version_ = NO_VERSION
        self.unread_ = []
        self.unreadable_version_ = NO_VERSION
        self.jumps_ = 0
        return self

    @abstractmethod
    def accepts(self, proposal, offset):
        """Tell whether a proposal becomes the head.

        :param proposal: a :class:`wasabistage.declarations.ConfigProposed` that
            comes next in the log.
        :param offset: its offset.
        :return: a ``bool``.
        """

    def observe(self, event, now):
        """Fold what was read, or what a peer told.

        :param event: a :class:`LogRead` or :class:`PeerState`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, LogRead):
            self._on_read(event)
        elif isinstance(event, PeerState):
            self._on_peer_state(event)

    def decide(self, query, now):
        """Tell the deployment in force, or the outcome of a proposal.

        :param query: an :class:`InForceQuery` or :class:`OutcomeQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`InForce`, :class:`Outcome`, ``NO_CONFIGURATION`` or
            ``NOT_SEEN``.
        """
        if isinstance(query, OutcomeQuery):
            seen = self.outcomes_.get(query.id)
            return seen or NOT_SEEN.with_reason("no such record was read")
        assert isinstance(query, InForceQuery)
        if self.serving_ is None:
            return NO_CONFIGURATION.with_reason("neither the log nor a peer told one")
        return InForce(
            version=self.serving_.version,
            deployment=self.deployment_,
            head=max(self.state_.version, self.serving_.version),
            doubtful=self.has_gap,
        )

    def tick(self, now):
        """Return what has to be done since the last tick.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`RaiseAlarm`, :class:`HeadStated` and
            :class:`PutInForce`.
        """
        actions, self.alarms_ = self.alarms_, []
        if self.stated_:
            actions.append(self.stated_)
            self.stated_ = None
        if self.serving_ and self.serving_.version > self.put_version_:
            self.put_version_ = self.serving_.version
            actions.append(
                PutInForce(version=self.put_version_, deployment=self.deployment_)
            )
        return actions

    @property
    def has_gap(self):
        """Tell whether records were trimmed before they were read."""
        return self.gap_.is_open

    @property
    def read_from(self):
        """Return the offset to read the log from."""
        return self.gap_.end if self.has_gap else self.state_.next

    def _on_read(self, read):
        records = sorted(read.records, key=lambda record: record.offset)
        records = [r for r in records if read.start <= r.offset < read.end]
        if read.start <= self.state_.next:
            self._fold_all(records, read.end)
        else:
            self.gap_.hold(read, records)
        self._close_gap()
        self._put_newest()

    def _on_peer_state(self, event):
        reason = state_fault(event.state)
        if reason:
            self._alarm(-1, f"state of a peer: {reason}")
            return
        self._adopt(event.state, event.age)
        self._close_gap()
        self._put_newest()

    def _adopt(self, state, age):
        """Take over a state that covers more of the log than the own one."""
        self._note_unread(state)
        if state.next <= self.state_.next:
            return
        if state.head and state.version != self.state_.version:
            self.stated_ = HeadStated(version=state.version, age=age)
        self.state_ = replace(state, readable=None)
        self.jumps_ += 1

    def _fold_all(self, records, end):
        for record in records:
            if record.offset >= self.state_.next:
                self._fold(record)
        if end > self.state_.next:
            self.state_ = replace(self.state_, next=end)

    def _fold(self, record):
        """Fold the record that comes next."""
        self.state_ = replace(self.state_, next=record.offset + 1)
        decoded = decode_record(record.data)
        if isinstance(decoded, ConfigProposed):
            self._judge(decoded, record)
        elif isinstance(decoded, ConfigCarried):
            self._check_carried(decoded, record)
        else:
            self._alarm(record.offset, decoded.reason)

    def _judge(self, proposal, record):
        accepted = self.accepts(proposal, record.offset)
        version = record.offset + 1 if accepted else self.state_.version
        outcome = Outcome(id=proposal.id, accepted=accepted, version=version)
        # A second append of one publication doesn't change what became of it.
        self.outcomes_.setdefault(proposal.id, outcome)
        if len(self.outcomes_) > self.max_outcomes:
            self.outcomes_.popitem(last=False)
        self.state_ = replace(self.state_, last_proposal=record.offset)
        if not accepted:
            return
        head = _statement(proposal, version)
        self.state_ = replace(self.state_, head=head)
        self.unread_.append(head)
        self.stated_ = HeadStated(version=version, age=record.age)

    def _check_carried(self, carried, record):
        """A carried record only shows that its head stands in the log again."""
        head, own = carried.state.head, self.state_.head
        if carried.state.next > record.offset:
            self._alarm(record.offset, "carried record claims what comes after it")
            return
        if head is None or head.version < self.state_.version:
            return
        if own is None or (head.version, head.digest) != (own.version, own.digest):
            self._alarm(record.offset, "carried record contradicts the log")
            return
        self.stated_ = HeadStated(version=head.version, age=record.age)

    def _close_gap(self):
        """Close the gap if a held record, or the own state, reaches over it."""
        if not self.has_gap:
            return
        for held in self.gap_.carried():
            self._use_carried(held.item, held.record)
        before = self.gap_.state_before_any_base()
        if before and self.state_.next < self.gap_.start:
            self.state_ = before
            self.jumps_ += 1
        if self.state_.next >= self.gap_.start:
            self._fold_all(*self.gap_.release())

    def _use_carried(self, carried, record):
        state = carried.state
        if state.next >= self.gap_.start:
            self._adopt(state, record.age)
        else:
            # Newer ones may have been trimmed, but this one was once accepted.
            self._note_unread(state)

    def _note_unread(self, state):
        for statement in (state.readable, state.head):
            if statement:
                self.unread_.append(statement)

    def _put_newest(self):
        """Read the newest statement that this program can read."""
        unread, self.unread_ = self.unread_, []
        floor = self.serving_.version if self.serving_ else NO_VERSION
        for statement in sorted(unread, key=lambda item: -item.version):
            if statement.version <= floor:
                break
            if statement.version == self.unreadable_version_:
                continue
            deployment = decode_deployment(statement.payload, statement.format)
            if deployment:
                self.serving_ = statement
                self.deployment_ = deployment
                break
            self.unreadable_version_ = statement.version
            self._alarm(statement.version - 1, f"unreadable: {deployment.reason}")
        self._note_readable()

    def _note_readable(self):
        behind = self.serving_ and self.serving_.version < self.state_.version
        readable = self.serving_ if behind else None
        self.state_ = replace(self.state_, readable=readable)

    def _alarm(self, offset, reason):
        self.alarm_count_ += 1
        if len(self.alarms_) < self.max_alarms:
            self.alarms_.append(RaiseAlarm(offset=offset, reason=reason))


class ConfigFold(BaseConfigFold):
    """Fold in which a proposal must name the version that it replaces."""

    def accepts(self, proposal, offset):
        """Accept a proposal based on the head, or one that nothing overtook."""
        if proposal.base_version == ANY_BASE:
            return self.state_.last_proposal < proposal.seen <= offset
        return proposal.base_version == self.state_.version


class LastWriterFold(BaseConfigFold):
    """Baseline: the last record wins, whatever it was based on."""

    def accepts(self, proposal, offset):
        """Accept every proposal."""
        return True


def _statement(proposal, version):
    return Statement(
        version=version,
        id=proposal.id,
        digest=proposal.digest,
        payload=proposal.payload,
        format=proposal.format,
        author=proposal.author,
    )
