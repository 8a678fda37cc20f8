"""Validation of sections by pydantic models, and the reference made from them."""

from pydantic import BaseModel, ConfigDict, ValidationError
from pydantic_core import PydanticUndefined

from wasabistage.declarations._fields import Shape
from wasabistage.declarations._problem import Problem, ValueFault, suggest


class SectionModel(BaseModel):
    """Base of the models that a section of an INI file must match."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def shape_of(field):
    """Find how a field is written.

    :param field: pydantic's ``FieldInfo``.
    :return: its :class:`Shape`.
    """
    return next(item for item in field.metadata if isinstance(item, Shape))


def validate_section(section, model):
    """Validate one section.

    :param section: a located section.
    :param model: the :class:`SectionModel` class it must match.
    :return: a tuple of the model's instance, or ``None``, and the list of
        :class:`Problem`.
    """
    try:
        return model.model_validate(section.values), []
    except ValidationError as error:
        faults = error.errors(include_url=False, include_input=False)
        return None, [_problem(section, model, fault) for fault in faults]


def _problem(section, model, fault):
    """Translate one of pydantic's errors."""
    key = str(fault["loc"][0])
    known = model.model_fields
    line = section.lines.get(key, section.line)
    if fault["type"] == "extra_forbidden":
        what = f"unknown key {ascii(key[:64])} in [{section.header}]"
        remedy = suggest(key, known)
    elif fault["type"] == "missing":
        what = f"key {key!r} is missing in [{section.header}]"
        remedy = shape_of(known[key]).remedy
    else:
        cause = fault.get("ctx", {}).get("error")
        text = cause.what if isinstance(cause, ValueFault) else fault["msg"].lower()
        remedy = shape_of(known[key]).remedy
        remedy = cause.remedy if isinstance(cause, ValueFault) else remedy
        what = f"{key}: {text}"
    return Problem(file=section.file, line=line, what=what, remedy=remedy)


def describe_model(title, model):
    """Describe a section for the reference page.

    :param title: header of the section.
    :param model: its :class:`SectionModel` class.
    :return: a list of lines of Markdown.
    """
    lines = [f"## `[{title}]`", "", (model.__doc__ or "").strip(), ""]
    if not model.model_fields:
        return lines
    lines.append("| key | type | unit | default | meaning |")
    lines.append("|---|---|---|---|---|")
    for key, field in model.model_fields.items():
        shape = shape_of(field)
        default = _written(field.default)
        cells = (f"`{key}`", shape.name, shape.unit, default, field.description)
        lines.append("| " + " | ".join(cell or "" for cell in cells) + " |")
    lines.append("")
    return lines


def _written(default):
    """Show a default as an operator would write it."""
    if default is PydanticUndefined:
        return "required"
    if isinstance(default, bool):
        return "yes" if default else "no"
    if isinstance(default, tuple):
        return ", ".join(default) or "none"
    if isinstance(default, float):
        return f"{default:g}"
    name = getattr(default, "name", None)
    return (name.lower() if name else str(default)) or "none"
