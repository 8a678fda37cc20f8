"""Validated models of what callers send."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wasabistage.exceptions import BadRequestError

LONGEST_SESSION_NAME = 200
MOST_MESSAGES = 4096
MOST_TOKENS = 32_768


class ChatMessage(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="forbid")

    role: Literal["system", "user", "assistant"]
    content: str


class CompletionBody(BaseModel):
    """Body of ``POST /v1/chat/completions``."""

    model_config = ConfigDict(extra="forbid")

    model: Annotated[str, Field(min_length=1, max_length=200)]
    messages: Annotated[
        list[ChatMessage], Field(min_length=1, max_length=MOST_MESSAGES)
    ]
    stream: bool = False
    max_tokens: Annotated[int, Field(ge=1, le=MOST_TOKENS)] = 256
    temperature: Annotated[float, Field(ge=0, le=2)] | None = None
    top_p: Annotated[float, Field(gt=0, le=1)] | None = None
    seed: int | None = None
    stop: list[str] | str | None = None
    session: Annotated[str, Field(max_length=LONGEST_SESSION_NAME)] | None = None
    call: Annotated[str, Field(max_length=200)] | None = None


def parse_body(model, data):
    """Check a JSON body.

    :param model: a pydantic model class.
    :param data: the body, bytes.
    :return: an instance of the model.
    :raises BadRequestError: naming each field that is wrong, without its value.
    """
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(str(part) for part in item['loc']) or 'body'}: {item['msg']}"
            for item in error.errors(include_input=False, include_url=False)[:5]
        )
        raise BadRequestError(
            f"the body is not valid: {faults}",
            remedy="send the JSON that the caller's guide describes",
        ) from None
