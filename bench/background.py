"""Compares limits on background work on one engine, in simulated time.

The step time of the engine grows with the number of running streams.
Foreground requests arrive in bursts; there is always background work. The
limits compared are a fixed window, that is a maximum number of background
streams; the window control of Key, Massoulie and Wang ("Emulating
Low-priority Transport at the Application Layer", SIGMETRICS 2004), which finds
by binary search the window at which goodput per stream starts to fall; and
each of them with preemption of background streams by foreground requests that
find no free slot.
"""

import dataclasses
import random
import statistics

from bench import figures

SLOTS = 16
STEP_S = 0.020
STEP_PER_STREAM_S = 0.001
FOREGROUND_TOKENS = (10, 70)
GAP_TARGET_S = 0.033
FIRST_TOKEN_TARGET_S = 0.25
BURST_S = 4.0
QUIET_REQUESTS_PER_S = 2.0
BURST_REQUESTS_PER_S = 8.0
PERIOD_S = 1.0
MAX_GOODPUT_LOSS = 0.2
"""Loss of goodput per stream above which the window is too large, relative to
the best goodput per stream so far, which a window of one gives."""


@dataclasses.dataclass(frozen=True)
class Figures:
    """Figures of one run.

    Attributes:
        first_met: Fraction of foreground requests with their first token
            within FIRST_TOKEN_TARGET_S.
        gap_met: Fraction of the times between foreground tokens that are
            within GAP_TARGET_S.
        background: Background tokens a second.
        goodput: All tokens a second.
    """

    first_met: float
    gap_met: float
    background: float
    goodput: float


class Window:
    """Fixed maximum number of background streams."""

    def __init__(self, size: int):
        self.size = size

    def record_period(self, tokens: int, streams: float) -> None:
        """Updates the window after a period; a fixed window stays as it is.

        Args:
            tokens: Background tokens computed in the period.
            streams: Mean number of background streams.
        """


class BinarySearch(Window):
    """Window at which goodput per background stream starts to fall."""

    def __init__(self) -> None:
        super().__init__(1)
        self._low, self._high = 1, SLOTS
        self._best_goodput = 0.0

    def record_period(self, tokens: int, streams: float) -> None:
        """Moves the window by one step of the binary search."""
        if streams < 0.5:
            return
        stream_goodput = tokens / streams / PERIOD_S
        self._best_goodput = max(self._best_goodput * 0.99, stream_goodput)
        if stream_goodput >= (1 - MAX_GOODPUT_LOSS) * self._best_goodput:
            self._low = self.size
        else:
            self._high = self.size
        if self._high - self._low <= 1:
            self._low = max(1, self._low // 2)
            self._high = min(SLOTS, max(2, self._high * 2))
        self.size = max(1, (self._low + self._high) // 2)


def simulate(
    window: Window, seed: int, seconds: float, *, preempts: bool
) -> Figures:
    """Runs one engine in simulated time.

    Args:
        window: Limit on background streams.
        seed: Seed of the foreground arrivals.
        seconds: Simulated duration.
        preempts: Whether a foreground request without a free slot takes the
            slot of a background stream.
    """
    rng = random.Random(seed)
    now, next_arrival, next_period = 0.0, 0.0, PERIOD_S
    # Foreground requests without a slot: arrival time, tokens of the answer.
    waiting: list[tuple[float, int]] = []
    # Foreground streams: arrival time, tokens left, whether the first token is
    # still to come.
    running: list[list] = []
    background = 0
    first_tokens_met: list[bool] = []
    gaps_met: list[bool] = []
    counts = {"background": 0, "foreground": 0}
    period_tokens, period_streams, period_steps = 0, 0, 0
    while now < seconds:
        while next_arrival <= now:
            waiting.append((next_arrival, rng.randint(*FOREGROUND_TOKENS)))
            burst = int(next_arrival / BURST_S) % 2
            rate = BURST_REQUESTS_PER_S if burst else QUIET_REQUESTS_PER_S
            next_arrival += rng.expovariate(rate)
        while waiting:
            if len(running) + background >= SLOTS:
                if not (preempts and background):
                    break
                background -= 1
            arrived, length = waiting.pop(0)
            running.append([arrived, length, True])
        free_slots = SLOTS - len(running) - background
        background += max(0, min(free_slots, window.size - background))
        background = min(background, max(window.size, 0))
        step_duration_s = STEP_S + STEP_PER_STREAM_S * (
            len(running) + background
        )
        now += step_duration_s
        for stream in running:
            if stream[2]:
                first_tokens_met.append(now - stream[0] <= FIRST_TOKEN_TARGET_S)
                stream[2] = False
            else:
                gaps_met.append(step_duration_s <= GAP_TARGET_S)
            stream[1] -= 1
        counts["foreground"] += len(running)
        counts["background"] += background
        running = [stream for stream in running if stream[1] > 0]
        period_tokens += background
        period_streams += background
        period_steps += 1
        if now >= next_period:
            streams = period_streams / period_steps
            window.record_period(period_tokens, streams)
            period_tokens = period_streams = period_steps = 0
            next_period = now + PERIOD_S
    return Figures(
        statistics.mean(first_tokens_met),
        statistics.mean(gaps_met),
        counts["background"] / now,
        (counts["background"] + counts["foreground"]) / now,
    )


def main() -> None:
    """Prints mean, minimum and maximum over the seeds for each limit."""
    parser = figures.argument_parser(__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=200.0)
    options = parser.parse_args()
    strategies = {
        "no background": (lambda: Window(0), False),
        "fixed 4": (lambda: Window(4), False),
        "fixed 8": (lambda: Window(8), False),
        "fixed 16": (lambda: Window(16), False),
        "binary search": (BinarySearch, False),
        "preemption, fixed 4": (lambda: Window(4), True),
        "preemption, fixed 8": (lambda: Window(8), True),
        "preemption, fixed 16": (lambda: Window(16), True),
        "preemption, binary search": (BinarySearch, True),
    }
    rows = []
    for name, (make_window, preempts) in strategies.items():
        runs = [
            simulate(make_window(), seed, options.seconds, preempts=preempts)
            for seed in range(options.seeds)
        ]
        row = {"way": name}
        for field in dataclasses.fields(Figures):
            values = [getattr(run, field.name) for run in runs]
            mean = statistics.mean(values)
            row[field.name] = (
                f"{mean:.3f} ({min(values):.3f}-{max(values):.3f})"
            )
        rows.append(row)
    figures.show(rows)
    figures.write_json(rows, options.out)


if __name__ == "__main__":
    main()
