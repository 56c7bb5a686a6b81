"""What each entry host tells operators of itself."""

import abc
import typing

import aiohttp
import msgspec

from chervilshore import exceptions
from chervilshore import ids

STATE_PATH = "/admin/state"


class ConfigurationStatus(msgspec.Struct):
    """What a host says of its rules; see `GenerationService.describe`.

    Parameters
    ----------
    change : ChangeId
        The change that brought the generation in force.
    refused_generation : Generation
        The generation that could not come into force; 0 for none.
    refusal : str
        Why it could not.
    watching : bool
        Whether it watches the platform for its failure domain.
    """

    change: ids.ChangeId = ids.ChangeId("")
    refused_generation: ids.Generation = ids.Generation(0)
    refusal: str = ""
    watching: bool = False


class HostStatus(msgspec.Struct):
    """The answer of a host.

    Parameters
    ----------
    host : HostId
        Its name.
    domain : DomainId
        Its failure domain.
    generation : Generation
        The generation in force there.
    configuration : ConfigurationStatus
        More about its rules.
    ready, draining : bool
        Whether it serves, and whether it is leaving.
    in_flight : int
        Requests in flight there.
    membership, directory, grants, limits : dict
        What it believes of hosts and endpoints, and how it limits calls.
    pipelines : dict or None
        Requests since it began, by pipeline.
    refusals : dict or None
        Refused requests since it began, by number of the result code.
    """

    host: ids.HostId
    domain: ids.DomainId
    generation: ids.Generation
    configuration: ConfigurationStatus = msgspec.field(
        default_factory=ConfigurationStatus
    )
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
    """Decode a host's answer; parts that are not known are passed over.

    Raises
    ------
    exceptions.PeerError
        It is not usable.
    """
    try:
        return msgspec.json.decode(data, type=HostStatus)
    except msgspec.MsgspecError as error:
        raise exceptions.PeerError(f"unusable status: {error}") from error


class StatusClient(abc.ABC):
    """Asks entry hosts for their status."""

    @abc.abstractmethod
    async def fetch_status(
        self, address: ids.Address, timeout_ms: float
    ) -> HostStatus:
        """Ask one host.

        Raises
        ------
        exceptions.PeerError
            It did not answer in time, or not usably.
        """


class HttpStatusClient(StatusClient):
    """Asks over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Makes the calls.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def fetch_status(
        self, address: ids.Address, timeout_ms: float
    ) -> HostStatus:
        """Ask one host; see `StatusClient.ask`."""
        limit = aiohttp.ClientTimeout(total=timeout_ms / 1000.0)
        url = f"http://{address}{STATE_PATH}"
        try:
            async with self._session.get(url, timeout=limit) as response:
                response.raise_for_status()
                return decode_status(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise exceptions.PeerError(f"{address}: {error}") from error
