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
"""Present if the endpoint refused the request without running it."""

COLD = "chervilshore-cold-ms"
"""Milliseconds for which the endpoint stays cold."""

LIMIT = "server-limit"
"""Requests per second that the endpoint takes from all hosts together."""

BRITTLE = "server-brittle"
"""Requests per second that the endpoint may turn away for want of room without
falling over."""

LEAVING = "server-leaving"
"""Present with the value 1 in all responses of an endpoint that leaves."""

RETRY_AFTER = "retry-after"
"""Seconds for which an endpoint that is full wants nothing from the host."""

MODEL = "chervilshore-model"
TOKENS = "chervilshore-token-usage"
"""Tokens of the prompt, and the largest number to generate."""

PREFIX = "chervilshore-prompt-prefix"
"""Parts of the prompt, in order, with their tokens."""

URGENCY = "chervilshore-urgency"
"""Urgency of a request at its endpoint; 0 runs first."""

INPUTS = "chervilshore-inputs"
"""Handles of the results of the last batch stages."""

PIECES = "chervilshore-pieces"
"""Number of items of each batch stage; 0 skips the stage."""

PIECE_KEY = "chervilshore-piece-key"
"""What the items of the first batch stages work on."""

LAST_EVENT = "last-event-id"
RESUMES = "resumes"
"""Id of the caller's attempt that brought the first event of a stream."""

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

REPORT = "/report"
"""Path at which an endpoint says what it is and does."""

STAGE_RUN = "/stage-run"
"""Path at which an endpoint runs batch items."""

STAGE_FREE = "/stage-free"
"""Path at which an endpoint frees results of batch items."""

ERA = "store-era"
"""How often the store has been restored from a copy."""

CONFIG = "config"
CONFIG_NAME = "main"
EVACUATIONS = "evacuations"
SERVERS = "servers"
"""Kind of the objects that describe endpoints."""

ROLLOUTS = "rollouts"
"""Kind of the objects that order a service's move to a version."""

HOSTS = "chervilshore-hosts"
"""Kind of the objects in which entry hosts publish their peer addresses."""

STREAMS = "chervilshore-streams"
"""Kind of the objects in which hosts record what began streams."""

HOLDS = "chervilshore-holds"
"""Kind of the objects in which hosts record what is held back."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise a caller that its request has not run and never
will."""
