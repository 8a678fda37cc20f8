"""What every part of one entry process is given at its start."""

from dataclasses import dataclass

import httpx

from wasabistage.declarations import Deployment
from wasabistage.entry._peers import PeerClient
from wasabistage.observe import Metrics, Tracer
from wasabistage.reference import HttpEngineClient, HttpStoreClient, LogClient
from wasabistage.settings import EntrySettings
from wasabistage.timing import TimerService
from wasabistage.utils import WatchedValue


@dataclass(frozen=True, kw_only=True)
class ConfigInForce:
    """The configuration that this entry follows.

    :param version: its number; 0 while none is known.
    :param deployment: the declarations.
    """

    version: int
    deployment: Deployment


@dataclass(frozen=True, kw_only=True)
class EntryContext:
    """The shared tools of one entry process; no part's state lives here.

    :param settings: the process's settings.
    :param incarnation: random identifier of this process's life.
    :param timers: the timer service.
    :param metrics: sink of metrics.
    :param tracer: maker of spans.
    :param http: HTTP client.
    :param log: client of the log service.
    :param peers: client of the other entries.
    :param config: :class:`WatchedValue` of :class:`ConfigInForce`.
    """

    settings: EntrySettings
    incarnation: str
    timers: TimerService
    metrics: Metrics
    tracer: Tracer
    http: httpx.AsyncClient
    log: LogClient
    peers: PeerClient
    config: WatchedValue

    def engine(self, server):
        """Return the client of a model engine.

        :param server: a :class:`wasabistage.declarations.BackendServer`.
        :return: an engine client.
        """
        return HttpEngineClient(self.http, server.address)

    def store(self, store):
        """Return the client of a KV cache store.

        :param store: a :class:`wasabistage.declarations.Store`.
        :return: a store client.
        """
        return HttpStoreClient(self.http, store.address)
