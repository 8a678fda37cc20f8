"""The caller's side of wasabistage, for programs that run on trio."""

from wasabistage.client._client import Answer, Client, ServiceAnswer

__all__ = ["Answer", "Client", "ServiceAnswer"]
