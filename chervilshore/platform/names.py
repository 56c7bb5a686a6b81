"""Names of headers, paths and kinds of objects on the platform."""

ATTEMPT_ID = "chervilshore-attempt-id"
"""The id of one attempt of a caller; the project's request id."""

DEADLINE = "chervilshore-deadline-ms"
KEY = "chervilshore-key"
TENANT = "chervilshore-tenant"
"""The team of a request, for the endpoint that runs it."""

INSTANCE_EXPECTED = "chervilshore-expect-instance"
INSTANCE = "chervilshore-instance-id"
"""The name of the endpoint that answers; the platform has no other id."""

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
"""Headers that only the system may set on a call to an endpoint."""

STAGE_RUN = "/stage-run"
STAGE_FREE = "/stage-free"

CONFIG = "config"
CONFIG_NAME = "main"
EVACUATIONS = "evacuations"
SERVERS = "servers"
HOSTS = "chervilshore-hosts"
"""The kind of objects under which entry hosts tell their peer addresses."""
