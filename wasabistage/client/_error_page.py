"""The reference page of the errors, generated from their classes."""

import inspect

from wasabistage import exceptions
from wasabistage.exceptions import WasabistageError

#: What the one who gets an error does, by its kind.
ADVICE = {
    "bad_declaration": "operator: mend the named lines",
    "bad_request": "mend the request; the same one fails again",
    "bad_setting": "operator: mend the named lines, or the command",
    "conflict": "use a fresh key for another call",
    "deadline": "retry after `Retry-After`; a non-idempotent call with the same key",
    "expired_key": "if `ran` is `no`, send it again under a fresh key",
    "integrity": "send the prompt again",
    "internal": "retry an idempotent call; report the `X-Request-Id`",
    "not_found": "mend the name; of a stream: send the whole prompt again",
    "outcome_unknown": "ask again with the same key and body, never with another key",
    "overload": "wait for `Retry-After`, then the next entry",
    "overtaken": "operator: take the other version's changes in, publish again",
    "too_large": "send less",
    "unauthorized": "mend the bearer key; the request reached nothing",
    "unavailable": "try the next entry after `Retry-After`",
}

#: Meanings of kinds whose class says something else in its first line.
MEANING = {"internal": "A fault of the system."}


def describe_errors():
    """Generate the reference page of the errors.

    :return: Markdown.
    """
    lines = [
        "# Errors",
        "",
        "Callers get an error as JSON, with the HTTP status below:",
        "",
        "```json",
        '{"error": {"kind": "overload", "message": "what is wrong",',
        '           "remedy": "what to do about it", "ran": "no"}}',
        "```",
        "",
        "`ran` is a promise: `no` means that the request was not run and, for a key of",
        "a non-idempotent call, that this key never will be; `unknown` means that it",
        "may have run. `Retry-After` (seconds) stands where waiting helps, and",
        "`X-Request-Id` names the request for `wasabistage trace`. Within a stream the",
        "same object comes as an event named `error`. Operators read `kind: message;",
        "remedy` on standard error; a wrong command line has the kind `usage`.",
        "",
        "This page is generated; `python -m wasabistage.client` prints it.",
        "",
        "| kind | HTTP status | meaning | what to do |",
        "|---|---|---|---|",
    ]
    for error in sorted(list_errors(), key=lambda item: item.kind):
        # Operators' errors have no HTTP status.
        status = "" if ADVICE[error.kind].startswith("operator") else error.status
        meaning = MEANING.get(error.kind) or inspect.getdoc(error).splitlines()[0]
        lines.append(
            f"| `{error.kind}` | {status} | {meaning} | {ADVICE[error.kind]} |"
        )
    return "\n".join(lines) + "\n"


def list_errors():
    """List the classes of errors.

    :return: list of subclasses of :class:`WasabistageError`, itself included.
    """
    members = vars(exceptions).values()
    return [
        item
        for item in members
        if inspect.isclass(item) and issubclass(item, WasabistageError)
    ]
