"""Callers' side: requests, questions for addresses, readiness."""

import h11
import trio

from wasabistage.edge._choice import choose_service
from wasabistage.edge._desk import AnswerDesk
from wasabistage.edge._exchange import Exchange
from wasabistage.edge._messages import BadRequestError
from wasabistage.fleet import (
    NO_CONFIGURATION,
    NO_ROUTE,
    STALE_KEYS,
    CallerLimits,
    RouteKind,
)
from wasabistage.http1 import Answer, CallerChannel, CallerGoneError

ADDRESS_LIFETIME = 2.0  # seconds; callers leave a lost entry after that
MAX_ADDRESSES = 64  # addresses that callers read of an answer
WAIT_FOR_CONFIGURATION = 0.3  # seconds until a starting entry may have read it
WAIT_FOR_KEYS = 0.5  # seconds until the keys may have been confirmed
WAIT_FOR_OTHER_ENTRY = 0.1  # seconds; the other entries take requests at once
#: Share of the time to stop that must be left for a stream to begin; the longest
#: streams of the sheets take five of eight seconds.
LAST_STREAM_SHARE = 0.63


class CallerDesk:
    """Serves the channels that callers open.

    :param state: an :class:`EdgeState`.
    :param forwarder: a :class:`Forwarder`.
    """

    def __init__(self, state, forwarder):
        self.state = state
        self.forwarder = forwarder
        self.channels = set()

    async def serve(self, sock):
        """Serve one channel to its end.

        :param sock: the accepted trio socket.
        """
        channel = CallerChannel(sock, self.state.timer, self._limits())
        channel.closing = self.state.is_draining
        self.channels.add(channel)
        try:
            while await self._serve_next(channel):
                channel.closing = channel.closing or self.state.is_draining
        except (CallerGoneError, trio.TooSlowError):
            self.state.metrics.count("channel.ended")
        finally:
            self.channels.discard(channel)

    def _limits(self):
        configuration = self.state.routes.configuration
        return configuration.limits if configuration is not None else CallerLimits()

    async def _serve_next(self, channel):
        """Serve the next request; return whether the channel goes on."""
        try:
            request = await channel.read_request()
        except h11.RemoteProtocolError as error:
            await self._reject(channel, error.error_status_hint or 400, str(error))
            return False
        if request is None:
            return False
        self.state.open_requests += 1
        try:
            await self._answer(channel, request)
        finally:
            self.state.open_requests -= 1
        return channel.start_next()

    async def _reject(self, channel, status, reason, request_id="", retry_after=None):
        self.state.metrics.count("request.refused", label=str(status))
        self.state.log.write(
            "request_rejected",
            request=request_id,
            status=status,
            reason=reason,
            retry_after=retry_after,
        )
        if not channel.may_respond:
            return
        headers = self.state.platform.encode_error_headers(request_id, retry_after)
        await channel.respond(status, headers, b"")

    async def _answer(self, channel, wire_request):
        self.state.metrics.count("request.received")
        try:
            request = self.state.platform.decode_request(wire_request)
        except BadRequestError as error:
            await self._reject(channel, error.status, str(error))
            return
        route, caller, refusal = self._admit(request)
        if refusal is not None:
            status, reason, retry_after = refusal
            await self._reject(channel, status, reason, request.request_id, retry_after)
            return
        await self._forward(channel, request, route, caller)

    def _admit(self, request):
        """Return route, caller and refusal (status, reason, wait) of a request."""
        state, now = self.state, self.state.timer.now()
        route = state.routes.find_route(request.host, request.path)
        if not route:
            if route.has_same_name(NO_CONFIGURATION):
                return None, None, (503, route.reason, WAIT_FOR_CONFIGURATION)
            if (
                route.has_same_name(NO_ROUTE)
                and not state.is_ready
                and not state.is_draining
            ):
                return None, None, (503, "still starting", WAIT_FOR_CONFIGURATION)
            return None, None, (404, route.reason, None)
        if self._ends_too_soon(route, now):
            return None, None, (503, "the entry stops", WAIT_FOR_OTHER_ENTRY)
        if state.routes.configuration.accounts and not route.is_anonymous:
            fresh = state.freshness.decide(now)
            if not fresh:
                return None, None, (503, STALE_KEYS.reason, WAIT_FOR_KEYS)
        caller = state.routes.find_caller(route, request.key)
        if not caller:
            return None, None, (401, caller.reason, None)
        return route, caller, None

    def _ends_too_soon(self, route, now):
        """Tell whether this process may end before a stream does that begins now."""
        state = self.state
        if state.stops_at is None or route.kind is not RouteKind.STREAM:
            return False
        left = state.stops_at - now
        return left < LAST_STREAM_SHARE * state.settings.bounds.stop_s

    async def _forward(self, channel, request, route, caller):
        """Forward a request until its time is over or its caller is gone."""
        state = self.state
        patience = route.timeout
        if request.patience is not None:
            patience = min(patience, request.patience)
        deadline_at = request.begun_at + patience
        left = deadline_at - state.timer.now()
        gone = False
        with trio.CancelScope(deadline=trio.current_time() + left) as scope:
            async with trio.open_nursery() as nursery:

                async def watch():
                    nonlocal gone
                    await channel.wait_gone()
                    gone = True
                    scope.cancel()

                nursery.start_soon(watch)
                exchange = Exchange(
                    request=request,
                    route=route,
                    account=caller.account,
                    service=choose_service(state, route, state.random.random()),
                    channel=channel,
                    nursery=nursery,
                    deadline_at=deadline_at,
                )
                try:
                    await self.forwarder.run(exchange)
                except CallerGoneError:
                    gone = True
                nursery.cancel_scope.cancel()
        if gone:
            state.metrics.count("request.abandoned")
            state.log.write("caller_gone", request=request.request_id)
            channel.closing = True
        elif scope.cancelled_caught:
            await self._end_late(channel, exchange)

    async def _end_late(self, channel, exchange):
        """Give the final answer of a request whose time is over."""
        may_have_run = any(item.failure is None for item in exchange.attempts)
        status = 504 if may_have_run or exchange.may_have_run else 503
        self.state.metrics.count("request.late")
        self.state.log.write(
            "request_timed_out",
            request=exchange.request.request_id,
            route=exchange.route.name,
            status=status,
            attempts=len(exchange.attempts),
            started=channel.started,
        )
        if channel.started:
            channel.closing = True
            return
        headers = self.state.platform.encode_error_headers(
            exchange.request.request_id, None
        )
        with trio.move_on_after(1.0):
            await channel.respond(status, headers, b"")


class DirectoryDesk(AnswerDesk):
    """Answers which addresses to use, and whether this entry is ready.

    :param state: an :class:`EdgeState`.
    """

    def answer(self, request):
        """See :meth:`AnswerDesk.answer`."""
        platform = self.state.platform
        if platform.is_readiness_probe(request):
            return Answer(status=200 if self.state.is_ready else 503)
        if platform.decode_address_request(request) is None:
            return Answer(status=404)
        addresses = self.addresses()
        if not addresses:
            return Answer(status=503)
        lifetime = min(ADDRESS_LIFETIME, self.state.settings.bounds.address_lifetime_s)
        return Answer(
            status=200,
            headers=((b"Content-Type", b"application/json"),),
            body=platform.encode_addresses(addresses, lifetime),
        )

    def addresses(self):
        """Return the addresses of the entries that are ready, ``IP:PORT`` each."""
        state = self.state
        addresses = [
            peer.report.callers for peer in state.peers.values() if peer.report.is_ready
        ]
        if state.is_ready:
            addresses.append(state.settings.listen.callers)
        state.random.shuffle(addresses)
        return addresses[:MAX_ADDRESSES]
