"""Finds the declared call that a request asks for."""

from dataclasses import dataclass

from wasabistage.declarations import Call, Model, Service, ServiceKind
from wasabistage.exceptions import BadRequestError, NotFoundError

WILDCARD = "/*"
DOT_SEGMENTS = (".", "..")


@dataclass(frozen=True, kw_only=True)
class ResolvedCall:
    """A declared call with its service.

    :param service: the service.
    :param call: the call.
    :param model: the model, for a model service; else ``None``.
    """

    service: Service
    call: Call
    model: Model | None = None


def resolve_completion(deployment, service_name, call_name):
    """Find the call of a chat completion.

    :param deployment: the declarations in force.
    :param service_name: value of the body's ``model``: a model service's name.
    :param call_name: value of the body's ``call``, or ``None`` for the first one.
    :return: a :class:`ResolvedCall`.
    :raises NotFoundError: if it is not declared.
    """
    service = deployment.services.get(service_name)
    if service is None or service.kind is not ServiceKind.MODEL:
        raise NotFoundError(
            "the model service is not declared",
            remedy="name a declared service of kind model in 'model'",
        )
    if call_name is None:
        call = next(iter(service.calls.values()), Call(name="chat"))
    else:
        call = service.calls.get(call_name)
    if call is None:
        raise NotFoundError(
            f"service {service.name} declares no such call",
            remedy="name one of its calls in 'call', or leave it out",
        )
    model = deployment.models.get(service.model)
    return ResolvedCall(service=service, call=call, model=model)


def resolve_plain(deployment, service_name, method, path):
    """Find the call of a request to a plain service.

    :param deployment: the declarations in force.
    :param service_name: name of the service.
    :param method: HTTP method.
    :param path: path within the service, with the leading slash.
    :return: a :class:`ResolvedCall`.
    :raises NotFoundError: if it is not declared.
    :raises BadRequestError: if the path could mean another one at the server.
    """
    check_path(path)
    service = deployment.services.get(service_name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise NotFoundError(
            "the plain service is not declared",
            remedy="name a declared service of kind plain",
        )
    for call in service.calls.values():
        if call.method == method and matches(call.path, path):
            return ResolvedCall(service=service, call=call)
    raise NotFoundError(
        f"service {service.name} declares no call with this method and path",
        remedy="use a declared method and path",
    )


def matches(pattern, path):
    """Tell whether a path matches a declared one.

    :param pattern: declared path; a trailing ``/*`` matches any suffix.
    :param path: path of a request.
    :return: ``True`` if it does.
    """
    if pattern.endswith(WILDCARD):
        stem = pattern[: -len(WILDCARD)]
        return path == stem or path.startswith(stem + "/")
    return path == pattern


def check_path(path):
    """Refuse a path that a client or server may turn into an undeclared one.

    :param path: path of a request, decoded.
    :raises BadRequestError: if it has dot segments, backslashes or control characters.
    """
    dots = any(part in DOT_SEGMENTS for part in path.split("/"))
    if dots or "\\" in path or not path.isprintable():
        raise BadRequestError(
            "the path has dot segments, backslashes or control characters",
            remedy="send the plain path of the call",
        )
