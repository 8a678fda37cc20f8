"""The caller's memory of which entries to use."""

from dataclasses import dataclass

import httpx

from wasabistage.exceptions import UnavailableError

ASK_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class EntryAnswer:
    """What an entry answered to the question for entries.

    :param addresses: ``IP:PORT`` of the entries, best first.
    :param until: monotonic time up to which the answer may be kept, in seconds.
    :param tickets: once-only tickets, if asked for.
    :param home: ``IP:PORT`` of the entry that issued them.
    """

    addresses: tuple
    until: float
    tickets: tuple = ()
    home: str = ""


class EntryDirectory:
    """Asks for entries and keeps the answer for its lifetime.

    :param http: an :class:`httpx.AsyncClient` with the bearer key.
    :param seeds: ``IP:PORT`` of some entries to ask first.
    :param failure_domain: the caller's failure domain; empty if unknown.
    :param clock: function that returns the monotonic time, in seconds.
    """

    def __init__(self, http, seeds, failure_domain, clock):
        self.http = http
        self.seeds = tuple(seeds)
        self.failure_domain = failure_domain
        self.clock = clock
        self.answer = EntryAnswer(addresses=(), until=0.0)

    def known(self):
        """List every address worth asking, the best first.

        :return: tuple of ``IP:PORT``.
        """
        return tuple(dict.fromkeys(self.answer.addresses + self.seeds))

    async def current(self, session=""):
        """Return the kept answer, or ask for a new one.

        :param session: name of the session that will be used; empty for none.
        :return: an :class:`EntryAnswer`.
        :raises UnavailableError: if no entry answers.
        """
        if self.clock() < self.answer.until and not session:
            return self.answer
        return await self.ask(session=session)

    async def ask(self, session="", tickets=0, avoid=()):
        """Ask for entries.

        :param session: name of the session that will be used; empty for none.
        :param tickets: number of once-only tickets wanted.
        :param avoid: addresses to ask last.
        :return: an :class:`EntryAnswer`.
        :raises UnavailableError: if no entry answers.
        :raises WasabistageError: if the entries refuse the caller.
        """
        addresses = sorted(self.known(), key=lambda item: item in avoid)
        refusal = None
        for address in addresses:
            try:
                answer = await self._ask_one(address, session, tickets)
            except httpx.HTTPError:
                continue
            if answer.status_code == 200:
                return self._keep(answer.json())
            refusal = refusal or answer
        detail = f": {refusal.status_code} {refusal.text[:200]}" if refusal else ""
        raise UnavailableError(
            f"no entry answered which one to use{detail}",
            remedy="check the seed addresses and the bearer key, or retry later",
            retry_after=1.0,
        )

    async def _ask_one(self, address, session, tickets):
        params = {}
        if session:
            params["session"] = session
        if tickets:
            params["tickets"] = tickets
        if self.failure_domain:
            params["failure_domain"] = self.failure_domain
        url = f"http://{address}/v1/entries"
        return await self.http.get(url, params=params, timeout=ASK_TIMEOUT_SECONDS)

    def _keep(self, body):
        answer = EntryAnswer(
            addresses=tuple(item["address"] for item in body["entries"]),
            until=self.clock() + body["lifetime"],
            tickets=tuple(body["tickets"]),
            home=body["tickets_from"],
        )
        self.answer = answer
        return answer
