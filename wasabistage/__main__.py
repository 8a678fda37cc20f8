"""Run wasabistage by ``python -m wasabistage``."""

from wasabistage._alone import load_alone

if __name__ == "__main__":
    load_alone()

    from wasabistage.cli import main

    main()
