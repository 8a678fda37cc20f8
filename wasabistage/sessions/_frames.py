"""Checks that an answer is whole and belongs to its request."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Ran
from wasabistage.exceptions import IntegrityError


class Fault(StrEnum):
    """What is wrong with a frame."""

    CROSSED = "crossed"
    GAP = "gap"
    LATE = "late"
    LENGTH = "length"
    DIGEST = "digest"
    PREFIX = "prefix"
    TOO_LONG = "too_long"


class FrameAction(StrEnum):
    """What to do with a frame that is not at fault."""

    TAKE = "take"
    DROP = "drop"
    WHOLE = "whole"


@dataclass(frozen=True, kw_only=True)
class Frame:
    """One item of an answer.

    :param request_id: id of the request that it answers.
    :param position: index of the item within the answer, from 0.
    :param data: the item's bytes.
    """

    request_id: str
    position: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class EndFrame:
    """End mark of an answer.

    :param request_id: id of the request that it answers.
    :param length: number of items in the whole answer.
    :param digest: digest of the whole answer, see :class:`AnswerDigest`.
    """

    request_id: str
    length: int
    digest: str


@dataclass(frozen=True, kw_only=True)
class Rejection:
    """Decision: this connection delivers wrong frames; close it.

    :param fault: what is wrong.
    :param resume_at: position at which to resume on a new connection; 0 discards
        every item taken so far.
    """

    fault: Fault
    resume_at: int

    def error(self):
        """Build the error for a caller when resuming isn't possible.

        :return: an :class:`wasabistage.exceptions.IntegrityError`.
        """
        return IntegrityError(
            f"the answer broke off at item {self.resume_at} ({self.fault})",
            remedy="resume the stream by its request id and next position",
            ran=Ran.UNKNOWN,
        )


@dataclass(frozen=True, kw_only=True)
class ResumeToken:
    """What a caller sends to another entry instance to get the rest.

    :param request_id: id of the request.
    :param position: index of the next item.
    :param digest: digest of the items before it; empty to skip that check.
    """

    request_id: str
    position: int
    digest: str = ""


class AnswerDigest:
    """SHA-256 over items, each with its length before it.

    The lengths make the borders of items part of what is checked.
    """

    def __init__(self):
        self.hasher = hashlib.sha256()
        self.length = 0

    def add(self, data):
        """Add the next item.

        :param data: the item's bytes.
        """
        self.hasher.update(len(data).to_bytes(4, "big"))
        self.hasher.update(data)
        self.length += 1

    def value(self):
        """Return the digest of the items so far.

        :return: hexadecimal text.
        """
        return self.hasher.hexdigest()


class FrameChecker:
    """Check of every frame of one hop.

    An entry instance that takes a stream over asks the engine from position 0, so
    that its digest covers the whole answer; it passes on the items from the caller's
    position and compares the caller's digest there with its own.

    :param request_id: id of the request whose answer is expected.
    :param resume: the caller's :class:`ResumeToken`; ``None`` for a fresh answer.
    """

    def __init__(self, request_id, resume=None):
        self.request_id = request_id
        self.resume = resume
        self.digest = AnswerDigest()
        self.ended = False
        self.dropped = 0

    @property
    def position(self):
        """Index of the next expected item."""
        return self.digest.length

    def check(self, frame):
        """Check the next frame that arrived.

        :param frame: a :class:`Frame` or an :class:`EndFrame`.
        :return: a :class:`FrameAction`, or a :class:`Rejection`.
        """
        if frame.request_id != self.request_id:
            return self._reject(Fault.CROSSED)
        if self.ended:
            return self._reject(Fault.LATE)
        if isinstance(frame, EndFrame):
            return self._check_end(frame)
        if frame.position > self.position:
            return self._reject(Fault.GAP)
        if frame.position < self.position:
            # Its content needs no look: the digest speaks for the first copy.
            self.dropped += 1
            return FrameAction.DROP
        if not self._prefix_matches():
            return Rejection(fault=Fault.PREFIX, resume_at=0)
        self.digest.add(frame.data)
        wanted = self.resume is None or frame.position >= self.resume.position
        return FrameAction.TAKE if wanted else FrameAction.DROP

    def _prefix_matches(self):
        token = self.resume
        if token is None or not token.digest or token.position != self.position:
            return True
        return token.digest == self.digest.value()

    def _check_end(self, end):
        if end.length != self.position:
            return self._reject(Fault.LENGTH)
        if not self._prefix_matches():
            return Rejection(fault=Fault.PREFIX, resume_at=0)
        if end.digest != self.digest.value():
            return Rejection(fault=Fault.DIGEST, resume_at=0)
        if self.resume is not None and self.resume.position > self.position:
            return Rejection(fault=Fault.PREFIX, resume_at=0)
        self.ended = True
        return FrameAction.WHOLE

    def _reject(self, fault):
        return Rejection(fault=fault, resume_at=self.position)


class AnswerAssembler:
    """Caller's side: collects an answer over any number of connections.

    :param request_id: id of the request.
    :param max_bytes: bound of the collected answer, in bytes.
    """

    def __init__(self, request_id, max_bytes=16 << 20):
        self.request_id = request_id
        self.max_bytes = max_bytes
        self.check = FrameChecker(request_id)
        self.items = []
        self.size = 0

    @property
    def whole(self):
        """Whether the end mark arrived and fits."""
        return self.check.ended

    def add(self, frame):
        """Take a frame of the current connection.

        :param frame: a :class:`Frame` or an :class:`EndFrame`.
        :return: a :class:`FrameAction`, or a :class:`Rejection`.
        """
        step = self.check.check(frame)
        if isinstance(step, Rejection) and step.resume_at < len(self.items):
            self._restart()
        if step is not FrameAction.TAKE:
            return step
        self.size += len(frame.data)
        if self.size > self.max_bytes:
            self._restart()
            return Rejection(fault=Fault.TOO_LONG, resume_at=0)
        self.items.append(frame.data)
        return step

    def build_resume_token(self):
        """Say what to ask another entry instance for.

        :return: a :class:`ResumeToken`.
        """
        return ResumeToken(
            request_id=self.request_id,
            position=self.check.position,
            digest=self.check.digest.value(),
        )

    def _restart(self):
        self.check = FrameChecker(self.request_id)
        self.items = []
        self.size = 0
