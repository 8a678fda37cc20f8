"""KV cache pieces: their keys, the indexes of servers and stores, and transfers.

One task owns each policy and receives its messages over a bounded channel. It calls
``tick`` about once per second and carries out the actions that ``tick`` returns.

- Keys: call ``piece_keys`` once per request, with the client account, the model, the
  weight version in force and the prompt's text. A piece covers
  ``piece_tokens * BYTES_PER_TOKEN`` bytes of text.
- Servers: pass cache events and listings of engines to ``PrefixIndex.observe``. Send
  :class:`RequestListing` actions to the engines. Pass the number of reused pieces that
  an answer reports as :class:`PrefixOutcome`.
- Export: after a turn, call ``ExportPolicy.decide``. Queue the transfer by passing
  a :class:`TransferQuery` to ``LinkScheduler.decide``, write the pieces, then write the
  commit record under its ``tail`` key. Then observe :class:`PrefixCommitted` and send
  it to the peers.
- Fetch: read the record under the ``tail`` key of the :class:`StoreHolding`. Call
  ``decode_record`` and ``verify_record``. Read the pieces in the chunks that
  :class:`NextChunkQuery` returns. After the read, ask the store for the generation of
  each piece, call ``verify_piece`` and import the piece. On a falsy result, observe
  :class:`PrefixDropped` and recompute the remaining pieces.
- Stores: observe :class:`StoreReplied` for each declared store at the start and after
  each successful read or write, :class:`StoreFailed` after a failure, and
  :class:`StoreEmptied` after a store restarted without its content.
- Staging: when a caller asks for the list of entries and names a session, pass
  a :class:`StoredSessionQuery` to ``StoreIndex.decide``, then call
  ``StagingPolicy.decide``. Send :class:`LoadIntoMemory` to the store. For
  :class:`ImportPieces`, pass a :class:`TransferQuery` of kind ``STAGE`` to
  ``LinkScheduler.decide``. If the prompt arrives before the transfer ends, observe
  :class:`TransferPromoted`.
"""

from wasabistage.utils import build_lazy_exports

__getattr__, __all__ = build_lazy_exports(
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
            "ExportPieces",
            "ExportAll",
            "ExportPolicy",
            "ExportQuery",
            "SessionExpired",
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
            "truncate_key",
        ),
        "_part_keys": (
            "PartCacheKey",
            "cache_scope",
            "find_scopes",
            "part_cache_key",
            "parse_part_cache_key",
        ),
        "_part_map": (
            "PartMap",
            "SAVE_PAUSE_SECONDS",
            "SAVE_TIMEOUT_SECONDS",
            "SourceParts",
        ),
        "_staging": (
            "ImportPieces",
            "LoadIntoMemory",
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
