"""What operators do: publish a deployment, look at a running one."""

from wasabistage.operators._publish import publish_deployment

__all__ = ["publish_deployment"]
