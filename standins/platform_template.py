"""Two renderers of a settings template: of an older platform and of the present one."""

import json
import re

PLAIN = re.compile(r"\{\{([\w.]+)\}\}")
SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.@]+)(\|json)?\}\}")
#: Fields that every platform has had.
FIRST_FIELDS = {
    "nodeName": "edge-a-1",
    "zone": "a",
    "ip": "127.0.0.1",
    "listen": {
        "front": "127.0.0.1:8580",
        "ready": "127.0.0.1:8586",
        "control": "127.0.0.1:8582",
        "directory": "127.0.0.1:8584",
    },
    "portRange": [7260, 7275],
    "platform": {"address": "127.0.0.1:8587"},
    "beatIntervalMs": 1200,
    "seeds": ["127.0.0.1:8582", "127.0.0.2:8582"],
    "bounds": {
        "revokeMs": 5000,
        "configMs": 2000,
        "budgetRatio": 0.2,
        "budgetExtra": 54,
        "budgetWindowS": 10,
        "leaseMs": 3000,
        "graceS": 8,
        "ttl_max_s": 5,
    },
}


class MissingFieldError(Exception):
    """The template has a plain placeholder for a field that the platform doesn't know.

    The remedy is to write it in a form that older platforms leave as it is.
    """


def render_plain(template, fields):
    """Fill in plain placeholders and leave all others, as the first platform did.

    :param template: text of the template.
    :param fields: dict of name to value.
    :raises MissingFieldError: if a field is missing.
    """

    def replace(match):
        value = find_field(match[1], fields)
        if value is None:
            raise MissingFieldError(f"no field {match[1]} for {match[0]}")
        return format_field(value)

    return PLAIN.sub(replace, template)


def render_template(template, fields):
    """Fill in all forms of placeholders; a missing field gives nothing.

    :param template: text of the template.
    :param fields: dict of name to value.
    """

    def replace_section(match):
        value = find_field(match[2], fields)
        if match[1] == "^":
            return "" if value else render_template(match[3], fields)
        if not value:
            return ""
        if value is True:
            return render_template(match[3], fields)
        rows = value.items() if isinstance(value, dict) else enumerate(value)
        return "".join(
            render_template(match[3], {**fields, "@": key, ".": item})
            for key, item in rows
        )

    def replace(match):
        value = find_field(match[1], fields)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else format_field(value)

    return PLACEHOLDER.sub(replace, SECTION.sub(replace_section, template))


def find_field(path, fields):
    """Return the value of a field, ``None`` if there is none.

    :param path: names and indexes, separated by dots.
    :param fields: dict of name to value.
    """
    if path in fields:
        return fields[path]
    value = fields
    for name in path.split("."):
        try:
            value = value[int(name) if isinstance(value, list) else name]
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return value


def format_field(value):
    """Return a value as a plain placeholder gives it."""
    if isinstance(value, list):
        return ",".join(map(str, value))
    if isinstance(value, bool | dict):
        return json.dumps(value)
    return str(value)
