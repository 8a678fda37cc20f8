"""The caller's side of wasabistage, for programs that run on trio."""

from wasabistage.client._client import Answer, Client, ServiceAnswer
from wasabistage.client._error_page import describe_errors

__all__ = ["Answer", "Client", "ServiceAnswer", "describe_errors"]
