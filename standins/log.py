"""Stand-in for the platform's append-only log service.

``POST /streams/NAME/records`` appends ``{"records": [{"id", "data"}]}`` and answers
``{"offsets": [...]}``. ``GET /streams/NAME/records?from=N&limit=N&wait=SECONDS``
answers ``{"first", "next", "records": [{"offset", "id", "time", "data"}]}``.
``POST /witness/trim/NAME/OFFSET`` drops the records before an offset.
"""

import time
from dataclasses import dataclass, field

import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins._faults import DOWN_STATUS, install_faults

READ_LIMIT = 1000
LONGEST_WAIT_SECONDS = 10.0


@dataclass
class Stream:
    """One stream of records.

    :ivar first: offset of the oldest record kept.
    :ivar records: the records kept, oldest first.
    :ivar grown: set and replaced at each append.
    """

    first: int = 0
    records: list = field(default_factory=list)
    grown: trio.Event = field(default_factory=trio.Event)

    def append(self, records):
        """Append records.

        :param records: dicts with ``id`` and ``data``.
        :return: their offsets.
        """
        offsets = []
        for record in records:
            offset = self.first + len(self.records)
            self.records.append(
                {
                    "offset": offset,
                    "id": record["id"],
                    "time": time.time(),
                    "data": record["data"],
                }
            )
            offsets.append(offset)
        self.grown.set()
        self.grown = trio.Event()
        return offsets

    def read(self, start, limit):
        """Read records from an offset on.

        :param start: first offset wanted.
        :param limit: most records to return.
        :return: a list of records.
        """
        index = max(0, start - self.first)
        return self.records[index : index + limit]

    def trim(self, offset):
        """Drop the records before an offset.

        :param offset: offset of the oldest record to keep.
        """
        count = min(max(0, offset - self.first), len(self.records))
        del self.records[:count]
        self.first += count

    @property
    def next(self):
        """Offset of the next record to be appended."""
        return self.first + len(self.records)


def create_app():
    """Build the stand-in.

    :return: the quart application.
    """
    app = QuartTrio("log")
    faults = install_faults(app)
    app.faults = faults
    streams = {}

    @app.post("/streams/<name>/records")
    async def append(name):
        body = await request.get_json()
        stream = streams.setdefault(name, Stream())
        if faults.late_effect:
            app.nursery.start_soon(_append_late, stream, body, faults.late_effect)
            return Response("answer lost", DOWN_STATUS)
        return {"offsets": stream.append(body["records"])}

    @app.get("/streams/<name>/records")
    async def read(name):
        stream = streams.setdefault(name, Stream())
        start = int(request.args.get("from", 0))
        limit = min(int(request.args.get("limit", READ_LIMIT)), READ_LIMIT)
        wait = min(float(request.args.get("wait", 0)), LONGEST_WAIT_SECONDS)
        if wait and start >= stream.next:
            with trio.move_on_after(wait):
                await stream.grown.wait()
        records = stream.read(start, limit)
        return {"first": stream.first, "next": stream.next, "records": records}

    @app.post("/witness/trim/<name>/<int:offset>")
    async def trim(name, offset):
        stream = streams.setdefault(name, Stream())
        stream.trim(offset)
        return {"first": stream.first}

    return app


async def _append_late(stream, body, seconds):
    await trio.sleep(seconds)
    stream.append(body["records"])
