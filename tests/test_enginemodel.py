"""Tests the performance models of engines."""

import dataclasses
import random
import unittest

from jasminerelay.catalog import Engine
from jasminerelay.enginemodel import (
    MAX_SAMPLES,
    EngineModel,
    EngineModels,
    EngineSpeeds,
)
from jasminerelay.schema.messages import EngineSample
from tests.test_placing import route

ENGINE = Engine(64, 700_000, 18_432, True, 5)
TYPICAL = EngineSpeeds(1 / 60_000, 0.04, 0.004, 0.000_05)


def observed(
    speeds: EngineSpeeds, count: int, rng: random.Random, slots: int = 64
) -> EngineModel:
    """Returns a model fitted to requests at engines of some speed.

    Every tenth request is queued behind an unreported one, and times vary by a
    tenth, as they do with links and batches.
    """
    model = EngineModel()
    model.set_initial_estimate(
        dataclasses.replace(ENGINE, slots=slots), route(), 11_000
    )
    for number in range(count):
        tokens = rng.choice((600, 900, 2500, 6000, 9000))
        seconds = speeds.first_s(tokens) * rng.uniform(0.95, 1.1)
        if number % 10 == 9:
            seconds *= 3
        model.read(tokens, seconds, number)
        running = rng.randrange(1, max(2, slots // 2))
        model.add_step_time(
            running, speeds.token_s(running) * rng.uniform(1, 1.05), number
        )
    return model


class EngineModelTest(unittest.TestCase):
    """Model of one service's engines."""

    def assert_near(self, found: float, true: float, part: float) -> None:
        self.assertLess(abs(found - true) / true, part, (found, true))

    def test_engines_of_other_makes(self) -> None:
        # Engines may prefill four times slower or faster than usual and take a
        # third or three times as long for a step. The model fits after twenty
        # requests, without a setting.
        for reading in (0.25, 1.0, 4.0):
            for step_factor in (1 / 3, 1.0, 3.0):
                for slots in (16, 128, 256):
                    speeds = EngineSpeeds(
                        TYPICAL.read_token_s * reading,
                        TYPICAL.first_event_s,
                        TYPICAL.step_s * step_factor,
                        TYPICAL.step_s * step_factor / slots,
                    )
                    model = observed(speeds, 20, random.Random(7), slots)
                    found = model.speeds()
                    with self.subTest(speeds=speeds, slots=slots):
                        tokens = 9000
                        self.assert_near(
                            found.first_s(tokens), speeds.first_s(tokens), 0.2
                        )
                        self.assert_near(
                            found.token_s(slots * 0.9),
                            speeds.token_s(slots * 0.9),
                            0.2,
                        )

    def test_one_slow_server_is_an_outlier(self) -> None:
        # Guards against one slow server that distorts the model. One of five
        # servers prefills five times slower. In a mean it would make all of
        # them look almost twice as slow as they are.
        rng = random.Random(3)
        model = EngineModel()
        for number in range(MAX_SAMPLES):
            tokens = rng.choice((600, 3000, 9000))
            slow = 5.0 if number % 5 == 0 else 1.0
            model.read(tokens, TYPICAL.first_s(tokens) * slow, number)
        self.assert_near(
            model.speeds().read_token_s, TYPICAL.read_token_s, part=0.2
        )

    def test_initial_estimate_is_conservative(self) -> None:
        # No request has been measured yet. Objectives are assumed to be within
        # reach of an idle engine, but with no margin.
        model = EngineModel()
        model.set_initial_estimate(ENGINE, route(objective_s=0.8), 9000)
        speeds = model.speeds()
        self.assertLess(speeds.first_s(9000), 0.8)
        self.assertGreater(speeds.prefill_s(9000), 0.3)

    def test_follows_a_slower_engine(self) -> None:
        model = observed(TYPICAL, 60, random.Random(5))
        slower = dataclasses.replace(TYPICAL, read_token_s=1 / 20_000)
        for number in range(MAX_SAMPLES):
            tokens = 1000 + number * 100
            model.read(tokens, slower.first_s(tokens), 100.0 + number)
        self.assert_near(model.speeds().read_token_s, 1 / 20_000, 0.1)

    def test_most_samples_delayed_by_unreported_prompts(self) -> None:
        # Under a burst at ninety instances load reports come late, and six in
        # ten requests are queued behind prompts that are not known. By the mean
        # or median an engine would look three times slower than it is.
        rng = random.Random(11)
        model = EngineModel()
        for number in range(MAX_SAMPLES):
            tokens = rng.choice((300, 700, 1500, 3000, 9000))
            waited_s = rng.choice((0, 0, 0.3, 0.6, 0.9))
            seconds = TYPICAL.first_s(tokens) + waited_s
            model.read(tokens, seconds, number)
        self.assert_near(
            model.speeds().read_token_s, TYPICAL.read_token_s, part=0.2
        )

    def test_equal_prompt_sizes(self) -> None:
        # With a single prompt size the prefill time cannot be separated from
        # the constant part, and an estimate that is too low would overload the
        # servers.
        model = EngineModel()
        model.set_initial_estimate(ENGINE, route(), 1000)
        for _ in range(20):
            model.read(1000, 0.08, 0.0)
        self.assertGreaterEqual(model.speeds().first_s(1000), 0.079)

    def test_batch_size_is_bounded_by_the_cache(self) -> None:
        # A long prompt occupies much KV cache, so fewer of its kind share a
        # step.
        speeds = TYPICAL
        short = speeds.busy_s(ENGINE, 0, 100, 1000)
        long = speeds.busy_s(ENGINE, 0, 100, 100_000)
        self.assertGreater(long, short * 5)


class EngineModelsTest(unittest.TestCase):
    """Samples exchanged between instances."""

    def test_samples_are_sent_once(self) -> None:
        models = EngineModels()
        reading = EngineSample("pool", True, 900, 0.1)
        models.add_local_sample(reading, 0.0)
        self.assertEqual(models.take_unsent_samples(), [reading])
        self.assertEqual(models.take_unsent_samples(), [])

    def test_samples_of_other_instances_only(self) -> None:
        # One of ninety instances has few requests of its own.
        here, there = EngineModels(), EngineModels()
        for tokens in (500, 1000, 4000, 8000) * 3:
            sample = EngineSample("pool", True, tokens, TYPICAL.first_s(tokens))
            there.add_local_sample(sample, 0.0)
            here.add_peer_samples(there.take_unsent_samples(), 0.0)
        found = here.of("pool").speeds()
        self.assertAlmostEqual(found.read_token_s, TYPICAL.read_token_s)


if __name__ == "__main__":
    unittest.main()
