"""An entry daemon of the job interface: its link and its caller to the leader."""

from typing import Any

from foxspring_link import Link
from foxspring_model import Clock

from foxspring_jobs._caller import ControlCaller
from foxspring_jobs._member import LINK_SETTINGS, job_codec
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import DeclineReason, NotLeading, Reply


class JobEntry:
    """Passes callers' requests to the leader; holds no state of its own.

    ``listen_address`` is set where it differs from the announced link address.
    """

    def __init__(
        self,
        link_address: str,
        seeds: tuple[str, ...],
        secret: bytes,
        clock: Clock,
        listen_address: str = "",
    ) -> None:
        self.link = Link(
            listen_address or link_address,
            job_codec(secret),
            self._receive,
            clock,
            LINK_SETTINGS,
            link_address,
        )
        self.metrics = Metrics()
        self.caller = ControlCaller(
            link_address, seeds, self.link.send, clock, self.metrics
        )

    def start(self) -> None:
        """Start the link and the search for the leader."""
        self.link.start()
        self.caller.start()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds through which the leader is found."""
        self.caller.seeds = seeds

    def stop(self) -> None:
        """Close the links; all requests must have ended before."""
        self.caller.close()
        self.link.close()

    def _receive(self, _sender: str, message: Any) -> None:
        if isinstance(message, Reply | NotLeading | DeclineReason):
            self.caller.receive(message)
