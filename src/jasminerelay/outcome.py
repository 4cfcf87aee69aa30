"""State machine of an accepted request; each transition is asserted."""

import enum

from jasminerelay.errors import RAN_NO, RAN_UNKNOWN, RAN_YES, InvariantError


class State(enum.Enum):
    """State of a request."""

    ACCEPTED = "accepted"
    WAITING = "waiting"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


_FINAL_STATES = {State.COMPLETED, State.NOT_RUN, State.FAILED, State.UNKNOWN}

_TRANSITIONS = {
    State.ACCEPTED: {State.WAITING, State.NOT_RUN},
    # Failed or unknown if an earlier attempt may have run.
    State.WAITING: {
        State.DISPATCHED,
        State.NOT_RUN,
        State.FAILED,
        State.UNKNOWN,
    },
    # Waits again only if the attempt provably did not run, or if the request
    # may be repeated.
    State.DISPATCHED: {State.WAITING, State.STREAMING, *_FINAL_STATES},
    # A stream has run at least partly, so it can't end as not run.
    State.STREAMING: {
        State.WAITING,
        State.COMPLETED,
        State.FAILED,
        State.UNKNOWN,
    },
}

_RAN = {
    State.COMPLETED: RAN_YES,
    State.NOT_RUN: RAN_NO,
    State.FAILED: RAN_YES,
    State.UNKNOWN: RAN_UNKNOWN,
}


class Outcome:
    """State machine of one request.

    Attributes:
        request_id: Id of the request.
        state: Current state.
        attempts: Number of dispatches.
    """

    def __init__(self, request_id: str, *, repeatable: bool = True):
        self.request_id = request_id
        self.state = State.ACCEPTED
        self.attempts = 0
        self._repeatable = repeatable
        self._possible_runs = 0

    @property
    def final(self) -> bool:
        """Whether the request has its final answer."""
        return self.state in _FINAL_STATES

    @property
    def ran(self) -> str:
        """Whether the request ran: "no", "yes" or "unknown"."""
        return _RAN.get(self.state, RAN_UNKNOWN)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt reached a backend server and was not refused."""
        return self._possible_runs > 0

    def waiting(self) -> None:
        """The request waits for a permit, for the first or a further attempt.

        Raises:
            InvariantError: if it may not be repeated and may have run.
        """
        if self.may_have_run and not self._repeatable:
            raise InvariantError(
                f"request {self.request_id} must not be repeated, but it may"
                " have run"
            )
        self._change_state(State.WAITING)

    def dispatched(self) -> None:
        """The first byte is about to be sent to a backend server."""
        self._change_state(State.DISPATCHED)
        self.attempts += 1
        self._possible_runs += 1

    def refused(self) -> None:
        """The latest attempt provably did not run."""
        if self.state is not State.DISPATCHED:
            raise InvariantError(
                f"request {self.request_id} refused while {self.state.value}"
            )
        self._possible_runs -= 1

    def streaming(self) -> None:
        """The first token has arrived."""
        if self.state is not State.STREAMING:
            self._change_state(State.STREAMING)

    def completed(self) -> None:
        """The complete answer was sent to the caller."""
        self._change_state(State.COMPLETED)

    def not_run(self) -> None:
        """No attempt ran.

        Raises:
            InvariantError: if one may have run, as the caller would be misled.
        """
        if self.may_have_run:
            raise InvariantError(
                f"request {self.request_id} reported not run but may have run"
            )
        self._change_state(State.NOT_RUN)

    def failed(self) -> None:
        """The request ran and ended without a complete answer."""
        self._change_state(State.FAILED)

    def unknown(self) -> None:
        """It can't be determined whether the request ran."""
        self._change_state(State.UNKNOWN)

    def _change_state(self, state: State) -> None:
        if state not in _TRANSITIONS.get(self.state, set()):
            raise InvariantError(
                f"request {self.request_id}: {self.state.value} cannot"
                f" become {state.value}"
            )
        self.state = state
