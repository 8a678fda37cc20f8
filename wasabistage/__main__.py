"""Run wasabistage by ``python -m wasabistage``."""

from wasabistage.cli import main

if __name__ == "__main__":
    main()
