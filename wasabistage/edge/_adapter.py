"""What an edge process asks of the platform that it runs on."""

from abc import ABC, abstractmethod


class PlatformAdapter(ABC):
    """Translates between the platform's wire and this project's types.

    It decides nothing: it names, formats and calls.
    """

    @abstractmethod
    def decode_request(self, request):
        """Decode a caller's request.

        :param request: a :class:`wasabistage.http1.Request`.
        :return: a :class:`CallerRequest`.
        :raises BadRequestError: if it can't be passed on.
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
        :return: an :class:`ResponseMetadata`.
        """

    @abstractmethod
    def encode_response_headers(self, head):
        """Return the headers of a response that go on to the caller.

        :param head: a :class:`wasabistage.http1.ResponseHead`.
        :return: list of (name, value) pairs of bytes without framing.
        """

    @abstractmethod
    def encode_error_headers(self, request_id, retry_after):
        """Return the headers of a response that this process makes itself.

        :param request_id: id of the request, or ``""``.
        :param retry_after: seconds after which to try again, or ``None``.
        :return: list of (name, value) pairs of bytes without framing.
        """

    @abstractmethod
    def decode_address_request(self, request):
        """Decode a caller's question which addresses to use.

        :param request: a :class:`wasabistage.http1.Request`.
        :return: a tuple of host, region and failure domain, or ``None`` if it is no
            such question.
        """

    @abstractmethod
    def encode_addresses(self, addresses, lifetime):
        """Return the body that answers it.

        :param addresses: list of ``IP:PORT``.
        :param lifetime: seconds for which the answer may be kept.
        :return: bytes.
        """

    @abstractmethod
    def is_readiness_probe(self, request):
        """Tell whether a request asks if this process is ready."""

    @abstractmethod
    def decode_configuration(self, value):
        """Decode a configuration record; ``None`` if it can't be used."""

    @abstractmethod
    def decode_named_version(self, record):
        """Decode a record that names a weight version; ``None`` if it does not."""

    @abstractmethod
    def is_configuration(self, record):
        """Tell whether a record holds the configuration."""

    @abstractmethod
    def decode_server(self, record):
        """Decode a server's record; ``None`` if it names no server to use."""

    @abstractmethod
    def create_record_store(self, address):
        """Return the :class:`wasabistage.fleet.RecordStore` at an address."""

    @abstractmethod
    async def read_report(self, address, timeout):
        """Return the :class:`EngineReport` of a server.

        :raises wasabistage.http1.ChannelError: if it gave none.
        """

    @abstractmethod
    async def send_order(self, address, order, timeout):
        """Send a :class:`VersionOrder`.

        :return: an :class:`OrderAnswer`.
        :raises wasabistage.http1.ChannelError: if it may or may not be carried out.
        """

    @abstractmethod
    async def read_events(self, address, position, wait):
        """Return the :class:`CacheEvents` of an engine or store after a position.

        :raises wasabistage.http1.ChannelError: if it gave none.
        """

    @abstractmethod
    async def list_cache(self, address):
        """Return everything that an engine or store keeps, as :class:`CacheEvents`.

        :raises wasabistage.http1.ChannelError: if it gave none.
        """

    @abstractmethod
    async def free_parts(self, address, parts, epoch, until):
        """Free parts at a store.

        :param parts: list of (cache key, part).
        :param epoch: life of the store that must hold them.
        :param until: servers' wall clock after which nothing may be freed, seconds.
        :return: whether the store freed them.
        :raises wasabistage.http1.ChannelError: if it gave no answer.
        """
