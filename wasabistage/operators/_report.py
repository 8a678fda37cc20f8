"""Turns what operators ask for into text."""

from wasabistage.declarations import Accepted, Overtaken

INDENT = "  "
MILLISECONDS_PER_SECOND = 1000.0
NO_ANSWER = "no answer"
#: States of entries and backend servers that need no look.
CALM_STATES = ("serving",)


def format_table(rows):
    """Align the columns of a table.

    :param rows: lists of texts, the first holds the headings.
    :return: a list of lines.
    """
    widths = [max(len(row[place]) for row in rows) for place in range(len(rows[0]))]
    return [
        "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def format_status(addresses, told):
    """Describe the status of a deployment.

    :param addresses: peer addresses of the entries asked.
    :param told: ``StatusTold`` of each, or ``None`` where none came.
    :return: text of several lines.
    """
    pairs = list(zip(addresses, told, strict=True))
    lines = format_table(_entry_rows(pairs))
    answered = [status for status in told if status is not None]
    if any(status.servers for status in answered):
        lines += ["", *format_table(_server_rows(answered))]
    doubts = find_doubts(addresses, told)
    lines += ["", "doubts:" if doubts else "no doubts"]
    lines += [INDENT + doubt for doubt in doubts]
    return "\n".join(lines)


def _entry_rows(pairs):
    rows = [
        ["entry", "peer address", "domain", "phase", "version", "requests", "waiting"]
    ]
    for address, status in pairs:
        if status is None:
            rows.append(["?", address, "", NO_ANSWER, "", "", ""])
            continue
        version = f"{status.config_version}{'?' if status.config_doubtful else ''}"
        rows.append(
            [
                status.instance,
                address,
                status.failure_domain,
                status.phase,
                version,
                str(status.running),
                str(status.waiting),
            ]
        )
    return rows


def _server_rows(answered):
    """List each server with what each entry believes of it, agreeing ones once."""
    rows = [["backend server", "state", "running", "queued", "weight versions"]]
    names = sorted({item.server for status in answered for item in status.servers})
    for name in names:
        seen = [
            item
            for status in answered
            for item in status.servers
            if item.server == name
        ]
        # The reports of one moment differ between entries; the largest is shown.
        versions = {model: v for item in seen for model, v in item.versions.items()}
        text = ", ".join(f"{model}@{v}" for model, v in sorted(versions.items()))
        rows.append(
            [
                name,
                "/".join(sorted({item.state for item in seen})),
                str(max(item.running for item in seen)),
                str(max(item.queued for item in seen)),
                text or "-",
            ]
        )
    return rows


def find_doubts(addresses, told):
    """List what an operator should look at.

    :param addresses: peer addresses of the entries asked.
    :param told: ``StatusTold`` of each, or ``None`` where none came.
    :return: a list of sentences.
    """
    doubts = [
        f"the entry at {address} did not answer; check its process and its peer_key"
        for address, status in zip(addresses, told, strict=True)
        if status is None
    ]
    answered = [status for status in told if status is not None]
    newest = max((status.config_version for status in answered), default=0)
    for status in answered:
        doubts.extend(_doubts_of(status, newest))
    return doubts


def _doubts_of(status, newest):
    name = status.instance
    if status.config_version == 0:
        yield f"{name} has no configuration yet; publish one, or check the log"
    elif status.config_version < newest:
        yield f"{name} follows version {status.config_version}, others {newest}"
    if status.config_doubtful:
        yield f"{name} can't tell whether a newer version exists; check the log"
    for member in status.members:
        if member.state not in CALM_STATES:
            yield f"{name} sees entry {member.instance} as {member.state}"
    unknown = int(status.metrics.get("once.unknown", 0))
    if unknown:
        yield f"{name} has answered {unknown} non-idempotent calls as outcome unknown"


def format_trace(spans):
    """Describe the spans of a request as an indented tree.

    :param spans: list of :class:`wasabistage.observe.SpanRecord`, by start time.
    :return: text, one line a span: start since the first one, duration, name,
        instance and facts.
    """
    known = {span.span_id for span in spans}
    children = {}
    for span in spans:
        parent = span.parent_id if span.parent_id in known else ""
        children.setdefault(parent, []).append(span)
    begin = min(span.start for span in spans)
    lines = ["   start ms  duration ms"]
    for span, depth in _walk(children):
        start = (span.start - begin) * MILLISECONDS_PER_SECOND
        duration = span.seconds * MILLISECONDS_PER_SECOND
        facts = " ".join(f"{key}={value}" for key, value in span.attributes.items())
        text = f"{INDENT * depth}{span.name} [{span.instance}] {facts}".rstrip()
        lines.append(f"{start:>11.2f}  {duration:>11.2f}  {text}")
    return "\n".join(lines)


def _walk(children):
    """Yield spans with their depth, parents first."""
    waiting = [(span, 0) for span in reversed(children.get("", []))]
    while waiting:
        span, depth = waiting.pop()
        yield span, depth
        inner = children.get(span.span_id, [])
        waiting.extend((item, depth + 1) for item in reversed(inner))


def format_outcome(outcome, changes=()):
    """Describe the outcome of a publication.

    :param outcome: an ``Accepted``, ``Overtaken`` or ``NotAccepted`` of
        :mod:`wasabistage.declarations`.
    :param changes: what an accepted publication changed.
    :return: text of one or more lines.
    """
    if isinstance(outcome, Accepted) and outcome.unchanged:
        return f"accepted as version {outcome.version}; it is in force unchanged"
    if isinstance(outcome, Accepted):
        return _with_changes(f"accepted as version {outcome.version}", changes)
    if isinstance(outcome, Overtaken):
        head = f"overtaken by version {outcome.version}"
        remedy = "take its changes into your files and publish again"
        return _with_changes(f"{head}; {remedy}", outcome.changes)
    return f"not accepted: {outcome.reason}; {outcome.remedy}"


def _with_changes(head, changes):
    return "\n".join([head, *(f"{INDENT}{change}" for change in changes)])
