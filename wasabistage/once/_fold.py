"""What the log says about each key: one pure fold over its records."""

import heapq
import zlib
from collections import Counter
from dataclasses import replace

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.once._keys import is_live, key_time
from wasabistage.once._messages import RecordsRead
from wasabistage.once._records import LogEntry, RecordKind
from wasabistage.once._standing import EMPTY, Standing
from wasabistage.once._tickets import parse_ticket

CARRY_BATCH = 64
CARRY_FROM = 0.4
CARRY_SPREAD = 0.08
DOUBT_SKEWS = 4
EXPIRY_SKEWS = 4


def is_sound(entry):
    """Tell whether a record makes sense at its place.

    :param entry: a :class:`LogEntry`.
    :return: ``False`` for a record that no correct writer appends.
    """
    record = entry.record
    if record.kind == RecordKind.OUTCOME and record.outcome is None:
        return False
    return record.carried_from is None or 0 <= record.carried_from < entry.offset


class ClaimFold(Policy):
    """Fold the once-only log stream.

    The first claim of a key in log order makes its writer the key's home. A
    carried copy counts at its original offset, so it never overtakes or reverts.
    Abandon and outcome records of a ticketed key count only from its home.

    Records that make no sense are skipped and counted in ``skipped_``.

    A reader that missed records (the log was trimmed past its position, or
    ``max_keys`` was reached) can't judge keys made before that: they are doubtful
    to it and it neither runs nor abandons them.

    Readers carry a live key's records forward before half the retention, each at
    its own age, so that the first one's copies spare the others theirs.

    :param incarnation: id of this process's life; spreads the carrying.
    :param retention: time for which the log keeps every record, in seconds.
    :param horizon: age at which a key expires, in seconds.
    :param clock_skew: largest error of a wall clock, in seconds.
    :param max_keys: callers' own keys remembered.
    :param max_account_keys: callers' own keys of one client account, beyond which
        its new ones are refused.
    :param max_ticketed: ticketed keys remembered; at the bound the oldest is
        dropped, since no reader runs them.
    :param outcome_bytes: bytes of outcome bodies remembered in all.
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
        """Check the arguments and forget everything.

        :return: the fold itself.
        :raises SettingError: if the log could trim the claim of a live key.
        """
        if self.horizon <= 0 or self.clock_skew < 0:
            raise SettingError(
                "horizon or clock_skew of the claim fold is out of range",
                remedy="set horizon above 0, clock_skew to 0 or more",
            )
        if min(self.max_keys, self.max_account_keys, self.max_ticketed) < 1:
            raise SettingError(
                "a bound of the claim fold is not positive",
                remedy="set max_keys, max_account_keys, max_ticketed to 1 or more",
            )
        if self.horizon + EXPIRY_SKEWS * self.clock_skew >= self.retention:
            raise SettingError(
                "keys would outlive the log's records",
                remedy="set horizon below retention less four times clock_skew",
            )
        self.keys_ = {}
        self.ticket_keys_ = {}
        self.by_account_ = Counter()
        self.position_ = None
        self.doubtful_before_ = float("-inf")
        self.gaps_ = 0
        self.skipped_ = 0
        self.held_bytes_ = 0
        self.scheduled_ = 0
        self.expiries_ = []
        self.carries_ = []
        share = zlib.crc32(self.incarnation.encode()) / (1 << 32)
        self.carry_age_ = self.retention * (CARRY_FROM + CARRY_SPREAD * share)
        return self

    def observe(self, event, now):
        """Fold what a read returned; records seen before are skipped.

        :param event: a :class:`RecordsRead`; others are ignored.
        :param now: monotonic time, in seconds.
        """
        if not isinstance(event, RecordsRead):
            return
        position = self.position_
        if position is not None and max(event.start, event.trimmed_to) > position:
            self._doubt(event.wall)
        for entry in event.entries:
            if position is None or entry.offset >= position:
                self._fold(entry, event.wall, now)
        self.position_ = max(position or 0, event.next_offset)

    def decide(self, query, now):
        """Return what the log says about a key.

        :param query: a :class:`CallKey`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Standing`, empty for a key without records.
        """
        return self.keys_.get(query) or self.ticket_keys_.get(query, EMPTY)

    def tick(self, now):
        """Forget expired keys and pick records to carry forward.

        :param now: monotonic time, in seconds.
        :return: a list of carried :class:`Record` copies to append.
        """
        while self.expiries_ and self.expiries_[0][0] <= now:
            self._forget(heapq.heappop(self.expiries_)[2])
        return self._carry(now)

    def is_certain(self, born, wall):
        """Tell whether this reader may judge a key by what it has read.

        :param born: wall time of the key's making, in seconds since the epoch.
        :param wall: wall time after the read, in seconds since the epoch.
        :return: ``False`` if the key expired, or records of it may be missing.
        """
        live = is_live(born, wall, horizon=self.horizon, clock_skew=self.clock_skew)
        return live and born > self.doubtful_before_

    def is_full(self, account):
        """Tell whether no further key of an account may be claimed.

        :param account: name of the client account.
        :return: ``True`` if it, or the table, has reached its bound.
        """
        if len(self.keys_) >= self.max_keys:
            return True
        return self.by_account_[account] >= self.max_account_keys

    def _doubt(self, wall):
        # What was missed was appended before now. A key's first claim comes at
        # most three skews before its stamp; this reader's clock may lag by another.
        self.doubtful_before_ = wall + DOUBT_SKEWS * self.clock_skew
        self.gaps_ += 1

    def _fold(self, entry, wall, now):
        record = entry.record
        ticket = parse_ticket(record.key.key)
        born = ticket.issued if ticket else key_time(record.key.key)
        if not (ticket or born) or not is_sound(entry):
            self.skipped_ += 1
            return
        if record.kind == RecordKind.INTENT:
            return
        ends = born + self.horizon + EXPIRY_SKEWS * self.clock_skew
        if wall > ends:
            return
        table = self.ticket_keys_ if ticket else self.keys_
        standing = table.get(record.key)
        if standing is None:
            if not self._make_room(ticket, wall):
                return
            standing = Standing(home=ticket.home if ticket else "")
            table[record.key] = standing
            if not ticket:
                self.by_account_[record.key.account] += 1
            self._schedule(record, now, ends - wall, wall)
        if record.carried_from is not None:
            standing.carried.add(record.carried_from)
            entry = LogEntry(offset=record.carried_from, record=record)
        self._apply(standing, entry, bool(ticket))

    def _make_room(self, ticket, wall):
        if not ticket and len(self.keys_) >= self.max_keys:
            self._doubt(wall)
            return False
        if ticket and len(self.ticket_keys_) >= self.max_ticketed:
            self._forget(next(iter(self.ticket_keys_)))
        return True

    def _schedule(self, record, now, life, wall):
        self.scheduled_ += 1
        heapq.heappush(self.expiries_, (now + life, self.scheduled_, record.key))
        due = now + self.carry_age_ - max(0.0, wall - record.written)
        if due < now + life:
            heapq.heappush(self.carries_, (due, self.scheduled_, record.key))
        if len(self.expiries_) > 2 * (self.max_keys + self.max_ticketed):
            self.expiries_ = self._known(self.expiries_)
            self.carries_ = self._known(self.carries_)

    def _known(self, schedule):
        # Keys dropped at a bound leave their times behind.
        kept = [item for item in schedule if self.decide(item[2], item[0]) is not EMPTY]
        heapq.heapify(kept)
        return kept

    def _apply(self, standing, entry, ticketed):
        record = entry.record
        if record.kind == RecordKind.CLAIM:
            earlier = standing.claim is None or entry.offset < standing.claim.offset
            if earlier and not ticketed:
                if record.writer != standing.home:
                    standing.refusal = None
                standing.claim, standing.home = entry, record.writer
        elif record.kind == RecordKind.ABANDON:
            self._apply_abandon(standing, entry, ticketed)
        elif record.writer == standing.home and standing.outcome is None:
            standing.outcome = self._bounded(entry)

    def _apply_abandon(self, standing, entry, ticketed):
        if entry.record.writer == standing.home:
            standing.refusal = standing.refusal or entry
        elif not ticketed:
            known = standing.abandon
            if known is None or entry.offset < known.offset:
                standing.abandon = entry

    def _bounded(self, entry):
        outcome = entry.record.outcome
        size = len(outcome.body)
        if self.held_bytes_ + size > self.outcome_bytes:
            outcome = replace(outcome, body=b"", body_omitted=True)
            record = replace(entry.record, outcome=outcome)
            return LogEntry(offset=entry.offset, record=record)
        self.held_bytes_ += size
        return entry

    def _forget(self, key):
        if key in self.keys_:
            standing = self.keys_.pop(key)
            self._count_down(key.account)
        else:
            standing = self.ticket_keys_.pop(key, EMPTY)
        if standing.outcome is not None:
            self.held_bytes_ -= len(standing.outcome.record.outcome.body)

    def _count_down(self, account):
        self.by_account_[account] -= 1
        if not self.by_account_[account]:
            del self.by_account_[account]

    def _carry(self, now):
        copies = []
        while self.carries_ and self.carries_[0][0] <= now:
            if len(copies) >= CARRY_BATCH:
                break
            key = heapq.heappop(self.carries_)[2]
            standing = self.decide(key, now)
            for entry in standing.entries():
                if entry.offset not in standing.carried:
                    copies.append(replace(entry.record, carried_from=entry.offset))
        return copies
