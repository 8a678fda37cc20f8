"""When an entry asks which backend server for its load and its cache events."""

from dataclasses import dataclass

from wasabistage.membership import rank_by_hash

#: Entries that ask a server at full pace, chosen by rendezvous hashing.
WATCHERS = 2
#: Time between two questions of an entry that neither watches nor uses a server.
UNWATCHED_SECONDS = 2.0
EVENTS_SECONDS = 0.2
#: Longest time between two questions for events while none come.
QUIET_SECONDS = 3.2


@dataclass
class ServerPolls:
    """The questions to one server.

    :ivar own: own attempts under way there.
    :ivar load_at: time of the last question for its load, monotonic seconds.
    :ivar events_at: time from which it is asked for events again.
    :ivar events_wait: time until the question after that, in seconds.
    """

    own: int = 0
    load_at: float = float("-inf")
    events_at: float = float("-inf")
    events_wait: float = EVENTS_SECONDS


class PollPlan:
    """Spreads the questions to backend servers over the entries.

    Every entry asks a server at full pace while it has work there or is one of the
    server's watchers, and now and then otherwise: a leaving server is seen by its
    watchers, whose word goes to the others by gossip. Questions for cache events
    grow rarer while none come and nothing runs.

    :param own: name of this entry instance.
    """

    def __init__(self, own):
        self.own = own
        self.polls = {}
        self.seen = None
        self.watched = frozenset()

    def follow(self, servers, entries):
        """Learn the backend servers and the live entries.

        :param servers: names of the servers.
        :param entries: names of the other live entries.
        """
        seen = (tuple(servers), frozenset(entries))
        if seen == self.seen:
            return
        self.seen = seen
        names = sorted({*entries, self.own})
        self.watched = frozenset(
            server
            for server in servers
            if self.own in rank_by_hash(server, names)[:WATCHERS]
        )
        for gone in set(self.polls) - set(servers):
            del self.polls[gone]

    def of(self, server):
        """Return the questions to a server.

        :param server: its name.
        :return: a :class:`ServerPolls`.
        """
        return self.polls.setdefault(server, ServerPolls())

    def load_due(self, server, heard, now):
        """Tell whether to ask a server for its load now.

        :param server: its name.
        :param heard: whether it ever answered.
        :param now: monotonic time, in seconds.
        :return: a truth value.
        """
        polls = self.of(server)
        near = not heard or polls.own > 0 or server in self.watched
        if not near and now - polls.load_at < UNWATCHED_SECONDS:
            return False
        polls.load_at = now
        return True

    def events_due(self, server, busy, now):
        """Tell whether to ask a server for its cache events now.

        :param server: its name.
        :param busy: whether its newest load report shows work.
        :param now: monotonic time, in seconds.
        :return: a truth value.
        """
        polls = self.of(server)
        if busy or polls.own > 0:
            polls.events_wait = EVENTS_SECONDS
            return True
        return now >= polls.events_at

    def events_came(self, server, count, now):
        """Learn what a question for events brought.

        :param server: name of the server.
        :param count: events that came.
        :param now: monotonic time, in seconds.
        """
        polls = self.of(server)
        if count:
            polls.events_wait = EVENTS_SECONDS
        polls.events_at = now + polls.events_wait
        polls.events_wait = min(QUIET_SECONDS, 2 * polls.events_wait)

    def started(self, server):
        """Learn that an own attempt began.

        :param server: name of the server.
        """
        self.of(server).own += 1

    def ended(self, server):
        """Learn that an own attempt ended.

        :param server: name of the server.
        """
        polls = self.of(server)
        polls.own = max(0, polls.own - 1)
        polls.events_at = float("-inf")
        polls.events_wait = EVENTS_SECONDS
