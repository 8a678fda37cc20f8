"""Tasks that own their state and talk by messages."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import trio

from wasabistage.exceptions import OverloadError, WasabistageError
from wasabistage.observe import make_logger

INBOX_SIZE = 4096
log = make_logger("task")


class Reply:
    """Where the answer to one message is put.

    :ivar tag: identifier that the task gave the pending request, if any.
    """

    def __init__(self):
        self.tag = None
        self.done = trio.Event()
        self.value = None
        self.error = None

    def set(self, value):
        """Answer with a value.

        :param value: what the asker gets.
        """
        self.value = value
        self.done.set()

    def fail(self, error):
        """Answer with an error.

        :param error: exception that is raised at the asker.
        """
        self.error = error
        self.done.set()

    async def wait(self):
        """Wait for the answer.

        :return: the value.
        :raises Exception: the error that was set.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error
        return self.value


@dataclass(frozen=True)
class Envelope:
    """A message on its way.

    :param message: the message.
    :param reply: where to put the answer, or ``None``.
    """

    message: object
    reply: Reply | None = None


class Task(ABC):
    """A task that owns its state; others reach it by messages only.

    :param metrics: a :class:`wasabistage.observe.Metrics`.
    :param inbox_size: messages that may wait; more are refused.
    """

    name = "task"

    def __init__(self, metrics, inbox_size=INBOX_SIZE):
        self.metrics = metrics
        self.sender, self.inbox = trio.open_memory_channel(inbox_size)
        self.nursery = None

    def tell(self, message):
        """Send a message without waiting for an answer.

        :param message: the message.
        :raises OverloadError: if the inbox is full.
        """
        self._put(Envelope(message))

    async def ask(self, message):
        """Send a message and wait for the answer.

        :param message: the message.
        :return: the answer.
        :raises OverloadError: if the inbox is full.
        """
        reply = Reply()
        self.post(message, reply)
        return await reply.wait()

    def post(self, message, reply):
        """Send a message whose answer is put into a given reply.

        :param message: the message.
        :param reply: a :class:`Reply`.
        :raises OverloadError: if the inbox is full.
        """
        self._put(Envelope(message, reply))

    def _put(self, envelope):
        try:
            self.sender.send_nowait(envelope)
        except trio.WouldBlock:
            raise OverloadError(
                f"the {self.name} task has {INBOX_SIZE} messages waiting",
                remedy="retry later",
                retry_after=1.0,
            ) from None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Handle messages until cancelled.

        :param task_status: told once the task is ready.
        """
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self.start()
            task_status.started()
            async for envelope in self.inbox:
                await self._handle_one(envelope)

    async def _handle_one(self, envelope):
        try:
            value = await self.handle(envelope.message, envelope.reply)
        except Exception as error:
            self._fail(envelope, error)
            return
        if envelope.reply is not None and value is not LATER:
            envelope.reply.set(value)

    def _fail(self, envelope, error):
        if not isinstance(error, WasabistageError):
            self.metrics.count("task.failure", label=self.name)
            log.exception("a message could not be handled", extra={"task": self.name})
        if envelope.reply is not None:
            envelope.reply.fail(error)

    async def start(self):  # noqa: B027
        """Prepare; runs once, before the first message."""

    @abstractmethod
    async def handle(self, message, reply):
        """Handle one message.

        :param message: the message.
        :param reply: the :class:`Reply` of an ``ask``, or ``None``.
        :return: the answer, or ``LATER`` if ``reply`` will be set later.
        """


class TickingTask(Task):
    """A task that gets a :class:`wasabistage.timing.Tick` once per period.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    #: Time between two ticks, in seconds.
    tick_seconds = 0.1

    def __init__(self, context):
        super().__init__(context.metrics)
        self.context = context

    async def start(self):
        """Begin to tick."""
        self.subscribe(self.tick_seconds, self._on_tick)

    def subscribe(self, period, callback):
        """Have the timer service call a function once per period.

        :param period: seconds between two calls.
        :param callback: asynchronous function that takes a tick.
        """
        timers = self.context.timers
        self.nursery.start_soon(timers.run_subscription, period, callback)

    async def _on_tick(self, tick):
        self.tell(tick)


class _Later:
    """Type of the value that postpones an answer."""


LATER = _Later()
