"""Fold of the order stream: who holds which slot. Equal on every instance."""

from wasabistage.exceptions import SettingError
from wasabistage.rollout._messages import (
    CarryRecord,
    GrantRecord,
    ReleaseRecord,
    SlotState,
)

NO_OFFSET = -1
MAX_RECORD_IDS = 4096
MAX_WAITING = 4096  # records kept while the carried state is looked for


class GrantFold:
    """Slots folded from the log; a record counts only if it names its predecessor.

    A slot that is not free passes on for the same server only. So whoever succeeds a
    holder that vanished first deals with the server which that holder may yet order,
    and only then frees the slot for another one.

    :param slots: orders at a time over the whole deployment.
    :param first_offset: offset from which the log is read. If it was trimmed, nothing
        counts until a :class:`CarryRecord` is read that covers what is missing.
    """

    def __init__(self, slots=2, first_offset=0):
        self.slots = slots
        self.first_offset = first_offset

    def reset(self):
        """Check the arguments and forget every record.

        :return: the fold itself.
        :raises SettingError: if there is no slot.
        """
        if self.slots < 1:
            raise SettingError(
                "need at least one slot", remedy="declare parallel_loads = 2"
            )
        self.states_ = {}
        self.offset_ = NO_OFFSET
        self.config_version_ = 0
        self.complete_ = self.first_offset == 0
        self.waiting_ = []
        self.ids_ = {}
        return self

    def apply(self, offset, record):
        """Take the next record.

        :param offset: its offset.
        :param record: a grant, release or carry record; others are skipped.
        :return: whether it took effect.
        """
        if offset <= self.offset_:
            return False
        self.offset_ = offset
        if isinstance(record, CarryRecord):
            return self._apply_carry(record)
        if not self.complete_:
            self.waiting_ = [*self.waiting_, (offset, record)][-MAX_WAITING:]
            return False
        return self._apply(offset, record)

    def state(self, slot):
        """Return a slot.

        :param slot: its number.
        :return: a :class:`SlotState`.
        """
        return self.states_.get(slot) or SlotState(last=NO_OFFSET)

    def get_granted_slots(self):
        """Return the slots that are held.

        :return: a list of (number, :class:`SlotState`).
        """
        return [(n, s) for n, s in self.states_.items() if s.grant is not None]

    def carry(self, record_id):
        """Build the record that carries the slots forward.

        :param record_id: unique id.
        :return: a :class:`CarryRecord`.
        """
        return CarryRecord(
            record_id=record_id,
            as_of=self.offset_,
            slots=tuple(sorted(self.states_.items())),
            config_version=self.config_version_,
        )

    def _apply(self, offset, record):
        if not isinstance(record, GrantRecord | ReleaseRecord):
            return False
        if record.record_id in self.ids_:
            return False
        self.ids_[record.record_id] = offset
        if len(self.ids_) > MAX_RECORD_IDS:
            del self.ids_[next(iter(self.ids_))]
        if isinstance(record, GrantRecord):
            return self._apply_grant(offset, record)
        return self._apply_release(offset, record)

    def _apply_grant(self, offset, grant):
        state = self.state(grant.slot)
        if not 0 <= grant.slot < self.slots or grant.supersedes != state.last:
            return False
        if grant.config_version < self.config_version_:
            return False
        if state.grant is not None and state.grant.server != grant.server:
            return False
        if state.grant is None and self._is_ordered(grant.server):
            return False
        self.config_version_ = grant.config_version
        self.states_[grant.slot] = SlotState(last=offset, grant=grant, fencing=offset)
        return True

    def _is_ordered(self, server):
        return any(
            state.grant.server == server for _, state in self.get_granted_slots()
        )

    def _apply_release(self, offset, release):
        state = self.state(release.slot)
        if state.grant is None or state.fencing != release.grant:
            return False
        self.states_[release.slot] = SlotState(last=offset)
        return True

    def _apply_carry(self, record):
        if self.complete_ or record.as_of + 1 < self.first_offset:
            return False
        self.states_ = dict(record.slots)
        self.config_version_ = record.config_version
        self.complete_ = True
        for offset, waiting in self.waiting_:
            if offset > record.as_of:
                self._apply(offset, waiting)
        self.waiting_ = []
        return True
