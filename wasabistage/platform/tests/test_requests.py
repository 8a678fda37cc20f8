import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from wasabistage.edge import BadRequestError, Dispatch
from wasabistage.http1 import Request, ResponseHead
from wasabistage.platform._requests import (
    decode_request,
    decode_response,
    encode_error_headers,
    encode_request_headers,
    encode_response_headers,
)

HEADERS = [
    (b"Host", b"Nylo40.example:80"),
    (b"Wasabistage-Request-Id", b"9c41"),
    (b"Wasabistage-Model", b"daka"),
    (b"Wasabistage-Token-Count", b"1460,80"),
    (b"Wasabistage-Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
    (b"Wasabistage-Deadline-Ms", b"12000"),
    (b"Authorization", b"Bearer secret"),
    (b"X-Own", b"kept"),
]


def request(*more, headers=HEADERS, target=b"/a/%2f?x=1"):
    return Request(
        method=b"POST",
        target=target,
        headers=[*headers, *more],
        body=b"body",
        begun_at=1.0,
    )


def lowered(headers):
    return {name.lower(): value for name, value in headers}


class DecodeRequestTest(unittest.TestCase):
    def test_fields_are_decoded_and_target_is_kept(self):
        decoded = decode_request(request())
        self.assertEqual(decoded.host, "nylo40.example")
        self.assertEqual((decoded.target, decoded.path), (b"/a/%2f?x=1", b"/a/%2f"))
        self.assertEqual((decoded.key, decoded.patience), ("secret", 12.0))
        prompt = decoded.prompt
        self.assertEqual((prompt.model, prompt.prompt_tokens), ("daka", 1460))
        self.assertEqual([part.tokens for part in prompt.parts], [800, 410, 250])

    def test_malformed_requests_are_refused(self):
        no_id = [row for row in HEADERS if row[0] != b"Wasabistage-Request-Id"]
        framings = ((b"Transfer-Encoding", b"chunked"), (b"Content-Length", b"4"))
        cases = (
            request(headers=no_id),
            request((b"wasabistage-request-id", b"other")),
            request(*framings),
            request(target=b"http://elsewhere/"),
            request((b"Wasabistage-Deadline-Ms", b"soon")),
        )
        for case in cases:
            with self.subTest(case.headers[-1]), self.assertRaises(BadRequestError):
                decode_request(case)

    def test_what_is_the_systems_to_set_is_not_passed_on(self):
        forged = (
            (b"Wasabistage-Tenant", b"other"),
            (b"Wasabistage-Hold", b"h"),
            (b"Wasabistage-Pin-Ms", b"9"),
            (b"Wasabistage-Cache-Salt", b"x"),
            (b"Wasabistage-Kv-Backup", b"10.0.0.1:1"),
            (b"Kv-From", b"10.0.0.1:1/h"),
            (b"Connection", b"keep-alive, X-Hop"),
            (b"X-Hop", b"dropped"),
        )
        decoded = decode_request(request(*forged))
        sent = lowered(
            encode_request_headers(decoded, Dispatch(server="i-1", time_left=1.5))
        )
        for name, _ in forged:
            self.assertNotIn(name.lower(), sent)
        self.assertEqual(sent[b"x-own"], b"kept")
        self.assertEqual(sent[b"wasabistage-prompt-prefix"], HEADERS[4][1])
        self.assertEqual(sent[b"wasabistage-request-id"], b"9c41")


class EncodeDispatchTest(unittest.TestCase):
    def test_key_stays_here_and_the_account_goes_on(self):
        dispatch = Dispatch(server="i-1", time_left=1.5, account="small")
        sent = lowered(encode_request_headers(decode_request(request()), dispatch))
        self.assertNotIn(b"authorization", sent)
        self.assertEqual(sent[b"wasabistage-tenant"], b"small")
        self.assertEqual(sent[b"wasabistage-expect-instance"], b"i-1")
        self.assertEqual(sent[b"wasabistage-deadline-ms"], b"1500")

    def test_one_address_stands_for_each_part(self):
        dispatch = Dispatch(
            server="i-1",
            time_left=1.0,
            weight_version=3,
            urgency=1,
            cache_key="daka|3|",
            fetch_from=("10.0.0.9:1", "", ""),
            save_to=("", "10.0.0.8:1", ""),
            fetch_until=12.5,
        )
        sent = lowered(encode_request_headers(decode_request(request()), dispatch))
        self.assertEqual(sent[b"wasabistage-kv-fetch-from"], b"10.0.0.9:1,-,-")
        self.assertEqual(sent[b"wasabistage-kv-save-to"], b"-,10.0.0.8:1,-")
        self.assertEqual(sent[b"wasabistage-kv-until"], b"12500")
        self.assertEqual(sent[b"wasabistage-expect-version"], b"3")
        self.assertEqual(sent[b"wasabistage-request-urgency"], b"1")

    def test_resume_names_the_last_event_passed_on(self):
        came = decode_request(request((b"Last-Event-Id", b"3")))
        first = Dispatch(server="i-1", time_left=1.0)
        again = Dispatch(server="i-2", time_left=1.0, last_event="12")
        self.assertEqual(
            lowered(encode_request_headers(came, first))[b"last-event-id"], b"3"
        )
        self.assertEqual(
            lowered(encode_request_headers(came, again))[b"last-event-id"], b"12"
        )


def head(status, **fields):
    headers = [
        (name.replace("_", "-").encode(), value) for name, value in fields.items()
    ]
    return ResponseHead(
        status=status,
        reason=b"",
        headers=headers,
        fields={name.lower(): value for name, value in headers},
    )


class DecodeAnswerTest(unittest.TestCase):
    def test_not_run_is_said_by_header_or_421_only(self):
        said = head(503, Wasabistage_Not_Executed=b"1")
        self.assertTrue(decode_response(said).is_not_run)
        self.assertTrue(decode_response(head(421)).is_not_run)
        self.assertFalse(decode_response(head(503)).is_not_run)
        self.assertFalse(decode_response(head(429)).is_not_run)

    def test_success_needs_the_seal_and_no_encoding(self):
        sealed = {"Wasabistage_Response_Seal": b"s"}
        self.assertTrue(decode_response(head(200, **sealed)).is_verified_success)
        self.assertFalse(decode_response(head(200)).is_verified_success)
        encoded = head(200, Content_Encoding=b"gzip", **sealed)
        self.assertFalse(decode_response(encoded).is_verified_success)

    def test_load_and_version(self):
        facts = decode_response(
            head(
                200, Wasabistage_Server_Load=b"3,1,8", Wasabistage_Weight_Versions=b"4"
            )
        )
        self.assertEqual((facts.load.running, facts.load.waiting), (3, 1))
        self.assertEqual(facts.weight_version, 4)
        self.assertIsNone(decode_response(head(200, Wasabistage_Server_Load=b"x")).load)

    @given(st.binary(max_size=12))
    @example(b"inf")
    @example(b"1e999")
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_cold_time_yields_a_time_or_none(self, value):
        fields = {b"wasabistage-cold-ms": value}
        head = ResponseHead(status=200, reason=b"", headers=[], fields=fields)
        cold_left = decode_response(head).cold_left
        self.assertTrue(cold_left is None or cold_left >= 0.0)

    def test_cold_time_is_in_milliseconds(self):
        for value, expected in ((b"1500", 1.5), (b"0", 0.0), (b"-1", None)):
            fields = {b"wasabistage-cold-ms": value}
            head = ResponseHead(status=200, reason=b"", headers=[], fields=fields)
            self.assertEqual(decode_response(head).cold_left, expected)

    def test_duration_of_work_is_optional(self):
        load = decode_response(head(200, Wasabistage_Server_Load=b"3,1,8, 250")).load
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 8))
        self.assertEqual(load.pace, 2.5)
        for value in (b"3,1,8", b"3,1,8,", b"3,1,8,x", b"3,1,8,0", b"3,1,8,-5"):
            load = decode_response(head(200, Wasabistage_Server_Load=value)).load
            self.assertEqual((load.running, load.waiting), (3, 1))
            self.assertIsNone(load.pace)
        huge = b"3,1,8," + b"9" * 5000
        self.assertIsNone(
            decode_response(head(200, Wasabistage_Server_Load=huge)).load.pace
        )
        for value in (b"1,2", b"-1,2,3,100", b"1,2," + b"9" * 5000):
            self.assertIsNone(
                decode_response(head(200, Wasabistage_Server_Load=value)).load
            )

    def test_seal_goes_on_and_channel_headers_do_not(self):
        answer = head(
            200, Wasabistage_Response_Seal=b"s", Keep_Alive=b"timeout=3", X=b"y"
        )
        self.assertEqual(
            set(lowered(encode_response_headers(answer))),
            {b"wasabistage-response-seal", b"x"},
        )

    def test_refusal_names_when_to_come_back(self):
        self.assertEqual(
            encode_error_headers("9c41", 0.25),
            [(b"wasabistage-request-id", b"9c41"), (b"retry-after", b"0.25")],
        )


if __name__ == "__main__":
    unittest.main()
