"""Interface between an edge process and the platform that it runs on."""

from abc import ABC, abstractmethod


class PlatformAdapter(ABC):
    """Translates between the platform's wire protocol and this package's types.

    An adapter encodes, decodes and calls; it makes no decisions.
    """

    @abstractmethod
    def decode_request(self, request):
        """Decode a caller's request.

        :param request: a :class:`wasabistage.http1.Request`.
        :return: a :class:`CallerRequest`.
        :raises BadRequestError: if the request is invalid and can't be forwarded.
        """

    @abstractmethod
    def encode_request_headers(self, request, dispatch):
        """Return the headers of a request to a backend server.

        :param request: a :class:`CallerRequest`.
        :param dispatch: a :class:`Dispatch`.
        :return: list of (name, value) pairs of bytes.
        """

    @abstractmethod
    def decode_response(self, head):
        """Decode the headers of a server's response.

        :param head: a :class:`wasabistage.http1.ResponseHead`.
        :return: a :class:`ResponseMetadata`.
        """

    @abstractmethod
    def encode_response_headers(self, head):
        """Return the headers of a response to forward to the caller.

        :param head: a :class:`wasabistage.http1.ResponseHead`.
        :return: list of (name, value) pairs of bytes without framing.
        """

    @abstractmethod
    def encode_error_headers(self, request_id, retry_after):
        """Return the headers of an error response by this process.

        :param request_id: id of the request, or ``""``.
        :param retry_after: time after which to retry, in seconds, or ``None``.
        :return: list of (name, value) pairs of bytes without framing.
        """

    @abstractmethod
    def decode_address_request(self, request):
        """Decode a caller's request for addresses of entries.

        :param request: a :class:`wasabistage.http1.Request`.
        :return: a tuple of host, region and failure domain, or ``None`` if the
            request is another one.
        """

    @abstractmethod
    def encode_addresses(self, addresses, lifetime):
        """Return the body of the response to a request for addresses.

        :param addresses: list of ``IP:PORT``.
        :param lifetime: time for which the caller may use them, in seconds.
        :return: bytes.
        """

    @abstractmethod
    def is_readiness_probe(self, request):
        """Return whether a request is a readiness probe.

        :param request: a :class:`wasabistage.http1.Request`.
        """

    @abstractmethod
    def decode_configuration(self, value):
        """Decode the value of a configuration record.

        :param value: bytes.
        :return: a :class:`wasabistage.fleet.Configuration`, or ``None`` if it is
            invalid.
        """

    @abstractmethod
    def decode_named_version(self, record):
        """Decode a record that names a weight version.

        :param record: a :class:`wasabistage.fleet.StoredRecord`.
        :return: a :class:`NamedWeightVersion`, or ``None`` if the record names none.
        """

    @abstractmethod
    def decode_evacuation(self, key):
        """Return the failure domain that a record is an order to evacuate.

        :param key: key of the record.
        :return: name of the failure domain, or ``None`` if the record is another one.
        """

    @abstractmethod
    def is_configuration(self, record):
        """Return whether a record holds the configuration.

        :param record: a :class:`wasabistage.fleet.StoredRecord`.
        """

    @abstractmethod
    def decode_server(self, record):
        """Decode the record of a backend server.

        :param record: a :class:`wasabistage.fleet.StoredRecord`.
        :return: a :class:`wasabistage.fleet.ServerRecord`, or ``None`` if the record
            describes no usable server.
        """

    @abstractmethod
    def create_record_store(self, address, eras):
        """Create the client of the record store at an address.

        :param address: ``IP:PORT``.
        :param eras: the :class:`wasabistage.fleet.StoreEra` of all clients.
        :return: a :class:`wasabistage.fleet.RecordStore`.
        """

    @abstractmethod
    async def read_report(self, address, timeout):
        """Request the state of a model engine.

        :param address: ``IP:PORT`` of the engine.
        :param timeout: seconds.
        :return: an :class:`EngineReport`.
        :raises wasabistage.http1.ChannelError: if the engine sent none.
        """

    @abstractmethod
    async def send_order(self, address, order, timeout):
        """Send an order to a model engine.

        :param address: ``IP:PORT`` of the engine.
        :param order: a :class:`VersionOrder`.
        :param timeout: seconds.
        :return: an :class:`OrderAnswer`.
        :raises wasabistage.http1.ChannelError: if it is unknown whether the engine
            received the order.
        """

    @abstractmethod
    async def read_events(self, address, position, wait):
        """Read the cache events of an engine or store from a position on.

        :param address: ``IP:PORT`` of the engine or store.
        :param position: position from which to read.
        :param wait: longest time to wait for an event, in seconds.
        :return: a :class:`CacheEvents`.
        :raises wasabistage.http1.ChannelError: if the source sent none.
        """

    @abstractmethod
    async def list_cache(self, address):
        """List all parts that an engine or store has cached.

        :param address: ``IP:PORT`` of the engine or store.
        :return: a :class:`CacheEvents`.
        :raises wasabistage.http1.ChannelError: if the source sent none.
        """

    @abstractmethod
    async def free_parts(self, address, parts, epoch, until):
        """Free cached parts at a store.

        :param address: ``IP:PORT`` of the store.
        :param parts: list of (cache key, part).
        :param epoch: epoch that the store must still be in.
        :param until: time on the servers' wall clock after which nothing may be freed,
            in seconds.
        :return: whether the store freed them.
        :raises wasabistage.http1.ChannelError: if the store sent no answer.
        """
