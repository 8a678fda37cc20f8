import unittest

import httpx
import trio

from wasabistage.observe import Tracer
from wasabistage.reference import EngineRequest, HttpEngineClient


class TestTraceHeaders(unittest.TestCase):
    def test_engine_hears_the_trace_and_nothing_else_of_its_headers(self):
        heard = []

        def answer(request):
            heard.append(request.headers)
            return httpx.Response(200, text="data: [DONE]\n\n")

        async def run():
            transport = httpx.MockTransport(answer)
            async with httpx.AsyncClient(transport=transport) as http:
                tracer = Tracer("entry-1")
                sent = f"00-{'ab' * 16}-{'cd' * 8}-01"
                carrier = {"traceparent": sent, "tracestate": "a=SECRET"}
                with tracer.hop("engine", "r", tracer.accept(carrier)) as inner:
                    prompt = EngineRequest(
                        stream_id="s",
                        model="m",
                        version="1",
                        messages=(),
                        max_tokens=1,
                        salt="",
                        trace=tracer.inject(inner),
                    )
                    async with HttpEngineClient(http, "127.0.0.1:1").generate(prompt):
                        pass
                return tracer.buffer.find("r")

        (span,) = trio.run(run)
        expected = f"00-{'ab' * 16}-{span.span_id}-01"
        self.assertEqual(heard[0]["traceparent"], expected)
        self.assertEqual(heard[0]["X-Request-Id"], "s")
        self.assertNotIn("tracestate", heard[0])
        self.assertEqual(span.parent_id, "cd" * 8)


if __name__ == "__main__":
    unittest.main()
