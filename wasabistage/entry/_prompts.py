"""A chat completion under way, and what its prompt needs from the cache."""

from dataclasses import dataclass, field

from wasabistage.cache import (
    BYTES_PER_TOKEN,
    piece_keys,
)
from wasabistage.entry._cache import text_piece_bytes
from wasabistage.entry._cache_messages import (
    Prompt,
)
from wasabistage.entry._relay import EngineStream
from wasabistage.exceptions import (
    TooLargeError,
    UnavailableError,
)


@dataclass(frozen=True, kw_only=True)
class Completion:
    """One chat completion under way.

    :param request_id: identifier of the request.
    :param account: the client account.
    :param resolved: the declared call.
    :param body: the checked body.
    :param parent: trace context of the caller.
    """

    request_id: str
    account: object
    resolved: object
    body: object
    parent: object = None


@dataclass
class Served:
    """An answer that is being relayed.

    :ivar completion: the :class:`Completion`.
    :ivar prompt: the :class:`wasabistage.entry._cache.Prompt`.
    :ivar stream: the :class:`wasabistage.entry._relay.EngineStream`.
    :ivar slot: the admission slot.
    :ivar attempt: identifier of the attempt.
    :ivar expected: pieces that routing expected to be reused.
    :ivar pace: first-token time as a multiple of the predicted one.
    """

    completion: Completion
    prompt: Prompt
    stream: EngineStream
    slot: object = None
    attempt: str = ""
    expected: int = 0
    pace: float = 1.0
    settled: bool = field(default=False)


def prompt_text(messages):
    """Join chat messages into the text whose pieces are named.

    :param messages: the checked messages.
    :return: bytes.
    """
    return "".join(f"{item.role}\n{item.content}\n" for item in messages).encode()


def describe_prompt(completion):
    """Compute what the cache needs to know of a prompt.

    :param completion: a :class:`Completion`.
    :return: a :class:`wasabistage.entry._cache.Prompt`.
    :raises UnavailableError: if the service's model is not declared.
    :raises TooLargeError: if the prompt exceeds the model's context.
    """
    resolved, body = completion.resolved, completion.body
    model = resolved.model
    if model is None:
        raise UnavailableError(
            f"service {resolved.service.name} has no declared model",
            remedy="declare its model and publish",
        )
    text = prompt_text(body.messages)
    tokens = -(-len(text) // BYTES_PER_TOKEN)
    if tokens + body.max_tokens > model.context_tokens:
        raise TooLargeError(
            f"the prompt and its answer exceed {model.context_tokens} tokens",
            remedy="shorten the conversation or lower max_tokens",
        )
    account = completion.account.name
    return Prompt(
        account=account,
        model=model,
        session=body.session or "",
        keys=piece_keys(
            account, model.name, model.version, text, text_piece_bytes(model)
        ),
        tokens=tokens,
        rank=resolved.call.rank,
    )


def expected_work(prompt, found):
    """Estimate the prompt tokens that an engine will have to compute.

    A client account is charged for this, so that a long history that returns costs
    it what it costs the engines.

    :param prompt: a :class:`wasabistage.entry._cache_messages.Prompt`.
    :param found: the :class:`wasabistage.entry._cache_messages.FoundPieces`.
    :return: tokens, 1 or more.
    """
    places = found.held + found.stored
    pieces = max((place.pieces * place.trust for place in places), default=0.0)
    reused = int(pieces * prompt.model.piece_tokens)
    return max(1, prompt.tokens - reused)
