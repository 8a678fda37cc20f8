"""Faults that a test orders from a stand-in over HTTP."""

from dataclasses import dataclass, fields

import trio
from quart import Response, request

DOWN_STATUS = 503


@dataclass
class Faults:
    """The faults in force.

    :ivar down: every request is answered with 503.
    :ivar delay: seconds added before a request is carried out.
    :ivar lose_answers: the request takes effect, then 503 is answered.
    :ivar late_answer: seconds added after a request took effect.
    :ivar fail_one_in: every N-th request is answered with 500; 0 for none.
    :ivar cut_after: an answer stream is cut after this many tokens; 0 for never.
    :ivar cross_ids: answer streams carry a foreign request id.
    :ivar late_effect: seconds after which an append to the log takes effect though
        503 was answered at once; 0 for none.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: bool = False
    late_answer: float = 0.0
    fail_one_in: int = 0
    cut_after: int = 0
    cross_ids: bool = False
    late_effect: float = 0.0


def install_faults(app):
    """Add ``POST /faults`` to an application and apply the faults to the rest.

    :param app: the stand-in's application.
    :return: the :class:`Faults` in force, changed in place by the endpoint.
    """
    faults = Faults()
    names = {item.name for item in fields(Faults)}
    served = {"count": 0}

    @app.post("/faults")
    async def set_faults():
        body = await request.get_json()
        for name, value in body.items():
            if name in names:
                setattr(faults, name, value)
        return {"ok": True}

    @app.before_request
    async def before():
        if request.path == "/faults" or request.path.startswith("/witness"):
            return None
        served["count"] += 1
        if faults.down:
            return Response("out of service", DOWN_STATUS)
        if faults.fail_one_in and served["count"] % faults.fail_one_in == 0:
            return Response("failed", 500)
        if faults.delay:
            await trio.sleep(faults.delay)
        return None

    @app.after_request
    async def after(response):
        if request.path == "/faults" or request.path.startswith("/witness"):
            return response
        if faults.late_answer:
            await trio.sleep(faults.late_answer)
        if faults.lose_answers and request.method != "GET":
            return Response("answer lost", DOWN_STATUS)
        return response

    return faults
