"""Stand-in for the platform's lagging list of live and leaving instances.

``GET /instances`` answers ``{"as_of", "instances": [...]}`` as it was ``lag`` seconds
ago. ``PUT /witness/instances`` replaces the list, ``PUT /witness/lag/SECONDS`` the lag.
"""

import time

from quart import request
from quart_trio import QuartTrio

from standins._faults import install_faults

HISTORY_SECONDS = 60.0


def create_app():
    """Build the stand-in.

    :return: the quart application.
    """
    app = QuartTrio("livelist")
    install_faults(app)
    history = [(time.time(), [])]
    lag = {"seconds": 0.0}

    @app.get("/instances")
    async def instances():
        until = time.time() - lag["seconds"]
        seen = [entry for entry in history if entry[0] <= until] or history[:1]
        as_of, listed = seen[-1]
        return {"as_of": max(as_of, until), "instances": listed}

    @app.put("/witness/instances")
    async def replace():
        now = time.time()
        history.append((now, await request.get_json()))
        while len(history) > 2 and history[1][0] < now - HISTORY_SECONDS:
            history.pop(0)
        return {"ok": True}

    @app.put("/witness/lag/<float:seconds>")
    async def set_lag(seconds):
        lag["seconds"] = seconds
        return {"ok": True}

    return app
