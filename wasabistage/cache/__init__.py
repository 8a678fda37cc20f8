"""KV cache pieces: keys, index, stores, transfers.

Wiring into tasks: one task owns each policy and gets its messages over a bounded
channel; every ``tick`` is called about once a second, and its actions carried out.

- ``piece_keys`` of the prompt's text (``piece_tokens * BYTES_PER_TOKEN`` bytes to a
  piece), once per request, with the account and the version in force.
- Engines' events and listings go to ``PrefixIndex.observe``; ``RequestListing``
  actions go back to the engines. Reused pieces reported with an answer go in as
  :class:`PrefixOutcome`.
- Export: after a turn ask ``ExportPolicy.decide``; offer the transfer to
  ``LinkScheduler``; write the pieces, then the commit record under its ``tail`` key;
  then observe :class:`Committed` and tell the peers.
- Fetch: read the record under the decision's ``tail``; ``decode_record``,
  ``verify_record``; read the pieces in chunks by ``NextChunk``; ask the store for
  each piece's generation after the read; ``verify_piece``; import. Any falsy result:
  observe :class:`Dropped`, and recompute the rest.
- Each declared store is made known by a :class:`StoreReplied` at the start and after
  each good read or write; failures go in as :class:`StoreFailed`, and a store that
  came back empty as :class:`StoreEmptied`.
- A caller's question for an entry that names a session: ``SessionPrefix``, then
  ``StagingPolicy.decide``; :class:`Lift` goes to the store, :class:`Import` is
  offered to ``LinkScheduler`` with kind ``STAGE`` and promoted by
  :class:`TransferPromoted` when the prompt comes before it is through.
"""

from wasabistage.cache._commit import (
    FREED,
    HALF_WRITTEN,
    NOT_IN_RECORD,
    OVERWRITTEN,
    WRONG_ACCOUNT,
    WRONG_FORMAT,
    WRONG_MODEL,
    WRONG_PREFIX,
    WRONG_VERSION,
    CommitRecord,
    CommittedPiece,
    content_digest,
    decode_record,
    encode_record,
    verify_piece,
    verify_record,
)
from wasabistage.cache._export import (
    BACKLOG_FULL,
    NOT_WORTH,
    BacklogChanged,
    BaseExportPolicy,
    Export,
    ExportAll,
    ExportPolicy,
    ExportQuery,
    GivenUp,
    NoExport,
    Returned,
)
from wasabistage.cache._index import (
    CacheEvent,
    CacheListing,
    CacheQuiet,
    Holding,
    LongestPrefix,
    PrefixIndex,
    PrefixOutcome,
    RequestListing,
    ServerGone,
)
from wasabistage.cache._keys import (
    BYTES_PER_TOKEN,
    cache_salt,
    piece_keys,
    session_key,
    short_key,
)
from wasabistage.cache._part_keys import part_cache_key, version_of_cache_key
from wasabistage.cache._part_map import SAVE_TIME, PartMap, SourceParts
from wasabistage.cache._staging import (
    Import,
    Lift,
    NoStaging,
    StageQuery,
    StageUsed,
    StagingPolicy,
)
from wasabistage.cache._store_index import (
    StoreIndex,
)
from wasabistage.cache._store_messages import (
    Committed,
    CommittedPrefix,
    Dropped,
    RequestRecords,
    SessionPrefix,
    StoreChoice,
    StoreEmptied,
    StoreFailed,
    StoreFault,
    StoreHolding,
    StoreReplied,
    Tier,
)
from wasabistage.cache._table import CompactTable
from wasabistage.cache._transfer_messages import (
    Accepted,
    Chunk,
    ChunkMoved,
    NextChunk,
    OfferTransfer,
    TransferCancelled,
    TransferKind,
    TransferPromoted,
)
from wasabistage.cache._transfers import (
    LINK_IDLE,
    QUEUE_FULL,
    BaseLinkScheduler,
    FifoLinkScheduler,
    LinkScheduler,
)

__all__ = [
    "Accepted",
    "BACKLOG_FULL",
    "BYTES_PER_TOKEN",
    "BacklogChanged",
    "BaseExportPolicy",
    "BaseLinkScheduler",
    "CacheEvent",
    "CacheListing",
    "CacheQuiet",
    "Chunk",
    "ChunkMoved",
    "CommitRecord",
    "Committed",
    "CommittedPiece",
    "CommittedPrefix",
    "CompactTable",
    "Dropped",
    "Export",
    "ExportAll",
    "ExportPolicy",
    "ExportQuery",
    "FREED",
    "FifoLinkScheduler",
    "GivenUp",
    "HALF_WRITTEN",
    "Holding",
    "Import",
    "LINK_IDLE",
    "Lift",
    "LinkScheduler",
    "LongestPrefix",
    "NOT_IN_RECORD",
    "NOT_WORTH",
    "NextChunk",
    "NoExport",
    "NoStaging",
    "OVERWRITTEN",
    "OfferTransfer",
    "PartMap",
    "PrefixIndex",
    "PrefixOutcome",
    "QUEUE_FULL",
    "RequestListing",
    "RequestRecords",
    "Returned",
    "SAVE_TIME",
    "ServerGone",
    "SessionPrefix",
    "SourceParts",
    "StageQuery",
    "StageUsed",
    "StagingPolicy",
    "StoreChoice",
    "StoreEmptied",
    "StoreFailed",
    "StoreFault",
    "StoreHolding",
    "StoreIndex",
    "StoreReplied",
    "Tier",
    "TransferCancelled",
    "TransferKind",
    "TransferPromoted",
    "WRONG_ACCOUNT",
    "WRONG_FORMAT",
    "WRONG_MODEL",
    "WRONG_PREFIX",
    "WRONG_VERSION",
    "cache_salt",
    "content_digest",
    "decode_record",
    "encode_record",
    "part_cache_key",
    "piece_keys",
    "session_key",
    "short_key",
    "verify_piece",
    "verify_record",
    "version_of_cache_key",
]
