"""Request mixes of the two users, and schedules drawn from them."""

import dataclasses
import random


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """One kind of request.

    Attributes:
        class_name: Class that the requests belong to.
        share: Fraction of the offered output tokens.
        tokens: Mean answer length in tokens.
        spread: Answer lengths go from tokens * (1 - spread) to
            tokens * (1 + spread).
        model: Model named in the request.
        request_type: Request type, or "" for the model's default.
        prompt_chars: Length of the prompt in characters.
        shared_chars: Length of the prompt prefix that all requests of an
            organisation have in common.
        organisations: Number of organisations that send such requests.
    """

    class_name: str
    share: float
    tokens: int
    spread: float
    model: str
    request_type: str
    prompt_chars: int
    shared_chars: int
    organisations: int


@dataclasses.dataclass(frozen=True)
class User:
    """A user of the router, with its manifest and its request mix.

    Attributes:
        name: Short name.
        example: File name of the manifest in examples/.
        key_prefix: Prefix of the sample API keys.
        kinds: Kinds of requests, highest class first.
        burst_class: Class of the requests of a burst.
    """

    name: str
    example: str
    key_prefix: str
    kinds: tuple[RequestKind, ...]
    burst_class: str


MORETON = User(
    "moreton",
    "moreton-bay.toml",
    "moreton",
    (
        RequestKind(
            "confirmation", 0.10, 8, 0.5, "helper", "confirm", 300, 256, 10
        ),
        RequestKind(
            "classifier", 0.05, 3, 0.5, "helper", "classify", 300, 256, 10
        ),
        RequestKind("chat", 0.50, 40, 0.8, "helper", "chat", 800, 512, 10),
        RequestKind("run-sheet", 0.35, 150, 0.3, "drafter", "", 2000, 1024, 2),
    ),
    "chat",
)

TEIXEIRA = User(
    "teixeira",
    "teixeira.toml",
    "teixeira",
    (
        RequestKind(
            "filing-check", 0.15, 8, 0.5, "drafting", "check", 300, 256, 10
        ),
        RequestKind(
            "notice", 0.40, 40, 0.8, "drafting", "notice", 1200, 512, 10
        ),
        RequestKind(
            "study", 0.45, 150, 0.3, "drafting", "study", 2400, 1024, 10
        ),
    ),
    "notice",
)

USERS = {user.name: user for user in (MORETON, TEIXEIRA)}


@dataclasses.dataclass(frozen=True)
class PlannedRequest:
    """A request and the time at which it is to be sent.

    Attributes:
        at: Seconds after the start of the run.
        kind: Kind of the request.
        organisation: Number of the organisation that sends it, from 1.
        tokens: Length of the answer in tokens.
        serial: Random number that makes the prompt unique.
    """

    at: float
    kind: RequestKind
    organisation: int
    tokens: int
    serial: int

    @property
    def prompt(self) -> str:
        """Prompt, starting with the prefix that the organisation shares."""
        shared = f"{self.kind.class_name} of {self.organisation}. "
        shared = (shared * (self.kind.shared_chars // len(shared) + 1))[
            : self.kind.shared_chars
        ]
        unique = f"number {self.serial} [len={self.tokens}] "
        return (shared + unique).ljust(self.kind.prompt_chars, ".")


@dataclasses.dataclass(frozen=True)
class Burst:
    """Additional load from one class for part of a run.

    Attributes:
        class_name: Class of the requests.
        tokens_per_s: Output tokens a second offered in addition.
        start: Start, as a fraction of the run.
        end: End, as a fraction of the run.
        organisation: Organisation that sends the requests; 0 for all.
    """

    class_name: str
    tokens_per_s: float
    start: float
    end: float
    organisation: int = 0


def plan_requests(
    user: User,
    tokens_per_s: float,
    seconds: float,
    bursts: tuple[Burst, ...],
    rng: random.Random,
) -> list[PlannedRequest]:
    """Returns an open-loop schedule with Poisson arrivals.

    Args:
        user: User whose request mix is drawn from.
        tokens_per_s: Output tokens a second offered, without the bursts.
        seconds: Length of the schedule.
        bursts: Load in addition.
        rng: Source of random numbers.
    """
    requests: list[PlannedRequest] = []
    for kind in user.kinds:
        rate = tokens_per_s * kind.share / kind.tokens
        _add_arrivals(requests, kind, rate, 0.0, seconds, 0, rng)
    kinds = {kind.class_name: kind for kind in user.kinds}
    for burst in bursts:
        kind = kinds[burst.class_name]
        _add_arrivals(
            requests,
            kind,
            burst.tokens_per_s / kind.tokens,
            seconds * burst.start,
            seconds * burst.end,
            burst.organisation,
            rng,
        )
    return sorted(requests, key=lambda item: item.at)


def _add_arrivals(
    requests: list[PlannedRequest],
    kind: RequestKind,
    rate: float,
    start: float,
    end: float,
    organisation: int,
    rng: random.Random,
) -> None:
    at = start + rng.expovariate(rate)
    while at < end:
        low = kind.tokens * (1 - kind.spread)
        high = kind.tokens * (1 + kind.spread)
        requests.append(
            PlannedRequest(
                at,
                kind,
                # Half of the load comes from the first three organisations.
                organisation or _pick_organisation(kind.organisations, rng),
                max(1, round(rng.uniform(low, high))),
                rng.getrandbits(40),
            )
        )
        at += rng.expovariate(rate)


def _pick_organisation(count: int, rng: random.Random) -> int:
    large = min(3, count)
    if rng.random() < 0.5 or count <= large:
        return rng.randint(1, large)
    return rng.randint(large + 1, count)
