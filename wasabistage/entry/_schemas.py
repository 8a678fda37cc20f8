"""Validated models of what callers send."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wasabistage.declarations import suggest
from wasabistage.exceptions import BadRequestError

LONGEST_SESSION_NAME = 200
MOST_MESSAGES = 4096
MOST_TOKENS = 32_768
MOST_TICKETS = 16
MOST_FAULTS = 5
LONGEST_FAULT = 500  # characters


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


class EntriesQuery(BaseModel):
    """Query of ``GET /v1/entries``."""

    model_config = ConfigDict(extra="forbid")

    session: Annotated[str, Field(max_length=LONGEST_SESSION_NAME)] | None = None
    tickets: Annotated[int, Field(ge=0, le=MOST_TICKETS)] = 0
    failure_domain: Annotated[str, Field(max_length=64)] | None = None


class ResumeQuery(BaseModel):
    """Query of ``GET /v1/streams/STREAM_ID``."""

    model_config = ConfigDict(extra="forbid")

    position: Annotated[int, Field(ge=0, le=MOST_TOKENS)] = 0
    digest: Annotated[str, Field(max_length=64)] | None = None


def parse_query(model, args):
    """Check the query of a request.

    :param model: a pydantic model class.
    :param args: the query's arguments.
    :return: an instance of the model.
    :raises BadRequestError: naming each argument that is wrong, without its value.
    """
    try:
        return model.model_validate(dict(args))
    except ValidationError as error:
        raise _bad_request("query", model, error) from None


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
        raise _bad_request("body", model, error) from None


def _bad_request(part, model, error):
    details = error.errors(include_input=False, include_url=False)[:MOST_FAULTS]
    faults = "; ".join(_describe(part, model, item) for item in details)
    return BadRequestError(
        f"the {part} is not valid: {ascii(faults)[1:-1][:LONGEST_FAULT]}",
        remedy="send the form that the caller's guide describes",
    )


def _describe(part, model, item):
    """Describe one fault; the name of an unknown field is not repeated."""
    place, what = [str(step) for step in item["loc"]], item["msg"]
    if item["type"] == "extra_forbidden":
        name, known = place.pop(), model.model_fields
        hint = f"; {suggest(name, known)}" if not place else ""
        what = f"an unknown field{hint}"
    return f"{'.'.join(place) or part}: {what}"
