"""Asks an entry where a request would go, and turns its answer into text."""

import json
from urllib.parse import urlencode

from wasabistage.exceptions import UnavailableError
from wasabistage.http1 import ChannelError, HttpClient
from wasabistage.operators._arguments import UsageError
from wasabistage.operators._report import INDENT, format_table
from wasabistage.timing import BootTimeTimerService

MAX_ANSWER_BYTES = 4 << 20
#: Columns of the table of candidates, where an answer has them.
COLUMNS = (
    "server",
    "failure_domain",
    "predicted",
    "backlog",
    "computed",
    "kept",
    "fetched",
    "runs",
    "slots",
    "open",
    "weight",
    "penalty",
    "version",
    "gate",
    "rule",
)


async def ask_explanation(address, fields, timeout):
    """Ask an entry where a request would go.

    :param address: ``IP:PORT`` of its metrics.
    :param fields: dict of field to value; empty ones are left out.
    :param timeout: seconds after which it is given up.
    :return: the explanation, a dict.
    :raises UsageError: if the address or a field is wrong.
    :raises UnavailableError: if the entry gives no answer.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise UsageError(
            f"{ascii(address[:64])} is no address", remedy="write it as IP:PORT"
        )
    client = HttpClient(address, BootTimeTimerService(), MAX_ANSWER_BYTES)
    text = urlencode({name: value for name, value in fields.items() if value})
    try:
        reply = await client.call(b"GET", b"/explain?" + text.encode(), timeout=timeout)
        found = json.loads(reply.body)
    except (ChannelError, ValueError, OSError) as error:
        raise UnavailableError(
            f"the entry at {address} gave no answer: {error}",
            remedy="check the address; the metrics port of an entry answers",
        ) from error
    if reply.status == 400:
        raise UsageError(
            found.get("error", "the entry refused the question"),
            remedy="see wasabistage explain --help",
        )
    return found


def format_explanation(found):
    """Describe an explanation.

    :param found: the answer of an entry, a dict.
    :return: text of several lines.
    """
    entry = found["entry"]
    ready = "ready" if entry["ready"] else "not ready"
    lines = [
        f"entry {entry['name']} in {entry['failure_domain']}, {ready}, "
        f"configuration {entry['configuration']}, waiting {entry['waiting']}"
    ]
    outcome = found["outcome"]
    if found.get("choice"):
        outcome += f", server {found['choice']}"
    if found.get("reason"):
        outcome += f": {found['reason']}"
    lines.append(f"outcome: {outcome}")
    if "route" in found:
        route, account = found["route"], found["account"]
        lines.append(
            f"route {route['name']} ({route['kind']}), service {found['service']}, "
            f"rank {account['rank']}, objective {route['objective']} s, "
            f"account {account['name'] or 'none'}"
        )
    for rule in found["rules"]:
        verdict = "passed" if rule["passed"] else f"failed: {rule['reason']}"
        lines.append(f"rule {rule['rule']}: {verdict}")
    if "gate" in found:
        gate = found["gate"]
        reason = f": {gate['reason']}" if gate["reason"] else ""
        lines.append(f"gate: {gate['verdict']}{reason}")
    if found.get("candidates"):
        lines += ["", "candidates:", *_format_candidates(found["candidates"])]
    if found.get("excluded"):
        rows = [["server", "rule", "reason"]]
        rows += [[item[name] for name in rows[0]] for item in found["excluded"]]
        lines += ["", "excluded:", *(INDENT + line for line in format_table(rows))]
        missing = found["excluded_count"] - len(found["excluded"])
        if missing:
            lines.append(f"{INDENT}and {missing} more")
    return "\n".join(lines)


def _format_candidates(candidates):
    names = [name for name in COLUMNS if any(name in row for row in candidates)]
    rows = [names]
    rows += [[str(row.get(name, "")) for name in names] for row in candidates]
    return [INDENT + line for line in format_table(rows)]
