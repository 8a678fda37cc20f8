"""State of all keys, computed from the records of the once-only log stream."""

import heapq
import zlib
from collections import Counter
from dataclasses import replace

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.once._keys import is_live, parse_key_time
from wasabistage.once._logged_state import EMPTY_STATE, LoggedState
from wasabistage.once._messages import RecordsRead
from wasabistage.once._records import LogEntry, RecordKind
from wasabistage.once._tickets import parse_ticket

MAX_COPIES_PER_TICK = 64  # may be exceeded by the records of one key
# Records are carried forward at 0.40 to 0.48 of the retention.
MIN_CARRY_AGE_FRACTION = 0.4
CARRY_AGE_SPREAD_FRACTION = 0.08
# Margins in multiples of `clock_skew`.
GAP_MARGIN_SKEWS = 4
EXPIRY_MARGIN_SKEWS = 4


def is_valid(entry):
    """Return whether a record is consistent in itself and with its offset.

    :param entry: a :class:`LogEntry`.
    :return: ``False`` for a record that no correct writer appends.
    """
    record = entry.record
    if record.kind == RecordKind.OUTCOME and record.outcome is None:
        return False
    return record.carried_from is None or 0 <= record.carried_from < entry.offset


class ClaimFold(Policy):
    """State of all keys, folded from the once-only log stream in log order.

    The first claim of a UUIDv7 makes its writer the key's home. A carried copy is
    applied as if it stood at the offset of its original, so it neither precedes an
    earlier claim nor undoes a later record. Of a ticket, only the abandon and outcome
    records that its home wrote are applied.

    Inconsistent records are skipped and counted in ``skipped_count_``.

    A reader may miss records: the log was trimmed past its position, or a key found
    no place because of ``max_keys``. It then can't decide about keys created before
    that, and neither runs nor abandons them.

    Each reader carries the records of live keys forward before half the retention has
    passed. The age at which it does so depends on its incarnation, so that the copies
    of the first reader make those of the others unnecessary.

    :param incarnation: incarnation of this process; selects the age for carrying.
    :param retention: time for which the log keeps every record, in seconds.
    :param horizon: age at which a key expires, in seconds.
    :param clock_skew: largest error of a wall clock, in seconds.
    :param max_keys: maximum number of UUIDv7 keys in memory.
    :param max_account_keys: maximum number of UUIDv7 keys of one client account; at
        the bound its new keys are refused.
    :param max_ticketed: maximum number of tickets in memory; at the bound the oldest
        is removed, which is safe because only a ticket's home runs it.
    :param outcome_bytes: maximum bytes of all outcome bodies in memory.
    """

    def __init__(
        self,
        *,
        incarnation="",
        retention=86400.0,
        horizon=7200.0,
        clock_skew=5.0,
        max_keys=20_000,
        max_account_keys=5_000,
        max_ticketed=20_000,
        outcome_bytes=16 << 20,
    ):
        self.incarnation = incarnation
        self.retention = retention
        self.horizon = horizon
        self.clock_skew = clock_skew
        self.max_keys = max_keys
        self.max_account_keys = max_account_keys
        self.max_ticketed = max_ticketed
        self.outcome_bytes = outcome_bytes

    def reset(self):
        """Check the arguments and clear the state.

        :return: the fold itself.
        :raises SettingError: if an argument is out of range, or the log could trim
            the claim of a live key.
        """
        if self.horizon <= 0 or self.clock_skew < 0:
            raise SettingError(
                f"horizon={self.horizon} or clock_skew={self.clock_skew} of ClaimFold "
                "is out of range",
                remedy="set horizon above 0 and clock_skew to 0 or more",
            )
        if min(self.max_keys, self.max_account_keys, self.max_ticketed) < 1:
            raise SettingError(
                f"max_keys={self.max_keys}, max_account_keys={self.max_account_keys} "
                f"or max_ticketed={self.max_ticketed} of ClaimFold is below 1",
                remedy="set all three to 1 or more",
            )
        if self.horizon + EXPIRY_MARGIN_SKEWS * self.clock_skew >= self.retention:
            raise SettingError(
                f"horizon={self.horizon} of ClaimFold lets keys outlive their records "
                f"in the log, at retention={self.retention} and "
                f"clock_skew={self.clock_skew}",
                remedy="set horizon below retention less four times clock_skew",
            )
        self.uuid_keys_ = {}
        self.ticket_keys_ = {}
        self.key_counts_ = Counter()
        self.next_offset_ = None
        self.incomplete_before_ = float("-inf")
        self.gap_count_ = 0
        self.skipped_count_ = 0
        self.body_bytes_ = 0
        self.schedule_count_ = 0
        self.expiry_schedule_ = []
        self.carry_schedule_ = []
        spread = zlib.crc32(self.incarnation.encode()) / (1 << 32)
        self.carry_age_ = self.retention * (
            MIN_CARRY_AGE_FRACTION + CARRY_AGE_SPREAD_FRACTION * spread
        )
        return self

    def observe(self, event, now):
        """Apply the records of a read; those applied before are skipped.

        :param event: a :class:`RecordsRead`; others are ignored.
        :param now: monotonic time, in seconds.
        """
        if not isinstance(event, RecordsRead):
            return
        next_offset = self.next_offset_
        if next_offset is not None and max(event.start, event.trimmed_to) > next_offset:
            self._record_gap(event.wall_time)
        for entry in event.entries:
            if next_offset is None or entry.offset >= next_offset:
                self._apply_entry(entry, event.wall_time, now)
        self.next_offset_ = max(next_offset or 0, event.next_offset)

    def decide(self, query, now):
        """Return the state of a key as the log records it.

        :param query: a :class:`CallKey`.
        :param now: monotonic time, in seconds.
        :return: a :class:`LoggedState`, empty for a key without records.
        """
        return self.uuid_keys_.get(query) or self.ticket_keys_.get(query, EMPTY_STATE)

    def tick(self, now):
        """Remove expired keys and return the records to carry forward.

        :param now: monotonic time, in seconds.
        :return: a list of carried copies to append, each a :class:`Record`.
        """
        while self.expiry_schedule_ and self.expiry_schedule_[0][0] <= now:
            self._remove_key(heapq.heappop(self.expiry_schedule_)[2])
        return self._build_copies(now)

    def can_decide(self, created_at, wall_time):
        """Return whether the records read so far suffice to decide about a key.

        :param created_at: wall time of the key's creation, in seconds since the epoch.
        :param wall_time: wall time after the read, in seconds since the epoch.
        :return: ``False`` if the key isn't live, or this reader may have missed
            records of it.
        """
        live = is_live(
            created_at, wall_time, horizon=self.horizon, clock_skew=self.clock_skew
        )
        return live and created_at > self.incomplete_before_

    def is_full(self, account):
        """Return whether no further UUIDv7 of an account may be claimed.

        :param account: name of the client account.
        :return: ``True`` if ``max_account_keys`` or ``max_keys`` is reached.
        """
        if len(self.uuid_keys_) >= self.max_keys:
            return True
        return self.key_counts_[account] >= self.max_account_keys

    def _record_gap(self, wall_time):
        # The missed records were appended before now. A key's first claim is written
        # at most three skews before the key's creation time, and this reader's clock
        # may be slow by one more skew.
        self.incomplete_before_ = wall_time + GAP_MARGIN_SKEWS * self.clock_skew
        self.gap_count_ += 1

    def _apply_entry(self, entry, wall_time, now):
        record = entry.record
        ticket = parse_ticket(record.key.key)
        created_at = ticket.issued_at if ticket else parse_key_time(record.key.key)
        if not (ticket or created_at) or not is_valid(entry):
            self.skipped_count_ += 1
            return
        if record.kind == RecordKind.INTENT:
            return
        expires_at = created_at + self.horizon + EXPIRY_MARGIN_SKEWS * self.clock_skew
        if wall_time > expires_at:
            return
        table = self.ticket_keys_ if ticket else self.uuid_keys_
        logged = table.get(record.key)
        if logged is None:
            if not self._ensure_room(ticket, wall_time):
                return
            logged = LoggedState(home=ticket.home if ticket else "")
            table[record.key] = logged
            if not ticket:
                self.key_counts_[record.key.account] += 1
            self._schedule(record, now, expires_at - wall_time, wall_time)
        if record.carried_from is not None:
            logged.carried_offsets.add(record.carried_from)
            entry = LogEntry(offset=record.carried_from, record=record)
        self._apply_record(logged, entry, bool(ticket))

    def _ensure_room(self, ticket, wall_time):
        if not ticket and len(self.uuid_keys_) >= self.max_keys:
            self._record_gap(wall_time)
            return False
        if ticket and len(self.ticket_keys_) >= self.max_ticketed:
            self._remove_key(next(iter(self.ticket_keys_)))
        return True

    def _schedule(self, record, now, lifetime, wall_time):
        self.schedule_count_ += 1
        heapq.heappush(
            self.expiry_schedule_, (now + lifetime, self.schedule_count_, record.key)
        )
        carry_at = now + self.carry_age_ - max(0.0, wall_time - record.written)
        if carry_at < now + lifetime:
            heapq.heappush(
                self.carry_schedule_, (carry_at, self.schedule_count_, record.key)
            )
        if len(self.expiry_schedule_) > 2 * (self.max_keys + self.max_ticketed):
            self.expiry_schedule_ = self._prune(self.expiry_schedule_)
            self.carry_schedule_ = self._prune(self.carry_schedule_)

    def _prune(self, schedule):
        # Tickets that were removed at the bound are still in the schedules.
        kept = [
            item
            for item in schedule
            if self.decide(item[2], item[0]) is not EMPTY_STATE
        ]
        heapq.heapify(kept)
        return kept

    def _apply_record(self, logged, entry, ticketed):
        record = entry.record
        if record.kind == RecordKind.CLAIM:
            earlier = logged.claim is None or entry.offset < logged.claim.offset
            if earlier and not ticketed:
                if record.writer != logged.home:
                    logged.refusal = None
                logged.claim, logged.home = entry, record.writer
        elif record.kind == RecordKind.ABANDON:
            self._apply_abandon(logged, entry, ticketed)
        elif record.writer == logged.home and logged.outcome is None:
            logged.outcome = self._limit_body(entry)

    def _apply_abandon(self, logged, entry, ticketed):
        if entry.record.writer == logged.home:
            logged.refusal = logged.refusal or entry
        elif not ticketed:
            first = logged.abandon
            if first is None or entry.offset < first.offset:
                logged.abandon = entry

    def _limit_body(self, entry):
        outcome = entry.record.outcome
        size = len(outcome.body)
        if self.body_bytes_ + size > self.outcome_bytes:
            outcome = replace(outcome, body=b"", body_omitted=True)
            record = replace(entry.record, outcome=outcome)
            return LogEntry(offset=entry.offset, record=record)
        self.body_bytes_ += size
        return entry

    def _remove_key(self, key):
        if key in self.uuid_keys_:
            logged = self.uuid_keys_.pop(key)
            self._decrement_key_count(key.account)
        else:
            logged = self.ticket_keys_.pop(key, EMPTY_STATE)
        if logged.outcome is not None:
            self.body_bytes_ -= len(logged.outcome.record.outcome.body)

    def _decrement_key_count(self, account):
        self.key_counts_[account] -= 1
        if not self.key_counts_[account]:
            del self.key_counts_[account]

    def _build_copies(self, now):
        copies = []
        while self.carry_schedule_ and self.carry_schedule_[0][0] <= now:
            if len(copies) >= MAX_COPIES_PER_TICK:
                break
            key = heapq.heappop(self.carry_schedule_)[2]
            logged = self.decide(key, now)
            for entry in logged.list_entries():
                if entry.offset not in logged.carried_offsets:
                    copies.append(replace(entry.record, carried_from=entry.offset))
        return copies
