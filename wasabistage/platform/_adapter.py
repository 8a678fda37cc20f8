"""The users' platform as one adapter."""

from urllib.parse import parse_qs

import msgspec

from wasabistage.edge import PlatformAdapter
from wasabistage.platform._records import (
    CONFIGURATION_KEY,
    decode_configuration,
    decode_evacuation,
    decode_named_version,
    decode_server,
)
from wasabistage.platform._requests import (
    decode_request,
    decode_response,
    encode_error_headers,
    encode_request_headers,
    encode_response_headers,
)
from wasabistage.platform._servers import ServerCalls
from wasabistage.platform._store import PlatformRecordStore

READY_PATH = b"/v1/ready"
RESOLVE_PATH = b"/v1/resolve"


class UsersPlatform(PlatformAdapter):
    """See :class:`wasabistage.edge.PlatformAdapter`.

    :param timer: a :class:`wasabistage.timing.TimerService`.
    """

    def __init__(self, timer):
        self.timer = timer
        self.calls = ServerCalls(timer)

    def decode_request(self, request):
        """See :meth:`wasabistage.edge.PlatformAdapter.decode_request`."""
        return decode_request(request)

    def encode_request_headers(self, request, dispatch):
        """See :meth:`wasabistage.edge.PlatformAdapter.encode_request_headers`."""
        return encode_request_headers(request, dispatch)

    def decode_response(self, head):
        """See :meth:`wasabistage.edge.PlatformAdapter.decode_response`."""
        return decode_response(head)

    def encode_response_headers(self, head):
        """See :meth:`wasabistage.edge.PlatformAdapter.encode_response_headers`."""
        return encode_response_headers(head)

    def encode_error_headers(self, request_id, retry_after):
        """See :meth:`wasabistage.edge.PlatformAdapter.encode_error_headers`."""
        return encode_error_headers(request_id, retry_after)

    def decode_address_request(self, request):
        """See :meth:`wasabistage.edge.PlatformAdapter.decode_address_request`."""
        path, _, query = request.target.partition(b"?")
        if path != RESOLVE_PATH:
            return None
        fields = parse_qs(query.decode("latin-1"))
        return tuple(fields.get(name, [""])[0] for name in ("name", "region", "zone"))

    def encode_addresses(self, addresses, lifetime):
        """See :meth:`wasabistage.edge.PlatformAdapter.encode_addresses`."""
        return msgspec.json.encode({"addresses": addresses, "ttlS": lifetime})

    def is_readiness_probe(self, request):
        """See :meth:`wasabistage.edge.PlatformAdapter.is_readiness_probe`."""
        return request.target.partition(b"?")[0] == READY_PATH

    def decode_configuration(self, value):
        """See :meth:`wasabistage.edge.PlatformAdapter.decode_configuration`."""
        return decode_configuration(value)

    def decode_named_version(self, record):
        """See :meth:`wasabistage.edge.PlatformAdapter.decode_named_version`."""
        return decode_named_version(record)

    def decode_evacuation(self, key):
        """See :meth:`wasabistage.edge.PlatformAdapter.decode_evacuation`."""
        return decode_evacuation(key)

    def is_configuration(self, record):
        """See :meth:`wasabistage.edge.PlatformAdapter.is_configuration`."""
        return record.key == CONFIGURATION_KEY and record.value is not None

    def decode_server(self, record):
        """See :meth:`wasabistage.edge.PlatformAdapter.decode_server`."""
        return decode_server(record)

    def create_record_store(self, address, eras):
        """See :meth:`wasabistage.edge.PlatformAdapter.create_record_store`."""
        return PlatformRecordStore(address, self.timer, eras)

    async def read_report(self, address, timeout):
        """See :meth:`wasabistage.edge.PlatformAdapter.read_report`."""
        return await self.calls.read_report(address, timeout)

    async def send_order(self, address, order, timeout):
        """See :meth:`wasabistage.edge.PlatformAdapter.send_order`."""
        return await self.calls.send_order(address, order, timeout)

    async def read_events(self, address, position, wait):
        """See :meth:`wasabistage.edge.PlatformAdapter.read_events`."""
        return await self.calls.read_events(address, position, wait)

    async def list_cache(self, address):
        """See :meth:`wasabistage.edge.PlatformAdapter.list_cache`."""
        return await self.calls.list_cache(address)

    async def free_parts(self, address, parts, epoch, until):
        """See :meth:`wasabistage.edge.PlatformAdapter.free_parts`."""
        return await self.calls.free_parts(address, parts, epoch, until)
