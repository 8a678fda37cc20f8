"""Slot state folded from the order stream; the same on every instance."""

from wasabistage.exceptions import SettingError
from wasabistage.rollout._messages import (
    CarryRecord,
    GrantRecord,
    ReleaseRecord,
    SlotState,
)

NO_OFFSET = -1
MAX_RECORD_IDS = 4096
MAX_DEFERRED_RECORDS = 4096


class GrantFold:
    """Slots and their grants, folded from the records of the order stream.

    A grant is accepted only if it names the slot's last accepted record. A slot that is
    not free can be taken over only for the same server: the previous holder may still
    send an order to that server, so the successor deals with it first, and then
    releases the slot for other servers.

    :param slots: number of slots, which bounds the concurrent orders of the deployment.
    :param first_offset: offset from which the log is read. If it is above 0, the log
        was trimmed, and records are deferred until a :class:`CarryRecord` that covers
        the missing ones is read.
    """

    def __init__(self, slots=2, first_offset=0):
        self.slots = slots
        self.first_offset = first_offset

    def reset(self):
        """Check the arguments and forget every record.

        :return: the fold itself.
        :raises SettingError: if ``slots`` is below 1.
        """
        if self.slots < 1:
            raise SettingError(
                f"slots of the grant fold is {self.slots}; it must be 1 or more",
                remedy="set slots to 1 or more, such as parallel_loads = 2",
            )
        self.states_ = {}
        self.offset_ = NO_OFFSET
        self.config_version_ = 0
        self.complete_ = self.first_offset == 0
        self.deferred_ = []
        self.seen_record_ids_ = {}
        return self

    def apply(self, offset, record):
        """Apply the next record.

        :param offset: offset of the record.
        :param record: a grant, release or carry record; other objects are ignored.
        :return: whether the record was accepted.
        """
        if offset <= self.offset_:
            return False
        self.offset_ = offset
        if isinstance(record, CarryRecord):
            return self._apply_carry(record)
        if not self.complete_:
            self.deferred_ = [*self.deferred_, (offset, record)][-MAX_DEFERRED_RECORDS:]
            return False
        return self._apply(offset, record)

    def state(self, slot):
        """Return the state of a slot.

        :param slot: number of the slot.
        :return: a :class:`SlotState`.
        """
        return self.states_.get(slot) or SlotState(last=NO_OFFSET)

    def get_granted_slots(self):
        """Return the slots with a grant in force.

        :return: a list of (slot number, :class:`SlotState`).
        """
        return [(n, s) for n, s in self.states_.items() if s.grant is not None]

    def build_carry_record(self, record_id):
        """Build the record that carries the state of the slots forward.

        :param record_id: unique id of the record.
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
        if record.record_id in self.seen_record_ids_:
            return False
        self.seen_record_ids_[record.record_id] = offset
        if len(self.seen_record_ids_) > MAX_RECORD_IDS:
            del self.seen_record_ids_[next(iter(self.seen_record_ids_))]
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
        if state.grant is None and self._has_grant_for(grant.server):
            return False
        self.config_version_ = grant.config_version
        self.states_[grant.slot] = SlotState(last=offset, grant=grant, fencing=offset)
        return True

    def _has_grant_for(self, server):
        return any(
            state.grant.server == server for _, state in self.get_granted_slots()
        )

    def _apply_release(self, offset, release):
        state = self.state(release.slot)
        if state.grant is None or state.fencing != release.grant:
            return False
        self.states_[release.slot] = SlotState(last=offset)
        return True

    def _apply_carry(self, carry):
        if self.complete_ or carry.as_of + 1 < self.first_offset:
            return False
        self.states_ = dict(carry.slots)
        self.config_version_ = carry.config_version
        self.complete_ = True
        for offset, record in self.deferred_:
            if offset > carry.as_of:
                self._apply(offset, record)
        self.deferred_ = []
        return True
