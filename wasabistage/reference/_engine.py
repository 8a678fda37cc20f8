"""Client of a model engine."""

import json
from abc import ABC, abstractmethod
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import httpx

from wasabistage.base import Ran
from wasabistage.exceptions import (
    IntegrityError,
    NotFoundError,
    OutcomeUnknownError,
    UnavailableError,
)
from wasabistage.reference._http import NOT_SENT, call_json

CONTROL_TIMEOUT_SECONDS = 2.0
TRANSFER_TIMEOUT_SECONDS = 30.0
ORDER_TIMEOUT_SECONDS = 20.0
#: Trace event of the HTTP client right before a request's body is written.
BODY_EVENT = "http11.send_request_body.started"
DONE_MARK = "[DONE]"


@dataclass(frozen=True, kw_only=True)
class EngineRequest:
    """A prompt for an engine.

    :param stream_id: identifier of the answer stream.
    :param model: name of the model.
    :param version: weight version that must answer.
    :param messages: list of chat messages, dicts with ``role`` and ``content``.
    :param max_tokens: longest answer, in tokens.
    :param salt: cache salt of the client account.
    :param cache_keys: piece keys of the prompt.
    :param piece_tokens: tokens in one piece.
    :param priority: lower is served first.
    :param options: further options passed on, such as ``temperature``.
    :param trace: headers that carry the trace context.
    """

    stream_id: str
    model: str
    version: str
    messages: tuple
    max_tokens: int
    salt: str
    cache_keys: tuple = ()
    piece_tokens: int = 0
    priority: int = 1
    options: dict = field(default_factory=dict)
    trace: dict = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class EngineFrame:
    """One frame of an answer stream.

    :param stream_id: identifier that the engine says the frame belongs to.
    :param position: number of the frame's token in the answer.
    :param text: text of the token; empty in the last frame.
    :param finish: reason of the end in the last frame, else empty.
    :param prompt_tokens: tokens of the prompt, in the last frame.
    :param cached_tokens: prompt tokens that were not recomputed.
    """

    stream_id: str
    position: int
    text: str
    finish: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """A load report of a backend server.

    :param incarnation: identifier of the server process's life; sorts by its start.
    :param sequence: number of the report in that life.
    :param running: requests running.
    :param queued: requests waiting.
    :param queued_tokens: prompt tokens waiting.
    :param draining: whether the server is about to leave.
    :param versions: loaded weight version by model name.
    :param adapters: names of the loaded adapters.
    :param cache_used: cache pieces held.
    :param cache_pieces: cache pieces that fit.
    """

    incarnation: str = ""
    sequence: int = 0
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    draining: bool = False
    versions: dict = field(default_factory=dict)
    adapters: tuple = ()
    cache_used: int = 0
    cache_pieces: int = 0


@dataclass(frozen=True, kw_only=True)
class PieceRead:
    """What an engine or a store says about one piece.

    :param key: piece key.
    :param generation: generation of the piece in its store.
    :param incarnation: incarnation of the store.
    :param size: its length, in bytes.
    :param sha256: hex digest of its bytes.
    """

    key: str
    generation: int
    incarnation: str
    size: int
    sha256: str


class EngineClient(ABC):
    """Access to one model engine."""

    @abstractmethod
    def generate(self, request):
        """Open an answer stream.

        :param request: an :class:`EngineRequest`.
        :return: an asynchronous context manager of an iterator of
            :class:`EngineFrame`.
        """

    @abstractmethod
    def resume(self, stream_id, position):
        """Open an answer stream again.

        :param stream_id: identifier of the stream.
        :param position: first position wanted.
        :return: as :meth:`generate`.
        """

    @abstractmethod
    async def cancel(self, stream_id):
        """Cancel an answer stream.

        :param stream_id: identifier of the stream.
        """


