"""Choice of the relay that a follower reports to and learns from."""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError

MAX_RELAYS = 1024  # relays of which times are kept


@dataclass(frozen=True, kw_only=True)
class RelayReported:
    """A report of a relay was received.

    :param relay: name of the relay.
    """

    relay: str


@dataclass(frozen=True, kw_only=True)
class RelayQuery:
    """Question which relay to follow.

    :param candidates: names of the relays in order of preference; empty for an entry
        that is a relay itself.
    """

    candidates: tuple[str, ...] = ()


class RelayChoice(Policy):
    """Keeps a relay while it reports, and turns to the next one otherwise.

    :param timeout: time without a report after which a relay is left, in seconds.
    :param avoid_time: time for which a relay that was left isn't chosen, in seconds.
    """

    def __init__(self, *, timeout=0.7, avoid_time=3.0):
        self.timeout = timeout
        self.avoid_time = avoid_time

    def reset(self):
        """Check the arguments and forget all relays."""
        if self.timeout <= 0 or self.avoid_time <= 0:
            raise SettingError(
                "timeout and avoid_time must be above 0, but are "
                f"{self.timeout!r} and {self.avoid_time!r}",
                remedy="set both to a value above 0",
            )
        self.followed_ = ""
        self.reported_at_ = float("-inf")
        self.avoided_until_ = {}
        return self

    def observe(self, event, now):
        """Record a :class:`RelayReported`; relays that aren't followed don't matter.

        :param event: a :class:`RelayReported`.
        :param now: monotonic time, in seconds.
        """
        if event.relay == self.followed_:
            self.reported_at_ = now

    def decide(self, query, now):
        """Answer a :class:`RelayQuery`.

        :param query: a :class:`RelayQuery`.
        :param now: monotonic time, in seconds.
        :return: name of the relay to follow, or ``""``.
        """
        is_silent = now - self.reported_at_ > self.timeout
        if self.followed_ in query.candidates and not is_silent:
            return self.followed_
        if self.followed_ and is_silent and len(self.avoided_until_) < MAX_RELAYS:
            self.avoided_until_[self.followed_] = now + self.avoid_time
        self.avoided_until_ = {
            name: until for name, until in self.avoided_until_.items() if now < until
        }
        allowed = [name for name in query.candidates if name not in self.avoided_until_]
        self.followed_ = next(iter(allowed or query.candidates), "")
        # The new relay has as long for its first report as for any other.
        self.reported_at_ = now
        return self.followed_
