"""Compares ways to bound background work on one engine, in simulated time.

The engine's step takes longer the more streams run. Foreground requests come
in bursts; background work never ends. Compared: a fixed window of background
streams, the window control of Key, Massoulie and Wang ("Emulating
Low-priority Transport at the Application Layer", SIGMETRICS 2004) by binary
search for the point where goodput for each stream bends, and preemption of
background streams when a foreground request finds no slot.
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
FIRST_TARGET_S = 0.25
BURST_S = 4.0
QUIET_RATE = 2.0
BURST_RATE = 8.0
PERIOD_S = 1.0
ALPHA = 0.2
"""Loss of goodput for each stream, relative to a window of one, that counts
as the bend."""


@dataclasses.dataclass(frozen=True)
class Figures:
    """What a run gave.

    Attributes:
        first_met: Share of foreground requests whose first token came within
            FIRST_TARGET_S.
        gap_met: Share of foreground gaps within GAP_TARGET_S.
        background: Background tokens a second.
        goodput: All tokens a second.
    """

    first_met: float
    gap_met: float
    background: float
    goodput: float


class Window:
    """Most background streams; a fixed number."""

    def __init__(self, size: int):
        self.size = size

    def measured(self, tokens: int, streams: float) -> None:
        """Takes the goodput of a period; a fixed window ignores it."""


class BinarySearch(Window):
    """Follows the bend of the normalised goodput."""

    def __init__(self) -> None:
        super().__init__(1)
        self._low, self._high = 1, SLOTS
        self._best = 0.0

    def measured(self, tokens: int, streams: float) -> None:
        """Moves the window towards the bend."""
        if streams < 0.5:
            return
        normalised = tokens / streams / PERIOD_S
        self._best = max(self._best * 0.99, normalised)
        if normalised >= (1 - ALPHA) * self._best:
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
    """Runs one engine in simulated time."""
    rng = random.Random(seed)
    now, next_arrival, next_period = 0.0, 0.0, PERIOD_S
    waiting: list[tuple[float, int]] = []
    running: list[list] = []
    background = 0
    firsts: list[bool] = []
    gaps: list[bool] = []
    counts = {"background": 0, "foreground": 0}
    period_tokens, period_streams, period_steps = 0, 0, 0
    while now < seconds:
        while next_arrival <= now:
            waiting.append((next_arrival, rng.randint(*FOREGROUND_TOKENS)))
            burst = int(next_arrival / BURST_S) % 2
            rate = BURST_RATE if burst else QUIET_RATE
            next_arrival += rng.expovariate(rate)
        while waiting:
            if len(running) + background >= SLOTS:
                if not (preempts and background):
                    break
                background -= 1
            arrived, length = waiting.pop(0)
            running.append([arrived, length, True])
        room = SLOTS - len(running) - background
        background += max(0, min(room, window.size - background))
        background = min(background, max(window.size, 0))
        took = STEP_S + STEP_PER_STREAM_S * (len(running) + background)
        now += took
        for stream in running:
            if stream[2]:
                firsts.append(now - stream[0] <= FIRST_TARGET_S)
                stream[2] = False
            else:
                gaps.append(took <= GAP_TARGET_S)
            stream[1] -= 1
        counts["foreground"] += len(running)
        counts["background"] += background
        running = [stream for stream in running if stream[1] > 0]
        period_tokens += background
        period_streams += background
        period_steps += 1
        if now >= next_period:
            streams = period_streams / period_steps
            window.measured(period_tokens, streams)
            period_tokens = period_streams = period_steps = 0
            next_period = now + PERIOD_S
    return Figures(
        statistics.mean(firsts),
        statistics.mean(gaps),
        counts["background"] / now,
        (counts["background"] + counts["foreground"]) / now,
    )


def main() -> None:
    """Prints mean and spread over seeds."""
    parser = figures.argument_parser(__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=200.0)
    options = parser.parse_args()
    ways = {
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
    for name, (make, preempts) in ways.items():
        runs = [
            simulate(make(), seed, options.seconds, preempts=preempts)
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
