"""Plain ways to tell who is alive, to compare with."""

from wasabistage.membership._messages import MemberPhase, MemberState
from wasabistage.membership._policy import MembershipPolicy


class ListOnlyMembership(MembershipPolicy):
    """Baseline that believes the platform's list alone."""

    def _state(self, record, now):
        if not record.listed:
            return MemberState.GONE
        if record.listed_leaving:
            return MemberState.DRAINING
        return MemberState.SERVING


class HeartbeatOnlyMembership(MembershipPolicy):
    """Baseline with a single timeout and no witnesses, list or calls."""

    def _state(self, record, now):
        if now - max(record.heard_at, record.known_at) > self.suspect_after:
            return MemberState.GONE
        if record.phase is MemberPhase.DRAINING:
            return MemberState.DRAINING
        return MemberState.SERVING
