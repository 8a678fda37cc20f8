"""What operators do: publish a deployment, look at a running one."""

from wasabistage.operators._publish import publish_deployment
from wasabistage.operators._status import read_status, read_trace

__all__ = ["publish_deployment", "read_status", "read_trace"]
