"""Idle channels to one server."""

from wasabistage.http1._channel import open_channel

UNKNOWN_IDLE = 4.0  # seconds an idle channel is kept if the server names no time
IDLE_SHARE = 0.6  # share of the server's stated idle time that is used
MAX_REFUSED_IDS = 64  # requests refused on a channel before it is closed
MAX_IDLE = 64  # channels kept idle, a server's common batch size
KEEP_ALIVE_TIMEOUT = b"timeout="


def stated_idle_time(fields):
    """Return the idle time that a response states.

    :param fields: dict of lower-case header name to value, bytes.
    :return: seconds, or ``None`` if it states none.
    """
    for part in fields.get(b"keep-alive", b"").split(b","):
        part = part.strip().lower()
        if part.startswith(KEEP_ALIVE_TIMEOUT):
            try:
                return float(part[len(KEEP_ALIVE_TIMEOUT) :])
            except ValueError:
                return None
    return None


class ChannelPool:
    """Idle channels of one server, the last used first.

    :param address: tuple of host and port.
    :param connect_timeout: longest time to open a channel, in seconds.
    """

    def __init__(self, address, connect_timeout):
        self.address = address
        self.connect_timeout = connect_timeout
        self.idle = []
        self.opened = 0
        #: Idle channels that the server closed before the idle time that it stated.
        self.closed_early = 0

    async def take(self, now, request_id=""):
        """Return a channel, an idle one if there is one that still stands.

        :param now: monotonic time, in seconds.
        :param request_id: id of the request; a channel on which it was refused is not
            used for it.
        :return: a :class:`wasabistage.http1.Channel`.
        :raises NotSentError: if none can be opened.
        """
        for channel in reversed(list(self.idle)):
            if request_id in channel.refused_ids:
                continue
            self.idle.remove(channel)
            if now < channel.idle_until:
                if channel.is_quiet():
                    return channel
                self.closed_early += channel.has_idle_time
            channel.close()
        self.opened += 1
        return await open_channel(self.address, self.connect_timeout)

    def give_back(self, channel, fields, now):
        """Keep a channel whose response is complete, or close it.

        :param channel: the channel.
        :param fields: headers of its last response, dict of bytes.
        :param now: monotonic time, in seconds.
        """
        has_room = (
            len(self.idle) < MAX_IDLE and len(channel.refused_ids) < MAX_REFUSED_IDS
        )
        if not channel.start_next() or not has_room:
            channel.close()
            return
        stated = stated_idle_time(fields)
        idle = UNKNOWN_IDLE if stated is None else stated * IDLE_SHARE
        channel.idle_until = now + idle
        channel.has_idle_time = stated is not None
        if idle <= 0.0:
            channel.close()
            return
        self.idle.append(channel)

    def close_expired(self, now):
        """Close the idle channels whose time is over.

        :param now: monotonic time, in seconds.
        """
        kept = []
        for channel in self.idle:
            if now < channel.idle_until:
                kept.append(channel)
            else:
                channel.close()
        self.idle = kept

    def close(self):
        """Close every idle channel."""
        for channel in self.idle:
            channel.close()
        self.idle = []
