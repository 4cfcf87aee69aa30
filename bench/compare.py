"""Compares the coordination versions over several seeds.

Prints a table and, with --out, writes the summary as JSON.
"""

import dataclasses
import statistics

from bench import experiment, figures
from bench.experiment import SCENARIOS, VERSIONS


def main() -> None:
    """Runs the selected users, scenarios and versions."""
    parser = figures.argument_parser(__doc__)
    parser.add_argument("--users", default="moreton,teixeira")
    parser.add_argument("--scenarios", default="calm,burst,overload")
    parser.add_argument("--versions", default=",".join(VERSIONS))
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    summary = []
    for user in options.users.split(","):
        for name in options.scenarios.split(","):
            rows = []
            for version in options.versions.split(","):
                outcomes = [
                    experiment.run(
                        user, SCENARIOS[name], version, seed, options.seconds
                    )
                    for seed in range(options.seeds)
                ]
                fields = summarise(outcomes)
                summary.append(
                    {
                        "user": user,
                        "scenario": name,
                        "version": version,
                        "seeds": options.seeds,
                        "seconds": options.seconds,
                        **fields,
                    }
                )
                rows.append(_row(version, fields))
            print(f"\n{user}, {name}")
            figures.show(rows)
            figures.write_json(summary, options.out)


def summarise(outcomes: list[experiment.Outcome]) -> dict:
    """Returns mean, minimum and maximum of each figure over the outcomes."""
    fields: dict = {}
    for field in dataclasses.fields(experiment.Outcome):
        values = [getattr(item, field.name) for item in outcomes]
        if isinstance(values[0], dict):
            fields[field.name] = {
                key: _mean_and_range([value[key] for value in values])
                for key in values[0]
            }
        elif values[0] is not None:
            fields[field.name] = _mean_and_range(values)
    return fields


def _mean_and_range(values: list[float]) -> list[float]:
    mean = statistics.mean(values)
    return [round(item, 5) for item in (mean, min(values), max(values))]


def _row(version: str, fields: dict) -> dict:
    row = {"version": version}
    for name, (mean, low, high) in fields["attainment"].items():
        row[name] = f"{mean:.3f} ({low:.2f}-{high:.2f})"
    row["goodput/s"] = f"{fields['goodput'][0]:.0f}"
    row["wasted"] = f"{fields['wasted_share'][0]:.2%}"
    if "others" in fields:
        row["others"] = f"{fields['others'][0]:.3f}"
    row["wrong"] = int(fields["wrong"][2])
    row["lost"] = round(fields["lost"][0], 1)
    row["tries"] = round(fields["tries"][0], 2)
    row["cpu"] = f"{fields['cpu'][0]:.3f}"
    row["frames/s"] = round(fields["control_frames"][0], 1)
    return row


if __name__ == "__main__":
    main()
