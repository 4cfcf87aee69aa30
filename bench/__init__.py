"""Load generator, experiments and benchmarks."""
