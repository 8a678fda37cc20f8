"""The server-sent events that callers receive."""

import json

END_EVENT = "end"
ERROR_EVENT = "error"
DONE = b"data: [DONE]\n\n"


def format_token(stream_id, service, position, text):
    """Build the event of one token.

    :param stream_id: identifier of the stream.
    :param service: name of the service; empty after a resume.
    :param position: number of the token in the answer.
    :param text: its text.
    :return: bytes.
    """
    chunk = {
        "id": stream_id,
        "object": "chat.completion.chunk",
        "model": service,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": None}],
    }
    return f"id: {position}\ndata: {json.dumps(chunk)}\n\n".encode()


def format_end(stream_id, last, digest):
    """Build the events that end a whole answer.

    :param stream_id: identifier of the stream.
    :param last: the engine's last :class:`wasabistage.reference.EngineFrame`.
    :param digest: hex digest of the whole answer.
    :return: bytes.
    """
    end = {
        "id": stream_id,
        "finish_reason": last.finish,
        "length": last.position,
        "sha256": digest,
        "prompt_tokens": last.prompt_tokens,
        "cached_tokens": last.cached_tokens,
    }
    head = f"event: {END_EVENT}\nid: {last.position}\n"
    return head.encode() + f"data: {json.dumps(end)}\n\n".encode() + DONE


def format_error(error, position):
    """Build the event that ends an answer that could not be finished.

    :param error: a :class:`wasabistage.exceptions.WasabistageError`.
    :param position: number of the next token that would have come.
    :return: bytes.
    """
    body = json.dumps({"error": error_body(error)})
    return f"event: {ERROR_EVENT}\nid: {position}\ndata: {body}\n\n".encode()


def error_body(error):
    """Describe an error to a caller.

    :param error: a :class:`wasabistage.exceptions.WasabistageError`.
    :return: a dict with ``kind``, ``message``, ``remedy`` and ``ran``.
    """
    return {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
        "ran": str(error.ran),
    }
