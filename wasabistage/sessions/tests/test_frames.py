import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.sessions import (
    AnswerAssembler,
    AnswerDigest,
    EndFrame,
    Fault,
    Frame,
    FrameAction,
    FrameChecker,
    Rejection,
    ResumeToken,
)

ITEMS = (b"one", b"", b"two", b"three")


def frames(items=ITEMS, request_id="r"):
    digest = AnswerDigest()
    sent = []
    for position, data in enumerate(items):
        sent.append(Frame(request_id=request_id, position=position, data=data))
        digest.add(data)
    end = EndFrame(request_id=request_id, length=len(items), digest=digest.value())
    return [*sent, end]


def fault_of(sent, check=None):
    check = check or FrameChecker("r")
    for frame in sent:
        step = check.check(frame)
        if isinstance(step, Rejection):
            return step.fault
    return None if check.ended else "cut"


class TestFrames(unittest.TestCase):
    def test_whole_answer(self):
        assembler = AnswerAssembler("r")
        steps = [assembler.add(frame) for frame in frames()]
        self.assertEqual(steps[-1], FrameAction.WHOLE)
        self.assertEqual(tuple(assembler.items), ITEMS)

    def test_each_fault_is_named(self):
        sent = frames()
        other = frames(request_id="other")
        changed = [Frame(request_id="r", position=0, data=b"x"), *sent[1:]]
        moved = frames((b"on", b"e", b"two", b"three"))[:4] + sent[4:]
        cases = {
            Fault.CROSSED: [sent[0], other[1]],
            Fault.GAP: [sent[0], sent[2]],
            Fault.LENGTH: [*sent[:3], sent[4]],
            Fault.LATE: [*sent, sent[0]],
            Fault.DIGEST: changed,
            "cut": sent[:4],
            None: [sent[0], sent[0], *sent[1:]],
        }
        for fault, received in cases.items():
            self.assertEqual(fault_of(received), fault)
        self.assertEqual(fault_of(moved), Fault.DIGEST)

    def test_error_names_remedy(self):
        error = Rejection(fault=Fault.GAP, resume_at=3).error()
        self.assertIn("resume", str(error))

    def test_resume_checks_what_the_caller_already_has(self):
        assembler = AnswerAssembler("r")
        for frame in frames()[:2]:
            assembler.add(frame)
        token = assembler.build_resume_token()
        check = FrameChecker("r", resume=token)
        passed = [
            frame for frame in frames() if check.check(frame) is not FrameAction.DROP
        ]
        self.assertEqual([f.position for f in passed[:-1]], [2, 3])
        other = frames((b"uno", *ITEMS[1:]))
        self.assertEqual(fault_of(other, FrameChecker("r", resume=token)), Fault.PREFIX)

    def test_resume_after_last_item_and_beyond_the_end(self):
        for position, expected in ((4, None), (9, Fault.PREFIX)):
            token = ResumeToken(request_id="r", position=position)
            check = FrameChecker("r", resume=token)
            self.assertEqual(fault_of(frames(), check), expected)

    def test_bad_digest_discards_everything(self):
        assembler = AnswerAssembler("r")
        assembler.add(Frame(request_id="r", position=0, data=b"x"))
        for frame in frames()[1:]:
            assembler.add(frame)
        self.assertFalse(assembler.whole)
        self.assertEqual(assembler.build_resume_token().position, 0)

    def test_size_is_bounded(self):
        assembler = AnswerAssembler("r", max_bytes=4)
        steps = [assembler.add(frame) for frame in frames()[:3]]
        self.assertEqual(steps[-1].fault, Fault.TOO_LONG)
        self.assertEqual(assembler.items, [])

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.binary(max_size=3), max_size=6),
        st.lists(st.tuples(st.integers(0, 7), st.integers(0, 3)), max_size=40),
    )
    def test_nothing_but_the_true_answer_is_ever_whole(self, items, moves):
        """Frames come late, doubled, crossed, changed, over many connections."""
        truth = frames(items)
        assembler = AnswerAssembler("r")
        for index, kind in moves:
            frame = truth[index % len(truth)]
            if kind == 1:
                frame = frames(items, "other")[index % len(truth)]
            elif kind == 2 and isinstance(frame, Frame):
                frame = Frame(request_id="r", position=frame.position, data=b"wrong")
            assembler.add(frame)
            if assembler.whole:
                self.assertEqual(assembler.items, items)
        while not assembler.whole:
            check = FrameChecker("r", resume=assembler.build_resume_token())
            for frame in truth:
                step = check.check(frame)
                if isinstance(step, Rejection):
                    assembler = AnswerAssembler("r")
                    break
                if step is not FrameAction.DROP:
                    assembler.add(frame)
        self.assertEqual(assembler.items, items)
