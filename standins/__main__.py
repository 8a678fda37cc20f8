"""Start one stand-in: ``python -m standins KIND --address IP:PORT [options]``."""

import fire
import trio

from standins import engine, livelist, log, service, store, weights
from standins._engine_state import EngineParams
from standins._serve import serve_app


class Standins:
    """Small fakes of the platform and the backend servers."""

    def log(self, address):
        """Serve the append-only log.

        :param address: ``IP:PORT``.
        """
        trio.run(serve_app, log.create_app(), address)

    def livelist(self, address):
        """Serve the lagging list.

        :param address: ``IP:PORT``.
        """
        trio.run(serve_app, livelist.create_app(), address)

    def weights(self, address):
        """Serve the weight store.

        :param address: ``IP:PORT``.
        """
        trio.run(serve_app, weights.create_app(), address)

    def service(self, address, work_seconds=service.WORK_SECONDS):
        """Serve a plain service.

        :param address: ``IP:PORT``.
        :param work_seconds: time that a call takes, in seconds.
        """
        trio.run(serve_app, service.create_app(work_seconds), address)

    def store(self, address, memory=64 << 20, disk=1 << 30, link_rate=1.25e9):
        """Serve a KV cache store.

        :param address: ``IP:PORT``.
        :param memory: bytes of the memory tier.
        :param disk: bytes of the disk tier.
        :param link_rate: bytes a second.
        """
        app = store.create_app(memory, disk, link_rate)
        trio.run(serve_app, app, address)

    def engine(self, address, models="", **params):
        """Serve a model engine.

        :param address: ``IP:PORT``.
        :param models: ``NAME@VERSION`` loaded at the start, parted by commas.
        :param params: fields of :class:`standins._engine_state.EngineParams`.
        """
        listed = models if isinstance(models, (list, tuple)) else str(models).split(",")
        versions = dict(item.split("@", 1) for item in listed if item)
        app = engine.create_app(EngineParams(**params), versions)
        trio.run(serve_app, app, address)


if __name__ == "__main__":
    fire.Fire(Standins())
