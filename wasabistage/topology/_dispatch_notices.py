"""Notices of prompts to the entries that choose among the same engines.

Pattern: 67 entries and 45 engines, so that an entry's share of an engine's slots is
below one. Load travels in reports over two hops. Within their age many entries choose
the engine that looks idle, and short prompts wait there behind several long ones.
"""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class NoticeQuery:
    """Question which entries are told of a prompt that is being sent to an engine.

    :param tokens: prompt tokens that the engine has to compute.
    :param slots: number of requests that the engine runs at once.
    :param failure_domain: failure domain of the engine.
    :param own: name of this entry.
    :param members: dict of name to :class:`FleetMember` of the live entries.
    """

    tokens: int
    slots: int
    failure_domain: str
    own: str
    members: dict


@dataclass(frozen=True, kw_only=True)
class NoticeReceived:
    """Another entry has sent a prompt to an engine.

    :param server: id of the engine.
    :param tokens: prompt tokens that the engine has to compute.
    """

    server: str
    tokens: int


class DispatchNotices(Policy):
    """Decides who is told of a prompt, and avoids counting a prompt twice.

    The entries of the engine's failure domain are told, since they choose it most. The
    reports of load that follow include the prompt once more. Tokens that were known
    from notices are therefore subtracted from what reports add for the same engine.

    :param min_tokens: prompts with fewer tokens to compute delay others by less than
        a step of an engine, which reads 2,048 tokens, and are left to the reports. With
        800, a day of 61 entries took a quarter more processor time.
    :param max_targets: largest number of entries that are told of one prompt.
    :param max_age: time in which the reports have told of a prompt, in seconds.
    """

    def __init__(self, *, min_tokens=2000, max_targets=64, max_age=1.5):
        self.min_tokens = min_tokens
        self.max_targets = max_targets
        self.max_age = max_age

    def reset(self):
        """Check the arguments and clear the received notices."""
        if min(self.min_tokens, self.max_targets, self.max_age) <= 0:
            raise SettingError(
                "min_tokens, max_targets and max_age must be above 0, but are "
                f"{self.min_tokens!r}, {self.max_targets!r} and {self.max_age!r}",
                remedy="set all three above 0",
            )
        #: Tokens known from notices alone, and the time of the last notice, by server.
        self.noticed_ = {}
        return self

    def observe(self, event, now):
        """Record the tokens of a :class:`NoticeReceived`.

        :param event: a :class:`NoticeReceived`.
        :param now: monotonic time, in seconds.
        """
        tokens = self._get_noticed(event.server, now) + event.tokens
        self.noticed_[event.server] = (tokens, now)

    def _get_noticed(self, server, now):
        tokens, noticed_at = self.noticed_.get(server, (0, now))
        return tokens if now - noticed_at <= self.max_age else 0

    def take_unknown(self, server, tokens, now):
        """Return the reported tokens that no notice has told before.

        :param server: id of the engine.
        :param tokens: prompt tokens that a report adds.
        :param now: monotonic time, in seconds.
        :return: tokens, 0 or more.
        """
        noticed = self._get_noticed(server, now)
        if not noticed:
            self.noticed_.pop(server, None)
            return tokens
        known = min(noticed, tokens)
        self.noticed_[server] = (noticed - known, self.noticed_[server][1])
        return tokens - known

    def decide(self, query, now):
        """Answer a :class:`NoticeQuery`.

        :param query: a :class:`NoticeQuery`.
        :param now: monotonic time, in seconds; not used.
        :return: list of the IPs of the entries to tell.
        """
        if query.tokens < self.min_tokens or query.slots >= len(query.members):
            return []
        ips = [
            member.ip
            for name, member in query.members.items()
            if member.failure_domain == query.failure_domain and name != query.own
        ]
        return ips[: self.max_targets]
