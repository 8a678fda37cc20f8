"""Serving system for prompts that return after long gaps."""

__version__ = "0.1.0"


def __getattr__(name):
    # The client's libraries load only when it is used.
    if name == "Client":
        from wasabistage.client import Client

        return Client
    raise AttributeError(name)
