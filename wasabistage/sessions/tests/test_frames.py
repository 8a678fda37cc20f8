import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.sessions import (
    AnswerAssembler,
    AnswerDigest,
    EndFrame,
    Frame,
    FrameAction,
    FrameChecker,
    FrameFault,
    Rejection,
    ResumeToken,
)

ITEMS = (b"one", b"", b"two", b"three")


def build_frames(items=ITEMS, request_id="r"):
    digest = AnswerDigest()
    built = []
    for position, data in enumerate(items):
        built.append(Frame(request_id=request_id, position=position, data=data))
        digest.add(data)
    end = EndFrame(request_id=request_id, length=len(items), digest=digest.value())
    return [*built, end]


def find_fault(received, checker=None):
    checker = checker or FrameChecker("r")
    for frame in received:
        result = checker.check(frame)
        if isinstance(result, Rejection):
            return result.fault
    return None if checker.ended else "incomplete"


class TestFrames(unittest.TestCase):
    def test_answer_with_all_frames_is_complete(self):
        assembler = AnswerAssembler("r")
        results = [assembler.add(frame) for frame in build_frames()]
        self.assertEqual(results[-1], FrameAction.WHOLE)
        self.assertEqual(tuple(assembler.items), ITEMS)

    def test_faulty_frames_are_rejected_with_their_fault(self):
        sent = build_frames()
        other = build_frames(request_id="other")
        changed = [Frame(request_id="r", position=0, data=b"x"), *sent[1:]]
        other_boundaries = build_frames((b"on", b"e", b"two", b"three"))[:4] + sent[4:]
        cases = {
            FrameFault.CROSSED: [sent[0], other[1]],
            FrameFault.GAP: [sent[0], sent[2]],
            FrameFault.LENGTH: [*sent[:3], sent[4]],
            FrameFault.LATE: [*sent, sent[0]],
            FrameFault.DIGEST: changed,
            "incomplete": sent[:4],
            None: [sent[0], sent[0], *sent[1:]],
        }
        for fault, received in cases.items():
            self.assertEqual(find_fault(received), fault)
        self.assertEqual(find_fault(other_boundaries), FrameFault.DIGEST)

    def test_error_of_a_rejection_says_how_to_resume(self):
        error = Rejection(fault=FrameFault.GAP, resume_position=3).error()
        self.assertIn("resume", str(error))

    def test_resumed_stream_starts_at_the_position_and_rejects_another_prefix(self):
        assembler = AnswerAssembler("r")
        for frame in build_frames()[:2]:
            assembler.add(frame)
        token = assembler.build_resume_token()
        checker = FrameChecker("r", resume=token)
        passed = [
            frame
            for frame in build_frames()
            if checker.check(frame) is not FrameAction.DROP
        ]
        self.assertEqual([f.position for f in passed[:-1]], [2, 3])
        other = build_frames((b"uno", *ITEMS[1:]))
        self.assertEqual(
            find_fault(other, FrameChecker("r", resume=token)), FrameFault.PREFIX
        )

    def test_resume_after_the_end_is_rejected_but_not_at_the_end(self):
        for position, expected in ((4, None), (9, FrameFault.PREFIX)):
            token = ResumeToken(request_id="r", position=position)
            checker = FrameChecker("r", resume=token)
            self.assertEqual(find_fault(build_frames(), checker), expected)

    def test_wrong_digest_discards_all_items(self):
        assembler = AnswerAssembler("r")
        assembler.add(Frame(request_id="r", position=0, data=b"x"))
        for frame in build_frames()[1:]:
            assembler.add(frame)
        self.assertFalse(assembler.is_complete)
        self.assertEqual(assembler.build_resume_token().position, 0)

    def test_answer_above_the_size_bound_is_rejected(self):
        assembler = AnswerAssembler("r", max_bytes=4)
        results = [assembler.add(frame) for frame in build_frames()[:3]]
        self.assertEqual(results[-1].fault, FrameFault.TOO_LONG)
        self.assertEqual(assembler.items, [])

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.binary(max_size=3), max_size=6),
        st.lists(st.tuples(st.integers(0, 7), st.integers(0, 3)), max_size=40),
    )
    def test_answer_is_complete_only_with_the_sent_items(self, items, arrivals):
        """Frames arrive out of order, twice, for another request, or changed."""
        sent_frames = build_frames(items)
        assembler = AnswerAssembler("r")
        # kind 1: frame of another request; 2: other data; 0 and 3: frame as sent
        for index, kind in arrivals:
            frame = sent_frames[index % len(sent_frames)]
            if kind == 1:
                frame = build_frames(items, "other")[index % len(sent_frames)]
            elif kind == 2 and isinstance(frame, Frame):
                frame = Frame(request_id="r", position=frame.position, data=b"wrong")
            assembler.add(frame)
            if assembler.is_complete:
                self.assertEqual(assembler.items, items)
        while not assembler.is_complete:
            checker = FrameChecker("r", resume=assembler.build_resume_token())
            for frame in sent_frames:
                result = checker.check(frame)
                if isinstance(result, Rejection):
                    assembler = AnswerAssembler("r")
                    break
                if result is not FrameAction.DROP:
                    assembler.add(frame)
        self.assertEqual(assembler.items, items)
