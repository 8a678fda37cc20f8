"""Callers' requests, requests to servers, and servers' responses."""

from wasabistage.edge import (
    BadRequestError,
    CallerRequest,
    Prompt,
    PromptPart,
    ResponseMetadata,
    ServerLoad,
)
from wasabistage.platform import _headers as names

MAX_PARTS = 64  # parts of a prompt; a prompt of the sheets has three
BEARER = b"bearer "
MILLISECONDS_PER_SECOND = 1000.0
NO_ADDRESS = b"-"
EVENT_STREAM = b"text/event-stream"

MAX_LOAD_NUMBERS = 4  # further numbers in the header of a server's load are ignored
MAX_COUNT_DIGITS = 9  # of a number in a header
MAX_RETRY_AFTER_SECONDS = 3600.0  # a longer pause that a server asks for is cut
USUAL_PACE_PERCENT = 100.0
#: Statuses that tell callers that a request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def decode_request(request):
    """Decode a caller's request.

    :param request: a :class:`wasabistage.http1.Request`.
    :return: a :class:`wasabistage.edge.CallerRequest`.
    :raises BadRequestError: if it can't be passed on.
    """
    fields = collect_fields(request.headers)
    target = request.target
    if not target.startswith(b"/"):
        raise BadRequestError(400, "the target is not a path")
    if b"transfer-encoding" in fields and b"content-length" in fields:
        raise BadRequestError(400, "two framings of one body")
    request_id = fields.get(names.REQUEST_ID, b"")
    if not request_id:
        raise BadRequestError(400, "the request has no id")
    return CallerRequest(
        request_id=request_id.decode("latin-1"),
        method=request.method,
        target=target,
        host=decode_host(fields.get(b"host", b"")),
        path=target.partition(b"?")[0],
        key=decode_key(fields.get(names.AUTHORIZATION, b"")),
        patience=decode_patience(fields.get(names.TIME_LEFT)),
        last_event=fields.get(names.LAST_EVENT, b"").decode("latin-1"),
        prompt=decode_prompt(fields),
        headers=tuple(passed_on(request.headers, fields)),
        body=request.body,
        begun_at=request.begun_at,
    )


def collect_fields(headers):
    """Return a dict of lower-case name to value.

    :param headers: (name, value) pairs of bytes.
    :raises BadRequestError: if a header that is read here comes twice.
    """
    fields = {}
    for name, value in headers:
        lowered = name.lower()
        if lowered in fields and (
            lowered.startswith(names.SYSTEM_PREFIX)
            or lowered in (b"host", names.AUTHORIZATION, names.LAST_EVENT)
        ):
            raise BadRequestError(400, "a header comes twice")
        fields[lowered] = value
    return fields


def decode_host(value):
    """Return a host name without its port, lower case."""
    return value.decode("latin-1").partition(":")[0].lower()


def decode_key(value):
    """Return the bearer key of an authorization header, or ``""``."""
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return value[len(BEARER) :].strip().decode("latin-1")


def decode_patience(value):
    """Return the seconds that a caller waits, or ``None`` if it does not say."""
    if value is None:
        return None
    try:
        return max(0.0, float(value) / MILLISECONDS_PER_SECOND)
    except ValueError as error:
        raise BadRequestError(400, "the waiting time is not a number") from error


def decode_prompt(fields):
    """Return the :class:`wasabistage.edge.Prompt` of a request, or ``None``."""
    if names.MODEL not in fields:
        return None
    prompt_tokens, _, output_tokens = fields.get(names.TOKENS, b"0").partition(b",")
    try:
        return Prompt(
            model=fields[names.MODEL].decode("latin-1"),
            prompt_tokens=decode_count(prompt_tokens or b"0"),
            output_tokens=decode_count(output_tokens or b"0"),
            parts=decode_parts(fields.get(names.PARTS, b"")),
        )
    except ValueError as error:
        raise BadRequestError(400, "the size of the prompt is not a number") from error


def decode_parts(value):
    """Return the parts of a prompt, a tuple of :class:`wasabistage.edge.PromptPart`."""
    if not value:
        return ()
    rows = value.split(b",")[:MAX_PARTS]
    pairs = [row.strip().partition(b":") for row in rows]
    return tuple(
        PromptPart(part=part.decode("latin-1"), tokens=decode_count(tokens))
        for part, _, tokens in pairs
    )


def decode_count(value):
    """Return a number of tokens.

    :param value: bytes.
    :raises ValueError: if it is not a whole number of a few digits.
    """
    value = value.strip()
    if not is_count(value):
        raise ValueError(f"{value[:MAX_COUNT_DIGITS]!r} is not a number of tokens")
    return int(value)


def passed_on(headers, fields):
    """Yield the headers of a request that go on to a server as they came."""
    dropped = connection_names(fields)
    for name, value in headers:
        lowered = name.lower()
        if lowered in names.ONE_CHANNEL or lowered in dropped:
            continue
        if lowered in (names.LAST_EVENT, names.CONTINUE_FROM):
            continue
        if lowered.startswith(names.SYSTEM_PREFIX):
            if lowered in names.FROM_CALLER:
                yield name, value
            continue
        yield name, value


def connection_names(fields):
    """Return the lower-case names that a connection header lists."""
    value = fields.get(b"connection", b"")
    return {part.strip().lower() for part in value.split(b",") if part.strip()}


