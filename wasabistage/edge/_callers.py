"""Handlers of callers' requests, address requests and readiness probes."""

from contextlib import contextmanager
from contextvars import ContextVar

import trio

from wasabistage.edge._choice import select_service
from wasabistage.edge._exchange import Exchange
from wasabistage.edge._handlers import RequestHandler
from wasabistage.edge._intake import CALLERS
from wasabistage.edge._messages import BadRequestError
from wasabistage.edge._regions import get_region
from wasabistage.fleet import (
    NO_CONFIGURATION,
    NO_ROUTE,
    STALE_KEYS,
    CallerLimits,
    RouteKind,
)
from wasabistage.http1 import (
    Answer,
    CallerChannel,
    CallerGoneError,
    ChannelsFullError,
    RefusedError,
    send_unavailable,
)
from wasabistage.topology import AddressQuery, AddressRequested, EntrySelector

MAX_ADDRESS_LIFETIME_SECONDS = 2.0  # bounds how long callers try a lost entry
MIN_NEAR_ADDRESSES = 8  # entries that share the callers of a failure domain
MAX_ADDRESSES = 64  # callers ignore further addresses in a response
START_RETRY_SECONDS = 0.3  # a starting entry may be ready by then
KEYS_RETRY_SECONDS = 0.5  # the keys may have been confirmed by then
OTHER_ENTRY_RETRY_SECONDS = 0.1  # other entries accept requests at once
#: Fraction of ``stop_s`` that must be left when a stream starts, whatever its timeout:
#: the longest streams of the specification take 5 s, and ``stop_s`` is 8 s by default.
MIN_STREAM_TIME_FRACTION = 0.63
#: Time for the final response of a request that times out while the process stops.
STOP_MARGIN_SECONDS = 0.2
REFUSAL_SECONDS = 1.0  # for writing a response without a body
#: IP of the caller whose channel the current task serves.
CALLER_IP = ContextVar("CALLER_IP", default="")


class CallerHandler:
    """Serves the channels that callers open.

    :param state: an :class:`EdgeState`.
    :param forwarder: a :class:`Forwarder`.
    """

    def __init__(self, state, forwarder):
        self.state = state
        self.forwarder = forwarder
        self.channels = set()
        #: Cancel scopes of the requests that are being forwarded.
        self.scopes = set()
        state.routes.listeners.append(self._apply_limits)

    async def serve(self, sock):
        """Serve a channel until it closes.

        :param sock: the accepted trio socket.
        """
        state = self.state
        try:
            channel = CallerChannel(
                sock, state.timer, self._get_limits(), state.intake, CALLERS
            )
        except ChannelsFullError:
            await send_unavailable(sock)
            return
        channel.closing = self.state.is_draining
        self.channels.add(channel)
        try:
            while await self._serve_next(channel):
                channel.closing = channel.closing or self.state.is_draining
        except (CallerGoneError, trio.TooSlowError):
            self.state.metrics.count("channel.ended")
        finally:
            channel.release()
            self.channels.discard(channel)

    def _apply_limits(self):
        """Set the limits of the configuration in force on all open channels."""
        limits = self._get_limits()
        for channel in self.channels:
            channel.set_limits(limits)

    def _get_limits(self):
        configuration = self.state.routes.configuration
        return configuration.limits if configuration is not None else CallerLimits()

    async def _serve_next(self, channel):
        """Serve the next request; return whether the channel stays open."""
        refusal = None
        try:
            request = await channel.read_request()
        except RefusedError as error:
            refusal = error.with_traceback(None)
        if refusal is not None:
            self.state.metrics.count("request.refused", label=str(refusal.status))
            headers = self.state.platform.encode_error_headers("", refusal.retry_after)
            await channel.refuse(refusal, headers)
            return False
        if request is None:
            return False
        self.state.open_requests += 1
        try:
            await self._serve_request(channel, request)
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
        with trio.fail_after(REFUSAL_SECONDS):
            await channel.respond(status, headers, b"")

    async def _serve_request(self, channel, wire_request):
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
        """Check whether to forward a request.

        :return: a tuple of route, caller and refusal. A refusal is a tuple of status,
            reason and time after which to retry, or ``None``.
        """
        state, now = self.state, self.state.timer.now()
        route = state.routes.find_route(request.host, request.path)
        if not route:
            if route.has_same_name(NO_CONFIGURATION):
                return None, None, (503, route.reason, START_RETRY_SECONDS)
            if (
                route.has_same_name(NO_ROUTE)
                and not state.is_ready
                and not state.is_draining
            ):
                return None, None, (503, "the entry is starting", START_RETRY_SECONDS)
            return None, None, (404, route.reason, None)
        if self._may_stop_before_end(route, request, now):
            return None, None, (503, "the entry is stopping", OTHER_ENTRY_RETRY_SECONDS)
        # A newer configuration may declare the list of accounts again.
        if state.routes.has_had_accounts and not route.is_anonymous:
            fresh = state.freshness.decide(now)
            if not fresh:
                return None, None, (503, STALE_KEYS.reason, KEYS_RETRY_SECONDS)
        caller = state.routes.find_caller(route, request.key)
        if not caller:
            return None, None, (401, caller.reason, None)
        return route, caller, None

    def _may_stop_before_end(self, route, request, now):
        """Return whether this process may stop before a request has its answer."""
        state = self.state
        if state.stops_at is None:
            return False
        if get_deadline(route, request) + STOP_MARGIN_SECONDS <= state.stops_at:
            return False
        if route.kind is not RouteKind.STREAM:
            return True
        time_left = state.stops_at - now
        return time_left < MIN_STREAM_TIME_FRACTION * state.settings.bounds.stop_s

    async def _forward(self, channel, request, route, caller):
        """Forward a request until its deadline or until its caller disconnects."""
        state = self.state
        deadline_at = get_deadline(route, request)
        time_left = deadline_at - state.timer.now()
        caller_gone = False
        with (
            trio.CancelScope(deadline=trio.current_time() + time_left) as scope,
            self._keep_scope(scope),
        ):
            async with trio.open_nursery() as nursery:

                async def cancel_when_gone():
                    nonlocal caller_gone
                    await channel.wait_gone()
                    caller_gone = True
                    scope.cancel()

                nursery.start_soon(cancel_when_gone)
                exchange = Exchange(
                    request=request,
                    route=route,
                    account=caller.account,
                    service=select_service(state, route, state.random.random()),
                    taken_under=state.routes.configuration,
                    channel=channel,
                    nursery=nursery,
                    deadline_at=deadline_at,
                )
                try:
                    await self.forwarder.run(exchange)
                except CallerGoneError:
                    caller_gone = True
                nursery.cancel_scope.cancel()
        if caller_gone:
            state.metrics.count("request.abandoned")
            state.log.write("caller_gone", request=request.request_id)
            channel.closing = True
        elif scope.cancelled_caught:
            await self._send_timeout_response(channel, exchange)

    @contextmanager
    def _keep_scope(self, scope):
        self.scopes.add(scope)
        try:
            yield
        finally:
            self.scopes.discard(scope)

    def end_open_requests(self):
        """End the requests that are being forwarded, with a final response.

        A response that has begun is cut.
        """
        for scope in list(self.scopes):
            scope.cancel()

    async def _send_timeout_response(self, channel, exchange):
        """Send the final response for a request that missed its deadline."""
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


