"""State of the model engine's stand-in: cache, events, streams, versions."""

import os
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field

import trio

EVENTS_KEPT = 10_000
STREAMS_KEPT = 2_000


@dataclass(frozen=True)
class EngineParams:
    """How fast and how large the engine is.

    :param slots: answers generated at a time.
    :param prefill_rate: prompt tokens computed a second.
    :param token_seconds: seconds between tokens of an unloaded engine.
    :param cache_pieces: cache pieces held in memory.
    :param piece_bytes: bytes of an exported piece.
    :param report_lag: seconds between two load reports.
    :param event_delay: seconds after which a cache event is published.
    :param checks_fencing: whether orders with an old fencing number are refused.
    :param weight_store: ``IP:PORT`` of the weight store; empty for none.
    """

    slots: int = 8
    prefill_rate: float = 20_000.0
    token_seconds: float = 0.005
    cache_pieces: int = 64
    piece_bytes: int = 4096
    report_lag: float = 0.2
    event_delay: float = 0.05
    checks_fencing: bool = True
    weight_store: str = ""


@dataclass
class AnswerStream:
    """One answer being generated.

    :ivar request_id: identifier given by the caller of the engine.
    :ivar salt: cache salt of the request.
    :ivar tokens: the tokens generated so far.
    :ivar done: whether the last token was generated.
    :ivar cancelled: whether the stream was cancelled.
    :ivar usage: counts of prompt, cached and answer tokens.
    :ivar grown: set and replaced whenever something changed.
    """

    request_id: str
    salt: str
    tokens: list = field(default_factory=list)
    done: bool = False
    cancelled: bool = False
    usage: dict = field(default_factory=dict)
    grown: trio.Event = field(default_factory=trio.Event)

    def notify(self):
        """Wake everyone who waits for the stream."""
        self.grown.set()
        self.grown = trio.Event()


class EngineState:
    """Everything the engine remembers.

    :param params: an :class:`EngineParams`.
    """

    def __init__(self, params):
        self.params = params
        self.incarnation = f"{time.time_ns() // 1_000_000:012x}{os.urandom(4).hex()}"
        self.cache = OrderedDict()
        self.events = deque(maxlen=EVENTS_KEPT)
        self.sequence = 0
        self.streams = OrderedDict()
        self.staged = {}
        self.versions = {}
        self.adapters = set()
        self.role = "serve"
        self.highest_fencing = -1
        self.running = 0
        self.queued = 0
        self.queued_tokens = 0
        self.draining = False
        self.drop_events = 0
        self.reports = 0
        self.witness = {
            "cross_account": 0,
            "bad_imports": 0,
            "prompt_tokens": 0,
            "computed_tokens": 0,
            "requests": 0,
            "cancelled": 0,
            "orders": [],
        }

    def store_piece(self, key, salt):
        """Put a piece into the cache and evict the oldest over the bound.

        :param key: piece key.
        :param salt: cache salt that it belongs to.
        """
        known = key in self.cache
        self.cache[key] = salt
        self.cache.move_to_end(key)
        removed = []
        while len(self.cache) > self.params.cache_pieces:
            removed.append(self.cache.popitem(last=False)[0])
        if not known or removed:
            self.publish([] if known else [key], removed)

    def clear_cache(self):
        """Drop every piece, as a weight swap does."""
        removed = list(self.cache)
        self.cache.clear()
        if removed:
            self.publish([], removed)

    def publish(self, stored, removed):
        """Append a cache event.

        :param stored: keys of pieces that came in.
        :param removed: keys of pieces that went out.
        """
        self.sequence += 1
        if self.drop_events and self.sequence % self.drop_events == 0:
            return
        due = trio.current_time() + self.params.event_delay
        event = {"seq": self.sequence, "stored": stored, "removed": removed}
        self.events.append((due, event))

    def visible_events(self, start):
        """List the published events from a sequence number on.

        :param start: first sequence number wanted.
        :return: a list of events.
        """
        now = trio.current_time()
        return [
            event for due, event in self.events if due <= now and event["seq"] >= start
        ]

    def newest_visible(self):
        """Return the sequence number up to which events are due.

        :return: a number, also of an event that was dropped.
        """
        now = trio.current_time()
        waiting = [event["seq"] for due, event in self.events if due > now]
        return min(waiting) - 1 if waiting else self.sequence

    def cached_prefix(self, keys, salt):
        """Count the leading pieces that the cache holds.

        :param keys: piece keys of the prompt, in order.
        :param salt: cache salt of the request.
        :return: the number of leading pieces held.
        """
        count = 0
        for key in keys:
            if key not in self.cache:
                break
            if self.cache[key] != salt:
                self.witness["cross_account"] += 1
            self.cache.move_to_end(key)
            count += 1
        return count

    def open_stream(self, request_id, salt):
        """Register a new answer stream.

        :param request_id: identifier of the request.
        :param salt: cache salt of the request.
        :return: the :class:`AnswerStream`.
        """
        stream = AnswerStream(request_id, salt)
        self.streams[request_id] = stream
        while len(self.streams) > STREAMS_KEPT:
            self.streams.popitem(last=False)
        return stream

    def next_report(self):
        """Count the reports of this life.

        :return: the number of the next one.
        """
        self.reports += 1
        return self.reports

    def report(self):
        """Build a load report.

        :return: a dict as ``GET /load`` answers it.
        """
        return {
            "incarnation": self.incarnation,
            "as_of": trio.current_time(),
            "sequence": self.next_report(),
            "running": self.running,
            "queued": self.queued,
            "queued_tokens": self.queued_tokens,
            "versions": dict(self.versions),
            "adapters": sorted(self.adapters),
            "role": self.role,
            "draining": self.draining,
            "cache_used": len(self.cache),
            "cache_pieces": self.params.cache_pieces,
        }
