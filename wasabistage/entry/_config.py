"""The task that follows the configuration stream of the log."""

import msgspec
import trio

from wasabistage.declarations import Deployment
from wasabistage.entry._context import ConfigInForce
from wasabistage.entry._task import Task
from wasabistage.exceptions import WasabistageError
from wasabistage.observe import make_logger

STREAM = "config"
READ_WAIT_SECONDS = 5.0
RETRY_SECONDS = 0.5
log = make_logger("config")


class ConfigTask(Task):
    """Folds the records of the configuration stream into the version in force.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    name = "config"

    def __init__(self, context):
        super().__init__(context.metrics)
        self.context = context
        self.next_offset = 0
        self.version = 0

    async def start(self):
        """Begin to follow the stream."""
        self.nursery.start_soon(self.follow)

    async def follow(self):
        """Read the stream until cancelled."""
        while True:
            try:
                page = await self.context.log.read(
                    STREAM, self.next_offset, READ_WAIT_SECONDS
                )
                self.tell(page)
                self.next_offset = page.next_offset
            except WasabistageError:
                self.metrics.count("log.failures")
                await trio.sleep(RETRY_SECONDS)

    async def handle(self, message, reply):
        """Fold one page of records."""
        for record in message.records:
            self.fold(record)

    def fold(self, record):
        """Take one record into force.

        :param record: a :class:`wasabistage.platform.LogRecord`.
        """
        try:
            deployment = msgspec.json.decode(record.data, type=Deployment)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            self.metrics.count("config.alarm")
            log.error("a bad record was skipped", extra={"reason": str(error)})
            return
        self.version += 1
        self.metrics.gauge("config.version", self.version)
        self.context.config.set(
            ConfigInForce(version=self.version, deployment=deployment)
        )
        log.info("configuration in force", extra={"version": self.version})
