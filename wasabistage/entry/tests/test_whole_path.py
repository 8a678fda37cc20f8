import base64
import hashlib
import json
import time
import unittest

import httpx
import msgspec

from standins.fleet import Fleet, FleetOptions

HEADERS = {"Authorization": "Bearer demo-solvers-key"}
PROMPT = {
    "model": "hints",
    "messages": [{"role": "user", "content": "three down?"}],
    "stream": True,
    "max_tokens": 5,
}


class TestWholePath(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(FleetOptions(entries=2))
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        record = msgspec.json.encode(cls.fleet.deployment)
        data = base64.b64encode(record).decode()
        cls.fleet.post(
            "log", "/streams/config/records", {"records": [{"id": "1", "data": data}]}
        )
        cls.http = httpx.Client(headers=HEADERS, trust_env=False)
        cls.addClassCleanup(cls.http.close)
        cls.wait_served()

    @classmethod
    def wait_served(cls):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all(cls.get_balance(index).status_code == 200 for index in (1, 2)):
                return
            time.sleep(0.05)
        raise AssertionError("no entry served within the bound")

    @classmethod
    def get_balance(cls, index):
        url = f"http://{cls.fleet.entry_address(index)}/v1/services/shop/balance"
        return cls.http.get(url)

    def test_stream_is_whole(self):
        url = f"http://{self.fleet.entry_address(1)}/v1/chat/completions"
        lines = self.http.post(url, json=PROMPT).text.splitlines()
        data = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
        text = "".join(
            item["choices"][0]["delta"]["content"] for item in data if "choices" in item
        )
        end = data[-1]
        self.assertEqual(end["length"], len(text))
        self.assertEqual(end["sha256"], hashlib.sha256(text.encode()).hexdigest())
        self.assertEqual(lines[-2], "data: [DONE]")

    def test_unknown_key_reaches_nothing(self):
        url = f"http://{self.fleet.entry_address(1)}/v1/services/shop/balance"
        before = len(self.fleet.get("app-1", "/witness/ledger")["ledger"])
        answer = self.http.get(url, headers={"Authorization": "Bearer wrong"})
        after = len(self.fleet.get("app-1", "/witness/ledger")["ledger"])
        self.assertEqual((answer.status_code, after), (401, before))
        self.assertEqual(answer.json()["error"]["ran"], "no")