class HttpEngineClient(EngineClient):
    """Engine behind HTTP with server-sent events.

    :param client: an :class:`httpx.AsyncClient`.
    :param address: ``IP:PORT`` of the engine.
    """

    def __init__(self, client, address):
        self.client = client
        self.address = address

    @asynccontextmanager
    async def generate(self, request):
        """Open an answer stream; see :meth:`EngineClient.generate`."""
        body = {
            **request.options,
            "model": f"{request.model}@{request.version}",
            "messages": list(request.messages),
            "max_tokens": request.max_tokens,
            "stream": True,
            "cache_salt": request.salt,
            "cache_keys": list(request.cache_keys),
            "piece_tokens": request.piece_tokens,
        }
        headers = {
            **request.trace,
            "X-Request-Id": request.stream_id,
            "X-Priority": str(request.priority),
        }
        url = f"http://{self.address}/v1/chat/completions"
        async with self._open("POST", url, json=body, headers=headers) as frames:
            yield frames

    @asynccontextmanager
    async def resume(self, stream_id, position):
        """Open a stream again; see :meth:`EngineClient.resume`."""
        url = f"http://{self.address}/v1/streams/{stream_id}"
        params = {"position": position}
        async with self._open("GET", url, params=params) as frames:
            yield frames

    @asynccontextmanager
    async def _open(self, method, url, **options):
        try:
            async with self.client.stream(method, url, **options) as answer:
                _check_status(answer.status_code)
                yield _frames(answer)
        except NOT_SENT as error:
            raise UnavailableError(
                f"no connection to the model engine: {type(error).__name__}",
                remedy="another backend server is tried",
            ) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(
                f"the model engine broke off: {type(error).__name__}",
                remedy="resume the stream, or send the prompt again",
                ran=Ran.UNKNOWN,
            ) from error

    async def cancel(self, stream_id):
        """Cancel a stream; see :meth:`EngineClient.cancel`."""
        await self._control("DELETE", f"/v1/streams/{stream_id}")

    async def load(self):
        """Read the load report.

        :return: an :class:`EngineLoad`.
        """
        answer = await self._control("GET", "/load")
        known = {
            key: answer[key] for key in EngineLoad.__annotations__ if key in answer
        }
        if "adapters" in known:
            known["adapters"] = tuple(known["adapters"])
        return EngineLoad(**known)

    async def cache_events(self, start):
        """Read the published cache events.

        :param start: first sequence number wanted.
        :return: the decoded answer with ``incarnation`` and ``events``.
        """
        return await self._control("GET", "/cache/events", params={"from": start})

    async def cache_listing(self):
        """List the cached pieces.

        :return: the decoded answer with ``incarnation``, ``seq`` and ``keys``.
        """
        return await self._control("GET", "/cache/listing")

    async def export_pieces(self, store, keys, salt):
        """Have the engine write pieces to a store.

        :param store: ``IP:PORT`` of the store.
        :param keys: piece keys.
        :param salt: cache salt of the client account.
        :return: tuple of :class:`PieceRead`, those written.
        """
        body = {"store": store, "keys": list(keys), "salt": salt}
        answer = await self._transfer("/cache/export", body)
        return tuple(_piece(item) for item in answer["written"])

    async def stage_pieces(self, store, keys):
        """Have the engine read pieces from a store without using them yet.

        :param store: ``IP:PORT`` of the store.
        :param keys: piece keys.
        :return: staging identifier and tuple of :class:`PieceRead`.
        """
        body = {"store": store, "keys": list(keys)}
        answer = await self._transfer("/cache/import", body)
        return answer["staging_id"], tuple(_piece(item) for item in answer["read"])

    async def attach_pieces(self, staging_id, keys, salt):
        """Have the engine use staged pieces.

        :param staging_id: what :meth:`stage_pieces` returned.
        :param keys: the keys whose bytes were verified.
        :param salt: cache salt of the client account.
        :return: the number of pieces attached.
        """
        body = {"staging_id": staging_id, "keys": list(keys), "salt": salt}
        return (await self._transfer("/cache/attach", body))["attached"]

    async def order(self, body, may_send=None, timeout=ORDER_TIMEOUT_SECONDS):
        """Send an order.

        :param body: the order as a dict with ``fencing`` and ``kind``.
        :param may_send: function without arguments that is asked once connected and
            right before the body leaves; without the body no order takes effect.
        :param timeout: longest wait for the answer, in seconds.
        :raises UnavailableError: if the engine refused it, or it was held back.
        :raises OutcomeUnknownError: if it may take effect.
        """
        url = f"http://{self.address}/orders"

        async def check(event, _):
            if event == BODY_EVENT and may_send is not None and not may_send():
                raise UnavailableError(
                    "the order was held back: its grant is about to end",
                    remedy="claim a slot again",
                )

        await call_json(
            self.client,
            "POST",
            url,
            json=body,
            timeout=timeout,
            extensions={"trace": check},
        )

    async def _control(self, method, path, **options):
        url = f"http://{self.address}{path}"
        timeout = CONTROL_TIMEOUT_SECONDS
        return await call_json(self.client, method, url, timeout=timeout, **options)

    async def _transfer(self, path, body):
        url = f"http://{self.address}{path}"
        timeout = TRANSFER_TIMEOUT_SECONDS
        return await call_json(self.client, "POST", url, json=body, timeout=timeout)


def _check_status(status):
    if status == 404:
        raise NotFoundError(
            "the model engine does not hold this version or stream",
            remedy="send the whole prompt again",
        )
    if status >= 400:
        raise UnavailableError(
            f"the model engine answered {status}",
            remedy="another backend server is tried",
            # The protocol of engines has no statement that a prompt was not run.
            ran=Ran.UNKNOWN,
        )


async def _frames(answer):
    try:
        async for frame in _read_frames(answer):
            yield frame
    except httpx.HTTPError as error:
        raise OutcomeUnknownError(
            f"the engine broke off its answer: {type(error).__name__}",
            remedy="resume the stream, or send the prompt again",
            ran=Ran.UNKNOWN,
        ) from error


async def _read_frames(answer):
    position = -1
    done = False
    async for line in answer.aiter_lines():
        if line.startswith("id:"):
            position = int(line[3:])
        elif line.startswith("data:"):
            data = line[5:].strip()
            if data == DONE_MARK:
                done = True
                break
            yield _decode_frame(data, position)
    if not done:
        raise OutcomeUnknownError(
            "the answer stream ended without its end mark",
            remedy="resume the stream, or send the prompt again",
            ran=Ran.UNKNOWN,
        )


def _decode_frame(data, position):
    try:
        chunk = json.loads(data)
        choice = chunk["choices"][0]
        usage = chunk.get("usage") or {}
        return EngineFrame(
            stream_id=chunk["id"],
            position=position,
            text=choice["delta"].get("content", ""),
            finish=choice.get("finish_reason") or "",
            prompt_tokens=usage.get("prompt_tokens", 0),
            cached_tokens=usage.get("cached_tokens", 0),
        )
    except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
        raise IntegrityError(
            "the engine sent a malformed frame",
            remedy="send the prompt again",
            ran=Ran.UNKNOWN,
        ) from error


def _piece(item):
    return PieceRead(
        key=item["key"],
        generation=item["generation"],
        incarnation=item["incarnation"],
        size=item["size"],
        sha256=item["sha256"],
    )
