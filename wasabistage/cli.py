"""The command line of wasabistage."""

import hashlib
import json
import secrets
import sys
from dataclasses import asdict

import fire
import trio
from fire.helptext import HelpText
from fire.trace import FireTrace

import wasabistage
from wasabistage.declarations import Accepted, Overtaken, check_folder
from wasabistage.entry import run_entry
from wasabistage.exceptions import (
    NotFoundError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.operators import (
    UsageError,
    ask_explanation,
    check_arguments,
    compare_folder,
    format_explanation,
    format_outcome,
    format_status,
    format_trace,
    load_folder,
    name_of_command,
    publish_folder,
    read_status,
    read_trace,
    wait_everywhere,
    wants_help,
)
from wasabistage.settings import load_operator_settings, load_settings

EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_OVERTAKEN = 3
EXIT_NOT_ACCEPTED = 4
EXIT_NOT_EVERYWHERE = 5
EXIT_INTERRUPTED = 130
KEY_BYTES = 32
PROGRAM = "wasabistage"


def parse_number(kind, text, flag):
    """Read a flag that takes a number.

    :param kind: ``int`` or ``float``.
    :param text: what stands on the command line.
    :param flag: name of the flag.
    :return: the number.
    :raises UsageError: if it is none.
    """
    try:
        number = kind(text)
    except ValueError:
        number = -1
    if not 0 <= number < float("inf"):
        raise UsageError(
            f"--{flag} is not a number of 0 or more",
            remedy=f"write such as --{flag} 20",
        )
    return number


def parse_switch(text):
    """Read a flag that is on or off.

    :param text: what stands on the command line.
    :return: a ``bool``.
    """
    return str(text).lower() == "true"


class Commands:
    """Serving system for prompts that return after long gaps.

    Use `wasabistage COMMAND --help` for the arguments of one command. Errors are
    written to standard error as `kind: message; remedy`. Exit codes: 0 done, 1 a
    fault, 2 a wrong command line; publish adds 3 overtaken, 4 not accepted, and 5
    accepted, yet not in force everywhere within --wait.
    """

    def entry(self, settings):
        """Run one entry instance until SIGTERM, which drains it.

        :param settings: path of its settings, an INI file.
        """
        run_entry(load_settings(settings))

    def check(self, folder):
        """Check a folder of declarations without publishing it.

        Each fault is printed as `file:line: what; remedy`.

        :param folder: path of the folder.
        """
        result = check_folder(folder)
        for problem in result.problems:
            print(problem)
        if result.problems:
            print(f"{len(result.problems)} faults")
            sys.exit(EXIT_FAULT)
        print(summarize(result.deployment))

    def publish(
        self, folder, *, settings, wait="0", base="", any_base=False, timeout="20"
    ):
        """Publish a folder of declarations.

        :param folder: path of the folder.
        :param settings: path of the operator's settings, an INI file.
        :param wait: seconds to wait until it is in force everywhere; 0: don't wait.
        :param base: version that it must replace; none: the one in force.
        :param any_base: publish although the version in force can't be known.
        :param timeout: seconds after which a log out of reach is given up.
        """
        seconds = parse_number(float, wait, "wait")
        options = {
            "base_version": parse_number(int, base, "base") if base else None,
            "any_base": parse_switch(any_base),
            "timeout": parse_number(float, timeout, "timeout"),
        }
        loaded = load_operator_settings(settings)
        deployment = load_folder(folder, loaded.deployment)

        async def run():
            done = await publish_folder(loaded, deployment, **options)
            print(format_outcome(done.outcome, done.changes), flush=True)
            if isinstance(done.outcome, Overtaken):
                return EXIT_OVERTAKEN
            if not isinstance(done.outcome, Accepted):
                return EXIT_NOT_ACCEPTED
            if not seconds:
                return 0
            return await wait_for(loaded, done.outcome.version, seconds)

        finish(trio.run(run))

    def diff(self, folder, *, settings):
        """Show what publishing a folder would change.

        :param folder: path of the folder.
        :param settings: path of the operator's settings, an INI file.
        """
        loaded = load_operator_settings(settings)
        deployment = load_folder(folder, loaded.deployment)
        difference = trio.run(compare_folder, loaded, deployment)
        found = difference.found
        if found.doubtful:
            note = "the log could not be read to its end, a newer version may exist"
            print(f"note: {note}; try again once it answers", file=sys.stderr)
        print(f"against version {found.version}:")
        for change in difference.changes:
            print(f"  {change}")
        if not difference.changes:
            print("  no difference")

    def status(self, *, settings, json=False):
        """Show entries, versions in force, backend servers and doubts.

        :param settings: path of the operator's settings, an INI file.
        :param json: print JSON instead of a table.
        """
        loaded = load_operator_settings(settings)
        told = trio.run(read_status, loaded.entries, loaded.peer_key)
        if parse_switch(json):
            pairs = zip(loaded.entries, told, strict=True)
            print_json({place: item and asdict(item) for place, item in pairs})
        else:
            print(format_status(loaded.entries, told))
        demand_answer(told)

    def trace(self, request_id, *, settings, json=False):
        """Show the way of one request, a span for each hop.

        :param request_id: what the answer's X-Request-Id header says.
        :param settings: path of the operator's settings, an INI file.
        :param json: print JSON instead of a tree.
        """
        loaded = load_operator_settings(settings)
        spans = trio.run(read_trace, loaded.entries, loaded.peer_key, request_id)
        if not spans:
            raise NotFoundError(
                "no entry that answered holds a span of this request",
                remedy="check the id; old spans and those of ended entries are gone",
            )
        if parse_switch(json):
            print_json([asdict(span) for span in spans])
        else:
            print(format_trace(spans))

    def explain(
        self,
        address,
        host,
        path,
        *,
        service="",
        model="",
        tokens="",
        parts="",
        account="",
        failure_domain="",
        timeout="5",
        json=False,
    ):
        """Show where a request would go now, and why, without sending it.

        :param address: IP:PORT of the metrics of an entry on the users' platform.
        :param host: host of the request.
        :param path: its path.
        :param service: service among the route's targets; empty: the heaviest one.
        :param model: model of its prompt; empty: a request without a prompt.
        :param tokens: tokens of the prompt and tokens to generate, as in 900,20.
        :param parts: parts of the prompt with their tokens, as in aa:500,bb:400.
        :param account: name of the client account.
        :param failure_domain: failure domain of the caller.
        :param timeout: seconds after which the entry is given up.
        :param json: print JSON instead of text.
        """
        fields = {
            "host": host,
            "path": path,
            "service": service,
            "model": model,
            "tokens": tokens,
            "parts": parts,
            "account": account,
            "failure_domain": failure_domain,
        }
        seconds = parse_number(float, timeout, "timeout")
        found = trio.run(ask_explanation, address, fields, seconds)
        if parse_switch(json):
            print_json(found)
        else:
            print(format_explanation(found))

    def key(self):
        """Make a bearer key for a client account.

        Give the key to the caller and write the hash into the account's declaration.
        """
        made = secrets.token_urlsafe(KEY_BYTES)
        print(f"key: {made}")
        print(f"key_hashes = {hashlib.sha256(made.encode()).hexdigest()}")

    def version(self):
        """Print the version of this program."""
        print(f"wasabistage {wasabistage.__version__}")


async def wait_for(settings, version, seconds):
    """Wait until a version is in force everywhere and print how that went.

    :param settings: the :class:`wasabistage.settings.OperatorSettings`.
    :param version: the version.
    :param seconds: longest wait.
    :return: exit code.
    """
    spread = await wait_everywhere(settings, version, seconds)
    if spread.everywhere:
        print(f"in force everywhere after {spread.seconds:.2f} s")
        return 0
    behind = ", ".join(spread.behind) or "entries that the settings don't name"
    print(f"not in force everywhere after {spread.seconds:.2f} s; behind: {behind}")
    return EXIT_NOT_EVERYWHERE


def summarize(deployment):
    """Describe a good deployment in one line.

    :param deployment: a :class:`wasabistage.declarations.Deployment`.
    :return: a string.
    """
    counts = (
        ("services", deployment.services),
        ("models", deployment.models),
        ("client accounts", deployment.accounts),
        ("backend servers", deployment.servers),
        ("stores", deployment.stores),
    )
    listed = ", ".join(f"{len(found)} {name}" for name, found in counts)
    return f"{deployment.name} is good: {listed}"


def demand_answer(told):
    """Fail if no entry answered.

    :param told: answers of the entries, ``None`` where none came.
    :raises UnavailableError: if there is none.
    """
    if not any(item is not None for item in told):
        raise UnavailableError(
            "no entry answered",
            remedy="check the addresses and the peer_key in the operator's settings",
        )


def print_json(value):
    """Print a value as JSON.

    :param value: what to print.
    """
    print(json.dumps(value, indent=2, ensure_ascii=True))


def finish(code):
    """Exit unless all is well.

    :param code: exit code.
    """
    if code:
        sys.exit(code)


def show_help(commands, name=""):
    """Print the help of the program or of one command.

    :param commands: the :class:`Commands`.
    :param name: name of the command; empty for the program.
    """
    trace = FireTrace(commands, name=PROGRAM)
    shown = commands
    if name:
        shown = getattr(commands, name)
        trace.AddAccessedProperty(shown, name, [name], None, None)
    print(HelpText(shown, trace=trace))


def main(argv=None):
    """Run one command and exit with its code.

    :param argv: command line without the program's name; ``None`` for the process's.
    """
    arguments = sys.argv[1:] if argv is None else list(argv)
    commands = Commands()
    try:
        check_arguments(Commands, arguments)
        if wants_help(arguments):
            show_help(commands, name_of_command(arguments))
            return
        # Fire would read 0012 as a number, and warn of an IP number's syntax.
        fire.parser.DefaultParseValue = str
        fire.Fire(commands, command=arguments, name=PROGRAM)
    except WasabistageError as error:
        print(f"{error.kind}: {error}", file=sys.stderr)
        usage = isinstance(error, UsageError)
        sys.exit(EXIT_USAGE if usage else EXIT_FAULT)
    except BrokenPipeError:
        # The reader of the output has gone; nothing is left to flush for it.
        sys.stdout = None
        sys.exit(EXIT_FAULT)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
