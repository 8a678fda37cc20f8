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
  then observe :class:`PrefixCommitted` and tell the peers.
- Fetch: read the record under the decision's ``tail``; ``decode_record``,
  ``verify_record``; read the pieces in chunks by ``NextChunkQuery``; ask the store for
  each piece's generation after the read; ``verify_piece``; import. Any falsy result:
  observe :class:`PrefixDropped`, and recompute the rest.
- Each declared store is made known by a :class:`StoreReplied` at the start and after
  each good read or write; failures go in as :class:`StoreFailed`, and a store that
  came back empty as :class:`StoreEmptied`.
- A caller's question for an entry that names a session: ``StoredSessionQuery``, then
  ``StagingPolicy.decide``; :class:`Lift` goes to the store, :class:`ImportPieces` is
  offered to ``LinkScheduler`` with kind ``STAGE`` and promoted by
  :class:`TransferPromoted` when the prompt comes before it is through.
"""

from wasabistage.utils import lazy_names

__getattr__, __all__ = lazy_names(
    __name__,
    {
        "_commit": (
            "CommitRecord",
            "CommittedPiece",
            "FREED",
            "HALF_WRITTEN",
            "NOT_IN_RECORD",
            "OVERWRITTEN",
            "WRONG_ACCOUNT",
            "WRONG_FORMAT",
            "WRONG_MODEL",
            "WRONG_PREFIX",
            "WRONG_VERSION",
            "content_digest",
            "decode_record",
            "encode_record",
            "verify_piece",
            "verify_record",
        ),
        "_export": (
            "BACKLOG_FULL",
            "BacklogChanged",
            "BaseExportPolicy",
            "Export",
            "ExportAll",
            "ExportPolicy",
            "ExportQuery",
            "GivenUp",
            "NOT_WORTH",
            "NoExport",
            "SessionReturned",
        ),
        "_index": (
            "CacheEvent",
            "CacheListing",
            "CacheSequenceReport",
            "ServerHolding",
            "PrefixQuery",
            "PrefixIndex",
            "PrefixOutcome",
            "RequestListing",
            "EngineCacheRemoved",
        ),
        "_keys": (
            "BYTES_PER_TOKEN",
            "cache_salt",
            "piece_keys",
            "session_key",
            "short_key",
        ),
        "_part_keys": (
            "part_cache_key",
            "parse_part_cache_key",
        ),
        "_part_map": (
            "PartMap",
            "SAVE_TIME",
            "SourceParts",
        ),
        "_staging": (
            "ImportPieces",
            "Lift",
            "NoStaging",
            "StagingQuery",
            "StagingUsed",
            "StagingPolicy",
        ),
        "_store_index": ("StoreIndex",),
        "_store_messages": (
            "PrefixCommitted",
            "StoredPrefixQuery",
            "PrefixDropped",
            "RequestRecords",
            "StoredSessionQuery",
            "StoreRankingQuery",
            "StoreEmptied",
            "StoreFailed",
            "StoreFault",
            "StoreHolding",
            "StoreReplied",
            "Tier",
        ),
        "_table": ("CompactTable",),
        "_transfer_messages": (
            "TransferQueued",
            "Chunk",
            "ChunkMoved",
            "NextChunkQuery",
            "TransferQuery",
            "TransferCancelled",
            "TransferKind",
            "TransferPromoted",
        ),
        "_transfers": (
            "BaseLinkScheduler",
            "FifoLinkScheduler",
            "LINK_IDLE",
            "LinkScheduler",
            "QUEUE_FULL",
        ),
    },
)