def get_deadline(route, request):
    """Return the time by which a request must be answered, monotonic seconds.

    :param route: its :class:`wasabistage.fleet.Route`.
    :param request: a :class:`CallerRequest`.
    """
    timeout = route.timeout
    if request.patience is not None:
        timeout = min(timeout, request.patience)
    return request.begun_at + timeout


class DirectoryHandler(RequestHandler):
    """Answers address requests and readiness probes.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        super().__init__(state)
        self.selector = EntrySelector(
            min_near=MIN_NEAR_ADDRESSES, limit=MAX_ADDRESSES
        ).reset()

    async def serve(self, group, sock):
        """See :meth:`RequestHandler.serve`."""
        try:
            CALLER_IP.set(sock.getpeername()[0])
        except OSError:
            return  # the caller has closed the channel already
        await super().serve(group, sock)

    def answer(self, request):
        """See :meth:`RequestHandler.answer`."""
        platform = self.state.platform
        if platform.is_readiness_probe(request):
            return Answer(status=200 if self.state.is_ready else 503)
        address_request = platform.decode_address_request(request)
        if address_request is None:
            return Answer(status=404)
        host, region, failure_domain = address_request
        caller, now = CALLER_IP.get(), self.state.timer.now()
        self._record_caller(caller, now)
        addresses = self.get_addresses(failure_domain, region, host, caller, now)
        if not addresses:
            return Answer(status=503)
        lifetime = min(
            MAX_ADDRESS_LIFETIME_SECONDS, self.state.settings.bounds.address_lifetime_s
        )
        return Answer(
            status=200,
            headers=((b"Content-Type", b"application/json"),),
            body=platform.encode_addresses(addresses, lifetime),
        )

    def _record_caller(self, caller, now):
        """Record who requests addresses, and whether each caller gets its own."""
        was_weighted = self.selector.is_weighted_
        self.selector.observe(AddressRequested(caller=caller), now)
        if self.selector.is_weighted_ != was_weighted:
            self.state.log.write(
                "address_weighting",
                on=self.selector.is_weighted_,
                callers=len(self.selector.callers_),
            )
        self.state.metrics.gauge("directory.callers", len(self.selector.callers_))

    def get_addresses(self, failure_domain="", region="", host="", caller="", now=0.0):
        """Return the ``IP:PORT`` of ready entries, in random order.

        If the failure domain of the caller has enough of them, only those are
        returned: others are further away, and would carry its traffic as well. The same
        holds for the entries of its region, then for those of the home regions.

        :param failure_domain: failure domain of the caller, or ``""``.
        :param region: region of the caller, or ``""``.
        :param host: host that it wants to call, or ``""``.
        :param caller: IP of the caller, or ``""``.
        :param now: monotonic time, in seconds.
        """
        state = self.state
        members = tuple(state.view.get_members().values())
        ready = [item for item in members if item.is_ready]
        near = [item for item in ready if item.failure_domain == failure_domain]
        if len(near) < MIN_NEAR_ADDRESSES and state.settings.regions:
            return self._get_addresses_by_region(ready, failure_domain, region, host)
        query = AddressQuery(
            members=members,
            failure_domain=failure_domain,
            caller=caller,
            draws=tuple(state.random.random() for _ in members),
        )
        return [item.callers for item in self.selector.decide(query, now)]

    def _get_addresses_by_region(self, ready, failure_domain, region, host):
        """Return the addresses of the nearest regions that have enough entries."""
        state = self.state
        own = region or get_region(state, failure_domain)
        homes = state.routes.get_allowed_regions(host.partition(":")[0].lower())
        tiers = ([], [], [])
        for item in ready:
            entry_region = get_region(state, item.failure_domain)
            is_own = bool(own) and entry_region == own
            tier = 0 if is_own else 1 if entry_region in homes else 2
            if item.callers:
                tiers[tier].append(item.callers)
        addresses = []
        for tier in tiers:
            if len(addresses) >= MIN_NEAR_ADDRESSES:
                break
            state.random.shuffle(tier)
            addresses += tier
        return addresses[:MAX_ADDRESSES]
