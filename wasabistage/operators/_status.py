"""Asks running entries for their status, their spans and their configuration."""

import trio
import trio_asyncio

from wasabistage.entry import (
    CONFIG,
    STATUS,
    TRACE,
    ConfigAsk,
    PeerClient,
    StatusAsk,
    TraceAsk,
    log_loop_error,
)
from wasabistage.exceptions import WasabistageError
from wasabistage.observe import MemoryMetrics


async def read_status(addresses, peer_key):
    """Ask entries for their status.

    :param addresses: peer addresses, ``IP:PORT``.
    :param peer_key: the deployment's peer key.
    :return: a list of ``StatusTold``, with ``None`` for an entry that did not answer.
    """
    return await _ask_all(addresses, peer_key, STATUS, StatusAsk())


async def read_trace(addresses, peer_key, request_id):
    """Collect the spans of a request from entries.

    :param addresses: peer addresses, ``IP:PORT``.
    :param peer_key: the deployment's peer key.
    :param request_id: identifier of the request.
    :return: list of :class:`wasabistage.observe.SpanRecord`, by start time.
    """
    told = await read_spans(addresses, peer_key, request_id)
    spans = [span for item in told if item is not None for span in item]
    return sorted(spans, key=lambda span: span.start)


async def read_spans(addresses, peer_key, request_id):
    """Ask entries for the spans of a request.

    :param addresses: as in :func:`read_trace`.
    :param peer_key: as in :func:`read_trace`.
    :param request_id: as in :func:`read_trace`.
    :return: a list of tuples of :class:`wasabistage.observe.SpanRecord`, with ``None``
        for an entry that did not answer.
    """
    question = TraceAsk(request_id=request_id)
    told = await _ask_all(addresses, peer_key, TRACE, question)
    return [None if item is None else tuple(item.spans) for item in told]


async def read_states(addresses, peer_key):
    """Ask entries for the configuration that they folded from the log.

    :param addresses: peer addresses, ``IP:PORT``.
    :param peer_key: the deployment's peer key.
    :return: list of :class:`wasabistage.declarations.ConfigState`, of those who know.
    """
    told = await _ask_all(addresses, peer_key, CONFIG, ConfigAsk())
    return [item.state for item in told if item is not None and item.state]


async def _ask_all(addresses, peer_key, method, question):
    answers = [None] * len(addresses)

    async def ask(place, client, address):
        try:
            answers[place] = await client.call(address, method, question)
        except WasabistageError:
            answers[place] = None

    async with trio_asyncio.open_loop() as loop:
        loop.set_exception_handler(log_loop_error)
        client = PeerClient(peer_key, MemoryMetrics())
        try:
            async with trio.open_nursery() as nursery:
                for place, address in enumerate(addresses):
                    nursery.start_soon(ask, place, client, address)
        finally:
            client.close()
    return answers
