"""Run: ``python -m benchmarks.parts``."""

from benchmarks import parts
from benchmarks._report import parse_options, publish_figures


def main(argv=None):
    """Run the benchmark.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    options = parse_options(parts.__doc__.splitlines()[0], argv)
    publish_figures("parts", parts.run(options.seed, options.repeats), options)


if __name__ == "__main__":
    main()
