"""Reads and checks any INI file of settings, for one kind of process."""

from wasabistage.declarations import Problem, read_ini, suggest, validate_section
from wasabistage.exceptions import SettingError

SHORTEST_PEER_KEY = 16  # characters


def read_settings(path, sections, build, relate):
    """Read and check a settings file.

    :param path: path of the INI file.
    :param sections: model class by header.
    :param build: makes the settings from every section's values.
    :param relate: yields the :class:`wasabistage.declarations.Problem` of keys that
        contradict each other, from the file's name and the settings.
    :return: a tuple of the settings, or ``None``, and the sorted list of every
        problem.
    """
    read, problems = read_ini(path)
    # A file that can't be read has one problem; missing sections would be noise.
    if not read:
        return None, problems
    values = {}
    found = {section.header: section for section in read}
    for header, section in found.items():
        if header not in sections:
            problems.append(_unknown(section, sections))
            continue
        model, faults = validate_section(section, sections[header])
        problems.extend(faults)
        values.update(model.model_dump() if model else {})
    problems.extend(_missing(str(path), found, sections))
    if problems:
        return None, sorted(problems)
    settings = build(**values)
    problems = sorted(relate(str(path), settings))
    return (None, problems) if problems else (settings, [])


def demand_good(settings, problems, remedy):
    """Return good settings.

    :param settings: the settings, or ``None``.
    :param problems: what was found wrong.
    :param remedy: what to do about it.
    :return: the settings.
    :raises wasabistage.exceptions.SettingError: if anything is wrong; the message
        names each fault as ``file:line: what; remedy``, a line each.
    """
    if problems:
        text = "\n".join(str(problem) for problem in problems)
        raise SettingError(text, remedy=remedy)
    return settings


def check_peer_key(file, key):
    """Check the length of a peer key.

    :param file: path of the file.
    :param key: the key.
    :return: iterator of :class:`wasabistage.declarations.Problem`.
    """
    if len(key) < SHORTEST_PEER_KEY:
        yield Problem(
            file=file,
            line=0,
            what="peer_key is too short",
            remedy=f"use {SHORTEST_PEER_KEY} random characters or more",
        )


def _unknown(section, sections):
    return Problem(
        file=section.file,
        line=section.line,
        what=f"unknown section [{ascii(section.header[:64])[1:-1]}]",
        remedy=suggest(section.header, sections),
    )


def _missing(file, found, sections):
    """Report required sections that are not there."""
    for header, model in sections.items():
        required = [
            key for key, field in model.model_fields.items() if field.is_required()
        ]
        if header not in found and required:
            yield Problem(
                file=file,
                line=0,
                what=f"section [{header}] is missing",
                remedy=f"add it with {', '.join(required)}",
            )
