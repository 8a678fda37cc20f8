"""Builds the HTTP responses of streams, whole answers and library errors."""

import json

from quart import make_response
from werkzeug.exceptions import RequestEntityTooLarge

from wasabistage.exceptions import (
    BadRequestError,
    DeadlineError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadError,
    TooLargeError,
    UnavailableError,
)


async def stream_response(events, request_id, stream_id):
    """Build the response of a stream.

    :param events: asynchronous iterator of bytes.
    :param request_id: identifier of the request.
    :param stream_id: identifier of the stream.
    :return: the response.
    """
    response = await make_response(events)
    response.content_type = "text/event-stream"
    response.headers["X-Request-Id"] = request_id
    response.headers["X-Stream-Id"] = stream_id
    response.headers["Cache-Control"] = "no-store"
    response.timeout = None
    return response


async def answer_whole(events, request_id, stream_id):
    """Collect a stream into one JSON answer.

    :param events: asynchronous iterator of bytes.
    :param request_id: identifier of the request.
    :param stream_id: identifier of the stream.
    :return: the response.
    :raises OutcomeUnknownError: if the answer could not be finished.
    """
    parts, end, model = [], None, ""
    async for event in events:
        for line in event.decode().split("\n"):
            if not line.startswith("data: {"):
                continue
            data = json.loads(line[len("data: ") :])
            if "choices" in data:
                model = data["model"]
                parts.append(data["choices"][0]["delta"]["content"])
            elif "error" in data:
                raise OutcomeUnknownError(
                    data["error"]["message"],
                    remedy="send the prompt again",
                    ran="unknown",
                )
            else:
                end = data
    message = {"role": "assistant", "content": "".join(parts)}
    reason = end["finish_reason"]
    computed = {"prompt_tokens": end["prompt_tokens"], "completion_tokens": len(parts)}
    body = {
        "id": stream_id,
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": reason}],
        "usage": computed,
        "sha256": end["sha256"],
    }
    return body, 200, {"X-Request-Id": request_id, "X-Stream-Id": stream_id}


def translate_http_error(error):
    """Turn an error of the HTTP library into a typed one.

    :param error: a :class:`werkzeug.exceptions.HTTPException`.
    :return: a :class:`WasabistageError`.
    """
    if isinstance(error, RequestEntityTooLarge):
        return TooLargeError(
            "the body exceeds the bound", remedy="send a shorter request"
        )
    if error.code in (404, 405):
        return NotFoundError(
            "no such path or method", remedy="see the caller's guide for the paths"
        )
    if error.code == 408:
        return DeadlineError(
            "the body did not arrive in time", remedy="send it faster or shorter"
        )
    if error.code == 429:
        return OverloadError("too many requests", remedy="retry later", retry_after=1)
    if error.code == 503:
        return UnavailableError("not ready", remedy="retry later", retry_after=1)
    return BadRequestError(
        "the request is malformed", remedy="see the caller's guide for its form"
    )
