import os
import random
import unittest
import zlib
from dataclasses import replace
from pathlib import Path

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.declarations import (
    BAD_RECORD,
    NO_CONFIGURATION,
    UNREADABLE,
    BackendServer,
    ClientAccount,
    ConfigFold,
    ConfigProposed,
    ConfigState,
    Deployment,
    InForceQuery,
    LogRead,
    LogRecord,
    PeerState,
    PutInForce,
    RaiseAlarm,
    Statement,
    check_folder,
    decode_deployment,
    decode_record,
    diff_deployments,
    digest_of,
    encode_deployment,
    encode_record,
)
from wasabistage.declarations.tests.world import make_deployment
from wasabistage.exceptions import DeclarationError, SettingError

EXAMPLES = Path(__file__).parents[3] / "examples"


#: A longer run: set the variable to the number of inputs.
INPUTS = int(os.environ.get("WASABISTAGE_INPUTS", "300"))


def proposal(number, base, id="p", payload=None, format=1):
    payload = encode_deployment(make_deployment(number)) if payload is None else payload
    return ConfigProposed(
        id=id,
        base_version=base,
        digest=digest_of(payload),
        payload=payload,
        format=format,
    )


def read(*records, start=0):
    found = tuple(
        LogRecord(offset=start + index, data=encode_record(record))
        for index, record in enumerate(records)
    )
    end = start + len(found)
    return LogRead(start=start, end=end, records=found, tail=end)


class TestCodec(unittest.TestCase):
    def test_examples_come_back_equal_with_a_stable_digest(self):
        for name in ("padavu", "luminosos"):
            deployment = check_folder(EXAMPLES / name).deployment
            payload = encode_deployment(deployment)
            self.assertEqual(decode_deployment(payload), deployment)
            servers = dict(reversed(deployment.servers.items()))
            other = encode_deployment(replace(deployment, servers=servers))
            self.assertEqual(digest_of(other), digest_of(payload))

    def test_plaintext_key_is_never_written(self):
        account = ClientAccount(name="a", key_hashes=("hunter2",))
        with self.assertRaises(DeclarationError) as caught:
            encode_deployment(Deployment(name="d", accounts={"a": account}))
        self.assertNotIn("hunter2", str(caught.exception))

    def test_too_large_is_refused(self):
        with self.assertRaisesRegex(DeclarationError, "above"):
            encode_deployment(Deployment(name="d" * (4 << 20)))

    def test_other_formats_and_faults_are_unreadable(self):
        payload = encode_deployment(make_deployment(1))
        server = BackendServer(name="s", address="127.0.0.1:1", models=("nil",))
        dangling = Deployment(name="d", servers={"s": server})
        plain = msgspec.to_builtins(dangling, str_keys=True)
        text = zlib.decompress(payload)
        for data, format in (
            (payload, 2),
            (payload[:-1], 1),
            (payload + b"x", 1),
            (zlib.compress(b"[" * 100_000), 1),
            (zlib.compress(b" " * (5 << 20)), 1),
            (zlib.compress(text.replace(b'"name":"a"', b'"name":"b"')), 1),
            (zlib.compress(msgspec.json.encode(plain)), 1),
        ):
            found = decode_deployment(data, format)
            self.assertTrue(UNREADABLE.has_same_name(found), data[:40])

    @settings(max_examples=INPUTS, derandomize=True, deadline=None, database=None)
    @given(st.binary(max_size=80), st.integers(0, 1 << 16))
    def test_any_bytes_decode_to_a_record_or_a_reason(self, data, place):
        self.assertTrue(BAD_RECORD.has_same_name(decode_record(data)))
        good = encode_record(proposal(1, 0))
        cut = place % len(good)
        mixed = good[:cut] + data + good[cut + len(data) :]
        found = decode_record(mixed)
        self.assertTrue(
            BAD_RECORD.has_same_name(found) or isinstance(found, ConfigProposed)
        )


class TestFold(unittest.TestCase):
    def setUp(self):
        self.fold = ConfigFold().reset()

    def in_force(self):
        return self.fold.decide(InForceQuery(), 0)

    def test_nothing_known(self):
        self.assertTrue(NO_CONFIGURATION.has_same_name(self.in_force()))
        with self.assertRaises(SettingError):
            ConfigFold(max_held=0).reset()

    def test_first_of_two_with_one_base_wins(self):
        self.fold.observe(read(proposal(1, 0, "a"), proposal(2, 0, "b")), 0)
        self.assertEqual(self.in_force().version, 1)
        actions = [a for a in self.fold.tick(0) if isinstance(a, PutInForce)]
        self.assertEqual([action.version for action in actions], [1])

    def test_junk_is_passed_over_with_a_bounded_alarm(self):
        draw = random.Random(3)
        junk = [LogRecord(offset=i, data=draw.randbytes(30)) for i in range(300)]
        self.fold.observe(LogRead(start=0, end=300, records=tuple(junk)), 0)
        alarms = [a for a in self.fold.tick(0) if isinstance(a, RaiseAlarm)]
        self.assertEqual((len(alarms), self.fold.alarm_count_), (100, 300))

    def test_future_format_keeps_the_last_readable_and_the_chain_goes_on(self):
        future = proposal(0, 1, "b", payload=b"new", format=2)
        self.fold.observe(read(proposal(1, 0, "a"), future), 0)
        answer = self.in_force()
        self.assertEqual((answer.version, answer.head), (1, 2))
        self.fold.observe(read(proposal(3, 2, "c"), start=2), 0)
        self.assertEqual(self.in_force().version, 3)

    def test_peer_state_with_a_wrong_digest_is_refused(self):
        statement = Statement(version=1, id="x", digest="0", payload=b"{}", format=1)
        state = ConfigState(next=5, last_proposal=0, head=statement)
        self.fold.observe(PeerState(state=state), 0)
        self.assertEqual(self.fold.state_.next, 0)
        self.assertIn("digest", self.fold.tick(0)[0].reason)

    def test_held_records_are_bounded(self):
        fold = ConfigFold(max_held=4).reset()
        records = [proposal(n, 50 + n, f"p{n}") for n in range(9)]
        fold.observe(read(*records, start=100), 0)
        self.assertEqual((len(fold.gap_.held), fold.gap_.start), (4, 105))
        fold = ConfigFold(max_held_bytes=1).reset()
        fold.observe(read(*records, start=100), 0)
        self.assertEqual((len(fold.gap_.held), fold.gap_.start), (0, 109))


class TestDiff(unittest.TestCase):
    def test_changes_are_readable_and_digests_short(self):
        old, new = make_deployment(1), make_deployment(2)
        server = BackendServer(name="s", address="127.0.0.1:1")
        changes = diff_deployments(old, replace(new, servers={"s": server}))
        texts = [str(change) for change in changes]
        self.assertIn("[account a] key_hashes: 00000000... -> 00000000...", texts)
        self.assertIn("[account a] weight: 2.0 -> 3.0", texts)
        self.assertIn("[server s] added", texts)
        self.assertEqual(diff_deployments(old, old), [])


if __name__ == "__main__":
    unittest.main()
