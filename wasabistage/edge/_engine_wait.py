"""Waits until the gate lets a request go to a backend server."""

import trio

from wasabistage.edge._choice import (
    AllEvacuated,
    AllResting,
    build_gate_query,
    get_patience,
    select_server,
)
from wasabistage.edge._cold_servers import AllCold
from wasabistage.edge._peers import PEER_REPORT_INTERVAL_SECONDS
from wasabistage.routing import TOO_LATE, RoomQuery, WaitEnded

GATE_INTERVAL_SECONDS = 0.015  # pause between two queries to a gate without room
#: The same in a fleet with followers, where room is known from reports.
FLEET_GATE_INTERVAL_SECONDS = 0.05
#: Longest pause until a request that waits for a cold server looks for one again. The
#: server may have become warm, or another one may have appeared.
MAX_COLD_PAUSE_SECONDS = 0.25
#: Longest time after which a request that no cold server takes is to be sent again:
#: another entry may have an allowance.
MAX_COLD_RETRY_SECONDS = 2.0
#: Time after which a request to evacuated servers is to be sent again. An evacuation
#: has no announced end.
EVACUATED_RETRY_SECONDS = 2.0
#: Time over which the requests that wait for a server's rest are spread at its end.
REST_JITTER_SECONDS = 0.05


class EngineWait:
    """Selects the backend server of each attempt, as soon as there is room.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Requests that wait for cold servers, by service.
        self.cold_waiting = {}

    async def select(self, exchange, excluded):
        """Return a :class:`Choice` that the gate admits, or a sentinel with the reason.

        While the gate has no room, the request waits.
        """
        request = exchange.request
        try:
            while True:
                now = self.state.timer.now()
                admitted = self.state.crash_watch.check(request)
                if not admitted:
                    return admitted
                choice = select_server(self.state, exchange, excluded, now)
                if isinstance(choice, AllResting):
                    exchange.rest_seconds = choice.seconds
                    if not self._may_wait_for_rest(exchange, choice, now):
                        return choice
                    jitter = REST_JITTER_SECONDS * self.state.random.random()
                    await trio.sleep(choice.seconds + jitter)
                    continue
                if isinstance(choice, AllCold):
                    if not self._may_wait_for_cold_server(exchange, choice, now):
                        return choice
                    await self._wait_for_cold_server(exchange, choice)
                    continue
                exchange.rest_seconds = 0.0
                if isinstance(choice, AllEvacuated):
                    exchange.rest_seconds = EVACUATED_RETRY_SECONDS
                if not choice or choice.plan is None:
                    return choice
                query = build_gate_query(self.state, exchange, choice)
                verdict = self.state.gate.decide(query, now)
                if verdict and self._is_admitted(exchange, choice, now):
                    return choice
                if verdict:
                    self.state.gate.hold(query)
                elif verdict.has_same_name(TOO_LATE):
                    return verdict
                exchange.gate_waits += 1
                await trio.sleep(self._get_gate_interval())
        finally:
            wait_ended = WaitEnded(request=request.request_id)
            self.state.gate.observe(wait_ended, self.state.timer.now())

    def _may_wait_for_rest(self, exchange, choice, now):
        """Return whether a request can be answered in time after a server's rest."""
        route = exchange.route
        needed = choice.seconds + REST_JITTER_SECONDS + route.objective
        patience = get_patience(route, exchange.deadline_at - exchange.request.begun_at)
        return now + needed < exchange.request.begun_at + patience

    def _may_wait_for_cold_server(self, exchange, choice, now):
        """Return whether a cold server may take a request in time for its answer.

        Those that wait already go first.
        """
        waiting = self.cold_waiting.get(exchange.service, 0)
        seconds = choice.seconds
        if waiting and choice.rate:
            seconds = max(seconds, waiting / choice.rate)
        exchange.rest_seconds = min(seconds, MAX_COLD_RETRY_SECONDS)
        route, begun_at = exchange.route, exchange.request.begun_at
        patience = get_patience(route, exchange.deadline_at - begun_at)
        return now + seconds + route.objective < begun_at + patience

    async def _wait_for_cold_server(self, exchange, choice):
        service, waiting = exchange.service, self.cold_waiting
        exchange.gate_waits += 1
        self.state.metrics.count("request.waited_cold")
        waiting[service] = waiting.get(service, 0) + 1
        try:
            # Each look costs as much as there are cold servers.
            shortest = GATE_INTERVAL_SECONDS * waiting[service]
            pause = min(max(choice.seconds, shortest), MAX_COLD_PAUSE_SECONDS)
            await trio.sleep(pause * (0.75 + 0.25 * self.state.random.random()))
        finally:
            waiting[service] -= 1
            if not waiting[service]:
                del waiting[service]

    def _is_admitted(self, exchange, choice, now):
        """Return whether a prompt that the gate admits is sent now.

        In a fleet with followers, the room of an engine is known with a delay.
        """
        state = self.state
        if not state.view.is_large:
            return True
        query = RoomQuery(
            room=choice.room,
            waiting=state.view.domain_waiting,
            own_waiting=len(state.gate.waiting_),
            has_waited=exchange.gate_waits > 0,
            rounds=PEER_REPORT_INTERVAL_SECONDS / FLEET_GATE_INTERVAL_SECONDS,
            draw=state.random.random(),
        )
        return state.admission.decide(query, now)

    def _get_gate_interval(self):
        if not self.state.view.is_large:
            return GATE_INTERVAL_SECONDS
        return FLEET_GATE_INTERVAL_SECONDS * (0.5 + self.state.random.random())