def encode_request_headers(request, dispatch):
    """Return the headers of a request to a server.

    :param request: a :class:`wasabistage.edge.CallerRequest`.
    :param dispatch: a :class:`wasabistage.edge.Dispatch`.
    :return: list of (name, value) pairs of bytes.
    """
    headers = [(b"Host", request.host.encode("latin-1"))]
    headers += [
        (name, value)
        for name, value in request.headers
        if dispatch.forwards_key or name.lower() != names.AUTHORIZATION
    ]
    last_event = dispatch.last_event or request.last_event
    time_left = max(1, int(dispatch.time_left * MILLISECONDS_PER_SECOND))
    optional = (
        (names.TIME_LEFT, b"%d" % time_left),
        (names.EXPECT_SERVER, dispatch.server.encode("latin-1")),
        (names.ACCOUNT, dispatch.account.encode("latin-1")),
        (names.LAST_EVENT, last_event.encode("latin-1")),
        (names.CACHE_KEY, dispatch.cache_key.encode("latin-1")),
        (names.EXPECT_VERSION, encode_number(dispatch.weight_version)),
        (names.URGENCY, encode_number(dispatch.urgency)),
        (names.FETCH_FROM, encode_addresses(dispatch.fetch_from)),
        (names.SAVE_TO, encode_addresses(dispatch.save_to)),
    )
    headers += [(name, value) for name, value in optional if value]
    if dispatch.fetch_until is not None and any(dispatch.fetch_from):
        until = b"%d" % int(dispatch.fetch_until * MILLISECONDS_PER_SECOND)
        headers.append((names.FETCH_UNTIL, until))
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return headers


def encode_number(value):
    """Return a number's digits, empty for ``None``."""
    return b"" if value is None else b"%d" % value


def encode_addresses(addresses):
    """Return one address for each part of a prompt; empty if there is none."""
    if not any(addresses):
        return b""
    return b",".join(item.encode("latin-1") or NO_ADDRESS for item in addresses)


def decode_response(head):
    """Decode the headers of a server's response.

    :param head: a :class:`wasabistage.http1.ResponseHead`.
    :return: a :class:`wasabistage.edge.ResponseMetadata`.
    """
    fields = head.fields
    version = fields.get(names.WEIGHT_VERSION, b"")
    return ResponseMetadata(
        request_id=fields.get(names.REQUEST_ID, b"").decode("latin-1"),
        is_not_run=names.NOT_RUN in fields or head.status == 421,
        promises_not_run=head.status in NOT_RUN_STATUSES,
        is_verified_success=names.SEAL in fields and b"content-encoding" not in fields,
        is_event_stream=decode_is_event_stream(fields.get(b"content-type")),
        closes_channel=b"close" in connection_names(fields),
        is_leaving=fields.get(names.SERVER_LEAVING, b"").strip() == b"1",
        weight_version=int(version) if is_count(version) else None,
        load=decode_load(fields.get(names.LOAD, b"")),
        retry_after=decode_seconds(fields.get(names.RETRY_AFTER, b"")),
        server=fields.get(names.SERVER, b"").decode("latin-1"),
        cold_left=decode_cold_time(fields.get(names.COLD)),
    )


def decode_cold_time(value):
    """Return the seconds for which a server stays cold, ``None`` for what is no time.

    :param value: bytes, or ``None`` without the header.
    """
    try:
        milliseconds = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return milliseconds / MILLISECONDS_PER_SECOND if milliseconds >= 0.0 else None


def decode_is_event_stream(value):
    """Return whether a content type is that of a stream, ``None`` without a type."""
    if value is None:
        return None
    return value.partition(b";")[0].strip().lower() == EVENT_STREAM


def decode_load(value):
    """Return a :class:`wasabistage.edge.ServerLoad`, or ``None``.

    :param value: numbers separated by commas: running, waiting and slots, and where
        servers share their machines with others, the duration of work in percent of
        the usual one. A fourth number that can't be used is ignored.
    """
    numbers = [item.strip() for item in value.split(b",", MAX_LOAD_NUMBERS)]
    if len(numbers) < 3 or not all(is_count(item) for item in numbers[:3]):
        return None
    running, waiting, slots = (int(item) for item in numbers[:3])
    pace = None
    if len(numbers) > 3 and is_count(numbers[3]) and int(numbers[3]) > 0:
        pace = int(numbers[3]) / USUAL_PACE_PERCENT
    return ServerLoad(running=running, waiting=waiting, slots=slots, pace=pace)


def is_count(text):
    """Return whether bytes are a whole number of at most ``MAX_COUNT_DIGITS``."""
    return len(text) <= MAX_COUNT_DIGITS and text.isdigit()


def decode_seconds(value):
    """Return the seconds after which to retry, or ``None`` for what is no time."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not seconds >= 0.0:
        return None
    return min(seconds, MAX_RETRY_AFTER_SECONDS)


def encode_response_headers(head):
    """Return the headers of a response that go on to the caller.

    :param head: a :class:`wasabistage.http1.ResponseHead`.
    :return: list of (name, value) pairs of bytes without framing.
    """
    dropped = names.ONE_CHANNEL | connection_names(head.fields) | names.INTERNAL_ANSWER
    return [
        (name, value) for name, value in head.headers if name.lower() not in dropped
    ]


def encode_error_headers(request_id, retry_after):
    """Return the headers of a response that the process makes itself.

    :param request_id: id of the request, or ``""``.
    :param retry_after: seconds after which to try again, or ``None``.
    :return: list of (name, value) pairs of bytes without framing.
    """
    headers = []
    if request_id:
        headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
    if retry_after is not None:
        headers.append((names.RETRY_AFTER, b"%.2f" % retry_after))
    return headers
