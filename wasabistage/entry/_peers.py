"""Calls between entry instances: gRPC by grpclib, messages by msgspec.

grpclib runs on asyncio; the whole entry process runs inside one
``trio_asyncio.open_loop()``, and each call crosses over here and nowhere else. Each
call carries the deployment's peer key, so that a caller of the deployment who reaches
a peer address is refused.
"""

import hmac
from dataclasses import dataclass

import msgspec
import trio
import trio_asyncio
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from wasabistage.base import Ran
from wasabistage.exceptions import (
    OutcomeUnknownError,
    UnauthorizedError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.observe import make_logger

KEY_HEADER = "x-peer-key"
CALL_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
PATH = "/wasabistage.Peer/"
log = make_logger("peer")


class MsgpackCodec(CodecBase):
    """Codec that writes data classes as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message, message_type):
        """Encode a message.

        :param message: instance of a data class.
        :param message_type: its declared type.
        :return: bytes.
        """
        return msgspec.msgpack.encode(message)

    def decode(self, data, message_type):
        """Decode and check a message.

        :param data: bytes.
        :param message_type: type that it must have.
        :return: an instance of that type.
        """
        return msgspec.msgpack.decode(data, type=message_type)


@dataclass(frozen=True, kw_only=True)
class PeerMethod:
    """One method that entries call on each other.

    :param name: its name on the wire.
    :param request: type of the request.
    :param reply: type of the reply.
    """

    name: str
    request: type
    reply: type


def log_loop_error(loop, context):
    """Write an error that asyncio code left unhandled to the log.

    The loop's own handler would end the process, although such an error is a
    finalizer's or a broken connection's.

    :param loop: the event loop.
    :param context: dict with the ``message`` and perhaps the ``exception``.
    """
    error = context.get("exception")
    # An exception's message may repeat what was sent.
    reason = type(error).__name__ if error else str(context.get("message"))
    log.error("asyncio left an error unhandled", extra={"reason": reason})


class PeerServer:
    """Answers the calls of other entries.

    :param address: ``IP:PORT`` to listen on.
    :param peer_key: secret shared by the entries of the deployment.
    """

    def __init__(self, address, peer_key):
        self.address = address
        self.peer_key = peer_key
        self.handlers = {}

    def serve(self, method, handler):
        """Answer a method.

        :param method: a :class:`PeerMethod`.
        :param handler: asynchronous trio function of the request, returns the reply.
        """
        self.handlers[PATH + method.name] = Handler(
            self._adapt(handler),
            Cardinality.UNARY_UNARY,
            method.request,
            method.reply,
        )

    def __mapping__(self):
        return self.handlers

    def _adapt(self, handler):
        on_trio = trio_asyncio.trio_as_aio(handler)

        async def answer(stream):
            offered = (stream.metadata or {}).get(KEY_HEADER, "")
            if not hmac.compare_digest(offered.encode(), self.peer_key.encode()):
                raise GRPCError(Status.UNAUTHENTICATED, "wrong peer key")
            request = await stream.recv_message()
            try:
                reply = await on_trio(request)
            except WasabistageError as error:
                raise GRPCError(
                    Status.FAILED_PRECONDITION, f"{error.kind}: {error}"
                ) from error
            await stream.send_message(reply)

        return answer

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled.

        :param task_status: told once the address is bound.
        """
        host, _, port = self.address.rpartition(":")
        server = Server([self], codec=MsgpackCodec())
        await trio_asyncio.aio_as_trio(server.start)(host, int(port))
        task_status.started()
        try:
            await trio.sleep_forever()
        finally:
            server.close()


class PeerClient:
    """Calls other entries, over one connection each.

    :param peer_key: secret shared by the entries of the deployment.
    :param metrics: a :class:`wasabistage.observe.Metrics`.
    """

    def __init__(self, peer_key, metrics):
        self.peer_key = peer_key
        self.metrics = metrics
        self.channels = {}

    async def call(self, address, method, request, timeout=CALL_TIMEOUT_SECONDS):
        """Call a method of another entry.

        :param address: ``IP:PORT`` of the peer.
        :param method: a :class:`PeerMethod`.
        :param request: the request.
        :param timeout: longest wait for the reply, in seconds.
        :return: the reply.
        :raises UnavailableError: if nothing was sent.
        :raises OutcomeUnknownError: if it was sent and no reply came.
        """
        self.metrics.count("peer.calls")
        try:
            return await self._call(address, method, request, timeout)
        except WasabistageError:
            self.metrics.count("peer.failures")
            raise

    async def _call(self, address, method, request, timeout):
        channel = await self._connect(address)
        stub = UnaryUnaryMethod(
            channel, PATH + method.name, method.request, method.reply
        )
        headers = {KEY_HEADER: self.peer_key}

        async def send():
            return await stub(request, timeout=timeout, metadata=headers)

        try:
            return await trio_asyncio.aio_as_trio(send)()
        except GRPCError as error:
            raise _translate(address, error) from error
        except (StreamTerminatedError, OSError, TimeoutError) as error:
            self.forget(address)
            raise _unknown(address, type(error).__name__) from error
        finally:
            self._close_orphan(address, channel)

    def _close_orphan(self, address, channel):
        """Close a channel that another call has dropped in the meantime.

        A dropped channel that connects again would be closed by nobody.
        """
        if self.channels.get(address) is not channel:
            channel.close()

    async def _connect(self, address):
        channel = self.channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), codec=MsgpackCodec())
            self.channels[address] = channel
        try:
            with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                # Connecting apart from the call tells "not sent" from "no reply".
                await trio_asyncio.aio_as_trio(channel.__connect__)()
        except (OSError, trio.TooSlowError) as error:
            self.forget(address)
            channel.close()
            raise UnavailableError(
                f"no connection to the entry at {address}",
                remedy="another entry is tried",
            ) from error
        return channel

    def forget(self, address):
        """Close the connection to a peer.

        :param address: ``IP:PORT`` of the peer.
        """
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self):
        """Close every connection."""
        for address in list(self.channels):
            self.forget(address)


def _translate(address, error):
    if error.status is Status.UNAUTHENTICATED:
        return UnauthorizedError(
            f"the entry at {address} refused the peer key",
            remedy="give every entry of the deployment the same peer_key",
        )
    if error.status is Status.FAILED_PRECONDITION:
        return UnavailableError(
            f"the entry at {address} refused: {error.message}",
            remedy="see the refusal's own remedy",
        )
    return _unknown(address, error.status.name)


def _unknown(address, reason):
    return OutcomeUnknownError(
        f"no reply from the entry at {address}: {reason}",
        remedy="ask again with the same key",
        ran=Ran.UNKNOWN,
    )
