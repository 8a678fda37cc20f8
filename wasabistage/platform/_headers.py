"""Names of headers on the wire, lower case as h11 gives them."""

REQUEST_ID = b"wasabistage-request-id"
#: Milliseconds that the sender waits; a time budget, not a point in time.
TIME_LEFT = b"wasabistage-deadline-ms"
MODEL = b"wasabistage-model"
#: "PROMPT,OUTPUT": prompt tokens and most output tokens.
TOKENS = b"wasabistage-token-count"
#: "ID:TOKENS,...": the parts of the prompt in order.
PARTS = b"wasabistage-prompt-prefix"
LENGTH_HINT = b"wasabistage-length-hint"
LAST_EVENT = b"last-event-id"
AUTHORIZATION = b"authorization"

EXPECT_SERVER = b"wasabistage-expect-instance"
EXPECT_VERSION = b"wasabistage-expect-version"
#: Name of the client account.
ACCOUNT = b"wasabistage-tenant"
#: Text under which a server keeps cached parts.
CACHE_KEY = b"wasabistage-cache-salt"
#: 0 to 9, 0 is first.
URGENCY = b"wasabistage-request-urgency"
FETCH_FROM = b"wasabistage-kv-fetch-from"
SAVE_TO = b"wasabistage-kv-save-to"
#: Milliseconds of the servers' wall clock.
FETCH_UNTIL = b"wasabistage-kv-until"
CONTINUE_FROM = b"kv-from"

#: Proof that a response is the server's own.
SEAL = b"wasabistage-response-seal"
NOT_RUN = b"wasabistage-not-executed"
#: "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE"; PACE is a percentage.
LOAD = b"wasabistage-server-load"
SERVER = b"wasabistage-instance-id"
#: The weight version of the answer, a single integer despite its name.
WEIGHT_VERSION = b"wasabistage-weight-versions"
RETRY_AFTER = b"retry-after"
#: Number of the store's era, in all its answers.
STORE_ERA = b"store-era"
#: "1" in all responses of a server that is about to stop.
SERVER_LEAVING = b"server-leaving"
#: Milliseconds for which the server stays cold.
COLD = b"wasabistage-cold-ms"

#: Headers with this prefix are set by the system or its servers.
SYSTEM_PREFIX = b"wasabistage-"
#: Of those, the ones that are passed on as the caller sent them.
FROM_CALLER = frozenset({REQUEST_ID, MODEL, TOKENS, PARTS, LENGTH_HINT})
#: Headers that concern one channel only.
ONE_CHANNEL = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"host",
    }
)
#: Headers of a server's response that don't go on to the caller.
INTERNAL_ANSWER = frozenset({LOAD, SERVER, NOT_RUN, COLD})
