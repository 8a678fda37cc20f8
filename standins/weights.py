"""Stand-in for the rate-limited weight store.

``GET /weights/MODEL/VERSION`` takes a fifth of a second, longer while more than two
loads run at once. ``GET /witness/peak`` tells the most loads seen at once.
"""

import trio
from quart_trio import QuartTrio

from standins._faults import install_faults

LOAD_SECONDS = 0.2
FREE_LOADS = 2


def create_app():
    """Build the stand-in.

    :return: the quart application.
    """
    app = QuartTrio("weights")
    install_faults(app)
    state = {"running": 0, "peak": 0, "served": 0}

    @app.get("/weights/<model>/<version>")
    async def load(model, version):
        state["running"] += 1
        state["peak"] = max(state["peak"], state["running"])
        try:
            crowd = max(1.0, state["running"] / FREE_LOADS)
            await trio.sleep(LOAD_SECONDS * crowd)
        finally:
            state["running"] -= 1
        state["served"] += 1
        return {"model": model, "version": version}

    @app.get("/witness/peak")
    async def peak():
        return state

    return app
