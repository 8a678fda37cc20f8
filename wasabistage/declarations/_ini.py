"""INI text to sections and keys that know their line.

The standard library's ``configparser`` does the reading; its public hooks
``SECTCRE`` and ``optionxform`` tell where each section and key stood.
"""

import configparser
import re
from dataclasses import dataclass, field
from pathlib import Path

from wasabistage.declarations._problem import Problem, shorten

MAX_FILE_BYTES = 256 * 1024
_PRELUDE = "\0prelude"
_HEADER = re.compile(r"\[(?P<header>[^\[\]]+)\]\s*$")


@dataclass(frozen=True, kw_only=True)
class Section:
    """One section of an INI file.

    :param file: path of the file, as shown to the operator.
    :param line: line of the header, from 1.
    :param kind: first word of the header.
    :param name: rest of the header; empty when there is none.
    :param values: value by key.
    :param lines: line number by key.
    """

    file: str
    line: int
    kind: str
    name: str = ""
    values: dict[str, str] = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=dict)

    @property
    def header(self):
        """Return the header as written, without brackets."""
        return f"{self.kind} {self.name}" if self.name else self.kind


class _HeaderPattern:
    """Stand in for the header's pattern and report each match."""

    def __init__(self, on_header):
        self.on_header = on_header

    def match(self, text):
        found = _HEADER.match(text)
        if found:
            self.on_header(found.group("header"))
        return found


class _LocatingParser(configparser.RawConfigParser):
    """Parser that notes the line of each header and key."""

    def __init__(self):
        super().__init__(
            strict=False,
            delimiters=("=",),
            default_section="\0default",
            empty_lines_in_values=False,
        )
        self.headers = []
        self.keys = []
        self.line = 0
        self.SECTCRE = _HeaderPattern(self._note_header)

    def _note_header(self, header):
        self.headers.append((header, self.line))

    def optionxform(self, optionstr):
        self.keys.append((self.headers[-1][0], optionstr, self.line))
        return optionstr

    def locate(self, text):
        # The prelude takes what stands before the first header, so that the
        # parser goes on to the end of the file and every fault is found.
        def lines():
            yield f"[{_PRELUDE}]\n"
            for number, line in enumerate(text.split("\n"), start=1):
                self.line = number
                yield line + "\n"

        self.read_file(lines())


def parse_ini(text, file):
    """Parse the text of one INI file.

    :param text: the text.
    :param file: its path, for messages.
    :return: a tuple of the list of :class:`Section` and the list of
        :class:`Problem`.
    """
    parser = _LocatingParser()
    problems = []
    try:
        parser.locate(text)
    except configparser.ParsingError as error:
        for line, _ in error.errors:
            problems.append(
                Problem(
                    file=file,
                    # The prelude's header is the parser's first line.
                    line=line - 1,
                    what="line is neither a section, a key nor a comment",
                    remedy="write '[section]', 'key = value' or '# comment'",
                )
            )
    sections = _collect(parser, file, problems)
    return sections, problems


def _collect(parser, file, problems):
    """Build sections from what the parser noted."""
    # Keys are noted during reading only: later look-ups call the hook as well.
    keys = list(parser.keys)
    sections = {}
    for header, line in parser.headers[1:]:
        if header in sections:
            problems.append(_duplicate(file, line, f"section {shorten(header)}"))
            continue
        kind, _, name = header.strip().partition(" ")
        sections[header] = Section(
            file=file, line=line, kind=kind, name=" ".join(name.split())
        )
    for header, key, line in keys:
        if header == _PRELUDE:
            problems.append(
                Problem(
                    file=file,
                    line=line,
                    what=f"key {shorten(key)} stands before the first section",
                    remedy="move it below a '[section]' line",
                )
            )
            continue
        _add_key(parser, sections[header], header, key, line, problems)
    return list(sections.values())


def _add_key(parser, section, header, key, line, problems):
    if key in section.values:
        problems.append(_duplicate(section.file, line, f"key {shorten(key)}"))
        return
    value = parser.get(header, key, fallback=None)
    # A line without '=' is reported by the parser and has no value.
    if value is None:
        return
    section.values[key] = value
    section.lines[key] = line


def _duplicate(file, line, what):
    return Problem(
        file=file,
        line=line,
        what=f"{what} stands twice",
        remedy="keep one of them",
    )


def read_ini(path, file=None, max_bytes=MAX_FILE_BYTES):
    """Read one INI file.

    :param path: path of the file.
    :param file: path for messages; ``None`` for ``path``.
    :param max_bytes: largest file, in bytes.
    :return: a tuple of the list of :class:`Section` and the list of
        :class:`Problem`; it raises nothing for any content.
    """
    file = str(path) if file is None else file
    text, problem = _read_text(Path(path), file, max_bytes)
    if problem:
        return [], [problem]
    sections, problems = parse_ini(text, file)
    if not sections and not problems:
        problems.append(
            Problem(
                file=file,
                line=1,
                what="file is empty",
                remedy="write at least one section, or remove the file",
            )
        )
    return sections, problems


def _read_text(path, file, max_bytes):
    """Read a bounded UTF-8 file."""
    try:
        with path.open("rb") as stream:
            data = stream.read(max_bytes + 1)
    except OSError as error:
        reason = error.strerror or type(error).__name__
        return None, Problem(
            file=file,
            line=0,
            what=f"file can't be read: {reason}",
            remedy="check its path and permissions",
        )
    if len(data) > max_bytes:
        return None, Problem(
            file=file,
            line=0,
            what=f"file is larger than {max_bytes} bytes",
            remedy="split it into several files",
        )
    try:
        return data.decode("utf-8-sig"), None
    except UnicodeDecodeError as error:
        return None, Problem(
            file=file,
            line=data.count(b"\n", 0, error.start) + 1,
            what="file is not UTF-8",
            remedy="save it as UTF-8",
        )
