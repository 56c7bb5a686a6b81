"""Status that an entry host reports to operators."""

import abc
import typing

import aiohttp
import msgspec

from chervilshore.clients import bodies
from chervilshore import exceptions
from chervilshore import ids

STATE_PATH = "/admin/state"


class ConfigurationStatus(msgspec.Struct):
    """State of a host's rules; see `GenerationService.describe`.

    Parameters
    ----------
    change : ChangeId
        The change that created the active generation.
    refused_generation : Generation
        The generation that the host refused to activate; 0 for none.
    refusal : str
        Why it was refused.
    watching : bool
        Whether the host watches the platform on behalf of its failure
        domain.
    """

    change: ids.ChangeId = ids.ChangeId("")
    refused_generation: ids.Generation = ids.Generation(0)
    refusal: str = ""
    watching: bool = False


class SettingsStatus(msgspec.Struct):
    """State of a host's settings; see `EntryHost.describe_settings`.

    Parameters
    ----------
    refusal : str
        Why the newest settings are invalid; empty if they are in use.
    """

    refusal: str = ""


class HostStatus(msgspec.Struct):
    """Status of one entry host.

    Parameters
    ----------
    host : HostId
        Name of the host.
    domain : DomainId
        Its failure domain.
    generation : Generation
        The active generation of the rules.
    configuration : ConfigurationStatus
        Further state of the rules.
    settings : SettingsStatus
        State of the settings.
    ready, draining : bool
        Whether the host accepts requests, and whether it drains.
    in_flight : int
        Requests in flight.
    membership, directory, grants, limits : dict
        The host's view of hosts and endpoints, its grants of slots and the
        limits of teams.
    pipelines : dict or None
        Requests since the process start, by pipeline.
    refusals : dict or None
        Refused requests since the process start, by number of the result
        code.
    """

    host: ids.HostId
    domain: ids.DomainId
    generation: ids.Generation
    configuration: ConfigurationStatus = msgspec.field(
        default_factory=ConfigurationStatus
    )
    settings: SettingsStatus = msgspec.field(default_factory=SettingsStatus)
    ready: bool = False
    draining: bool = False
    in_flight: int = 0
    membership: dict[str, typing.Any] = {}
    directory: dict[str, typing.Any] = {}
    grants: typing.Any = None
    limits: typing.Any = None
    pipelines: dict[str, int] | None = None
    refusals: dict[str, int] | None = None


def decode_status(data: bytes) -> HostStatus:
    """Decode a host's status; unknown fields are ignored.

    Raises
    ------
    exceptions.PeerError
        The data is not a valid status.
    """
    try:
        return msgspec.json.decode(data, type=HostStatus)
    except msgspec.MsgspecError as error:
        raise exceptions.PeerError(
            f"cannot decode host status: {error}"
        ) from error


class StatusClient(abc.ABC):
    """Fetches the status of entry hosts."""

    @abc.abstractmethod
    async def fetch_status(
        self, address: ids.Address, timeout_ms: float
    ) -> HostStatus:
        """Fetch the status of one host.

        Raises
        ------
        exceptions.PeerError
            There was no response in time, or the response is not a valid
            status.
        """


class HttpStatusClient(StatusClient):
    """Fetches the status over HTTP."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def fetch_status(
        self, address: ids.Address, timeout_ms: float
    ) -> HostStatus:
        """See `StatusClient.fetch_status`."""
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000.0)
        url = f"http://{address}{STATE_PATH}"
        try:
            async with self._session.get(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                if response.status != 200:
                    raise exceptions.PeerError(
                        f"{address}: status {response.status}"
                    )
                return decode_status(await bodies.read_body(response))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise exceptions.PeerError(f"{address}: {error}") from error
