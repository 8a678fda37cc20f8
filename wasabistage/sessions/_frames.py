"""Checks that an answer is complete and belongs to its request."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Ran
from wasabistage.exceptions import IntegrityError


class FrameFault(StrEnum):
    """Reason to reject a frame.

    ``CROSSED``: the frame belongs to another request. ``GAP``: items before the
    frame are missing. ``LATE``: the frame came after the end mark. ``LENGTH``: the
    end mark states another number of items than arrived. ``DIGEST``: the digest of
    the items differs from the digest of the end mark. ``PREFIX``: the items that
    the caller already has differ, or are more than the answer has. ``TOO_LONG``:
    the answer exceeds the size bound.
    """

    CROSSED = "crossed"
    GAP = "gap"
    LATE = "late"
    LENGTH = "length"
    DIGEST = "digest"
    PREFIX = "prefix"
    TOO_LONG = "too_long"


class FrameAction(StrEnum):
    """What to do with a valid frame.

    ``TAKE``: use the item. ``DROP``: ignore the item, since the receiver has it
    already. ``WHOLE``: the frame is the end mark and the answer is complete.
    """

    TAKE = "take"
    DROP = "drop"
    WHOLE = "whole"


@dataclass(frozen=True, kw_only=True)
class Frame:
    """One item of an answer.

    :param request_id: id of the request that the item answers.
    :param position: index of the item within the answer, from 0.
    :param data: the item's bytes.
    """

    request_id: str
    position: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class EndFrame:
    """End mark of an answer.

    :param request_id: id of the request that the answer belongs to.
    :param length: number of items in the complete answer.
    :param digest: digest of the complete answer, see :class:`AnswerDigest`.
    """

    request_id: str
    length: int
    digest: str


@dataclass(frozen=True, kw_only=True)
class Rejection:
    """Decision: close a connection that delivered an invalid frame.

    :param fault: reason to reject the frame.
    :param resume_position: position at which to resume on a new connection; with 0,
        every item taken so far has to be discarded.
    """

    fault: FrameFault
    resume_position: int

    def error(self):
        """Build the error that a caller gets if the stream can't be resumed.

        :return: an :class:`wasabistage.exceptions.IntegrityError`.
        """
        return IntegrityError(
            f"the answer broke off at item {self.resume_position} ({self.fault})",
            remedy="resume the stream by its request id and next position",
            ran=Ran.UNKNOWN,
        )


@dataclass(frozen=True, kw_only=True)
class ResumeToken:
    """Position and digest that a caller sends to an entry instance to resume a stream.

    :param request_id: id of the request.
    :param position: index of the next item.
    :param digest: digest of the items before it; empty to skip that check.
    """

    request_id: str
    position: int
    digest: str = ""


class AnswerDigest:
    """SHA-256 digest of items, each preceded by its length.

    Because of the lengths, the digest also covers the boundaries of the items.
    """

    def __init__(self):
        self.hasher = hashlib.sha256()
        self.item_count = 0

    def add(self, data):
        """Add the next item.

        :param data: the item's bytes.
        """
        self.hasher.update(len(data).to_bytes(4, "big"))
        self.hasher.update(data)
        self.item_count += 1

    def value(self):
        """Return the digest of the items added so far.

        :return: hexadecimal text.
        """
        return self.hasher.hexdigest()


class FrameChecker:
    """Checker of the frames of one answer, at an entry instance or in a client.

    An entry instance that resumes a stream requests it from the engine from position
    0, so that its digest covers the complete answer. It passes on the items from the
    caller's position and compares the caller's digest there with its own.

    :param request_id: id of the request whose answer is expected.
    :param resume: the caller's :class:`ResumeToken`; ``None`` for a new answer.
    :ivar ended: whether the end mark arrived and the answer is complete.
    :ivar duplicates: number of items dropped because they had arrived before.
    """

    def __init__(self, request_id, resume=None):
        self.request_id = request_id
        self.resume = resume
        self.digest = AnswerDigest()
        self.ended = False
        self.duplicates = 0

    @property
    def position(self):
        """Index of the next expected item."""
        return self.digest.item_count

    def check(self, frame):
        """Check the next frame.

        :param frame: a :class:`Frame` or an :class:`EndFrame`.
        :return: a :class:`FrameAction`, or a :class:`Rejection`.
        """
        if frame.request_id != self.request_id:
            return self._reject(FrameFault.CROSSED)
        if self.ended:
            return self._reject(FrameFault.LATE)
        if isinstance(frame, EndFrame):
            return self._check_end(frame)
        if frame.position > self.position:
            return self._reject(FrameFault.GAP)
        if frame.position < self.position:
            # Its data isn't compared: the digest covers the first copy.
            self.duplicates += 1
            return FrameAction.DROP
        if not self._prefix_matches():
            return Rejection(fault=FrameFault.PREFIX, resume_position=0)
        self.digest.add(frame.data)
        is_wanted = self.resume is None or frame.position >= self.resume.position
        return FrameAction.TAKE if is_wanted else FrameAction.DROP

    def _prefix_matches(self):
        token = self.resume
        if token is None or not token.digest or token.position != self.position:
            return True
        return token.digest == self.digest.value()

    def _check_end(self, end):
        if end.length != self.position:
            return self._reject(FrameFault.LENGTH)
        if not self._prefix_matches():
            return Rejection(fault=FrameFault.PREFIX, resume_position=0)
        if end.digest != self.digest.value():
            return Rejection(fault=FrameFault.DIGEST, resume_position=0)
        if self.resume is not None and self.resume.position > self.position:
            return Rejection(fault=FrameFault.PREFIX, resume_position=0)
        self.ended = True
        return FrameAction.WHOLE

    def _reject(self, fault):
        return Rejection(fault=fault, resume_position=self.position)


class AnswerAssembler:
    """Assembler of a caller's answer, over any number of connections.

    :param request_id: id of the request.
    :param max_bytes: upper bound of the answer, in bytes.
    :ivar check: :class:`FrameChecker` of the frames since the last restart.
    :ivar items: bytes of the items so far.
    :ivar total_bytes: size of these items, in bytes.
    """

    def __init__(self, request_id, max_bytes=16 << 20):
        self.request_id = request_id
        self.max_bytes = max_bytes
        self.check = FrameChecker(request_id)
        self.items = []
        self.total_bytes = 0

    @property
    def is_complete(self):
        """Return whether the end mark arrived and matches the items."""
        return self.check.ended

    def add(self, frame):
        """Add a frame of the current connection.

        :param frame: a :class:`Frame` or an :class:`EndFrame`.
        :return: a :class:`FrameAction`, or a :class:`Rejection`.
        """
        result = self.check.check(frame)
        if isinstance(result, Rejection) and result.resume_position < len(self.items):
            self._restart()
        if result is not FrameAction.TAKE:
            return result
        self.total_bytes += len(frame.data)
        if self.total_bytes > self.max_bytes:
            self._restart()
            return Rejection(fault=FrameFault.TOO_LONG, resume_position=0)
        self.items.append(frame.data)
        return result

    def build_resume_token(self):
        """Build the token with which to resume at another entry instance.

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
        self.total_bytes = 0
