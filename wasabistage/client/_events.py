"""Reads the server-sent events of an answer."""

import json
from dataclasses import dataclass

from wasabistage.sessions import EndFrame, Frame


@dataclass(frozen=True, kw_only=True)
class AnswerEnd:
    """The end mark of an answer.

    :param frame: the :class:`wasabistage.sessions.EndFrame` to be checked.
    :param finish: reason of the end.
    :param prompt_tokens: tokens of the prompt.
    :param cached_tokens: prompt tokens that were not recomputed.
    """

    frame: EndFrame
    finish: str
    prompt_tokens: int
    cached_tokens: int


@dataclass(frozen=True, kw_only=True)
class AnswerError:
    """An error in place of the rest of an answer.

    :param kind: kind of the error.
    :param message: what is wrong.
    """

    kind: str
    message: str


async def read_events(response):
    """Decode the events of a response.

    :param response: an open streamed :class:`httpx.Response`.
    :return: asynchronous iterator of :class:`wasabistage.sessions.Frame`,
        :class:`AnswerEnd` and :class:`AnswerError`.
    """
    position = -1
    async for line in response.aiter_lines():
        if line.startswith("id: "):
            position = int(line[4:])
        elif line.startswith("data: {"):
            yield _decode(json.loads(line[6:]), position)


def _decode(data, position):
    if "error" in data:
        error = data["error"]
        return AnswerError(kind=error["kind"], message=error["message"])
    if "choices" in data:
        text = data["choices"][0]["delta"]["content"]
        return Frame(request_id=data["id"], position=position, data=text.encode())
    frame = EndFrame(
        request_id=data["id"], length=data["length"], digest=data["sha256"]
    )
    return AnswerEnd(
        frame=frame,
        finish=data["finish_reason"],
        prompt_tokens=data["prompt_tokens"],
        cached_tokens=data["cached_tokens"],
    )
