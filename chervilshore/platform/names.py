"""Headers, paths and object kinds of the platform."""

ATTEMPT_ID = "chervilshore-attempt-id"
"""Id of one attempt of a caller; the request id of the project."""

DEADLINE = "chervilshore-deadline-ms"
KEY = "chervilshore-key"
TENANT = "chervilshore-tenant"
"""Team of a request, for the endpoint that runs it."""

INSTANCE_EXPECTED = "chervilshore-expect-instance"
INSTANCE = "chervilshore-instance-id"
"""Name of the endpoint that responds; the platform has no other id."""

STAMP = "chervilshore-response-stamp"
NOT_EXECUTED = "chervilshore-not-executed"
COLD = "chervilshore-cold-ms"
MODEL = "chervilshore-model"
TOKENS = "chervilshore-token-usage"
PREFIX = "chervilshore-prompt-prefix"
URGENCY = "chervilshore-urgency"
INPUTS = "chervilshore-inputs"
PIECES = "chervilshore-pieces"
PIECE_KEY = "chervilshore-piece-key"
LAST_EVENT = "last-event-id"

OWN_HEADERS = frozenset(
    {
        DEADLINE,
        KEY,
        TENANT,
        INSTANCE_EXPECTED,
        INPUTS,
        URGENCY,
        "chervilshore-hold",
        "chervilshore-pin-ms",
        "chervilshore-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
"""Headers that only this system may set on a call to an endpoint; they are
removed from callers' requests."""

STAGE_RUN = "/stage-run"
STAGE_FREE = "/stage-free"

CONFIG = "config"
CONFIG_NAME = "main"
EVACUATIONS = "evacuations"
SERVERS = "servers"
HOSTS = "chervilshore-hosts"
"""Kind of the objects in which entry hosts publish their peer addresses."""
