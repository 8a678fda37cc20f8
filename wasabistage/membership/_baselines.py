"""Simple membership policies, as baselines for comparison."""

from wasabistage.membership._messages import MemberPhase, MemberState
from wasabistage.membership._policy import MembershipPolicy


class ListOnlyMembership(MembershipPolicy):
    """Baseline that relies on the platform's list alone."""

    def _get_state(self, record, now):
        if not record.listed:
            return MemberState.GONE
        if record.listed_leaving:
            return MemberState.DRAINING
        return MemberState.SERVING


class HeartbeatOnlyMembership(MembershipPolicy):
    """Baseline with one heartbeat timeout and without witnesses, list and calls."""

    def _get_state(self, record, now):
        if now - max(record.heard_at, record.observed_since) > self.suspect_after:
            return MemberState.GONE
        if record.phase is MemberPhase.DRAINING:
            return MemberState.DRAINING
        return MemberState.SERVING
