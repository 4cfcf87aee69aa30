"""Writes tables and plots from the summaries of bench.compare.

Usage: python -m bench.report FOLDER SUMMARY.json [SUMMARY.json ...]
"""

import json
import pathlib
import re
import sys

import pygal

# Removed from the plots, since pygal embeds scripts in SVG.
_SCRIPT = re.compile(r"<script.*?</script>", re.DOTALL)
_FIGURES = (
    ("goodput", "goodput, tokens/s", "{:.0f}"),
    ("wasted_share", "wasted", "{:.2%}"),
    ("others", "other organisations", "{:.3f}"),
    ("wrong", "wrong answers", "{:.0f}"),
    ("lost", "no answer", "{:.1f}"),
    ("tries", "tries", "{:.2f}"),
    ("cpu", "CPU a daemon", "{:.3f}"),
    ("control_frames", "frames/s a daemon", "{:.1f}"),
    ("control_bytes", "gossip B/s a daemon", "{:.0f}"),
)


def main() -> None:
    """Writes one summary, the tables and a plot for each user and version."""
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    runs = [
        run
        for path in sys.argv[2:]
        for run in json.loads(pathlib.Path(path).read_text())
    ]
    (folder / "summary.json").write_text(json.dumps(runs, indent=1) + "\n")
    (folder / "TABLES.md").write_text(_tables(runs))
    for user in sorted({run["user"] for run in runs}):
        user_runs = [run for run in runs if run["user"] == user]
        for version in sorted({run["version"] for run in user_runs}):
            _write_plot(folder, user, version, user_runs)


def _tables(runs: list[dict]) -> str:
    lines = [
        "# Versions side by side",
        "",
        "Mean over seeds, least and most in brackets. Made by `python -m"
        " bench.report` from `summary.json`.",
        "",
    ]
    groups = {(run["user"], run["scenario"]): [] for run in runs}
    for run in runs:
        groups[run["user"], run["scenario"]].append(run)
    for (user, scenario), group in groups.items():
        first = group[0]
        lines += [
            f"## {user}, {scenario}",
            "",
            f"{first['seeds']} seeds of {first['seconds']:.0f} s.",
            "",
        ]
        lines += _table(group)
    return "\n".join(lines)


def _table(group: list[dict]) -> list[str]:
    classes = sorted(group[0]["attainment"])
    figures = [item for item in _FIGURES if item[0] in group[0]]
    header = ["version", *classes, *(title for _, title, _ in figures)]
    lines = [
        "| " + " | ".join(header) + " |",
        "| " + " | ".join("---" for _ in header) + " |",
    ]
    for run in group:
        cells = [run["version"]]
        for name in classes:
            mean, low, high = run["attainment"][name]
            cells.append(f"{mean:.3f} ({low:.2f}-{high:.2f})")
        for name, _, number_format in figures:
            cells.append(number_format.format(run[name][0]))
        lines.append("| " + " | ".join(cells) + " |")
    return [*lines, ""]


def _write_plot(
    folder: pathlib.Path, user: str, version: str, runs: list[dict]
) -> None:
    version_runs = [run for run in runs if run["version"] == version]
    chart = pygal.Bar(
        title=f"{user}, {version}: attainment by scenario",
        js=[],
        width=900,
        height=360,
        range=(0, 1),
        x_label_rotation=20,
    )
    chart.x_labels = [run["scenario"] for run in version_runs]
    for name in sorted(
        {name for run in version_runs for name in run["attainment"]}
    ):
        values = [
            run["attainment"].get(name, [None])[0] for run in version_runs
        ]
        chart.add(name, values)
    text = chart.render(is_unicode=True, disable_xml_declaration=True)
    path = folder / f"{user}-{version}.svg"
    path.write_text(_SCRIPT.sub("", text) + "\n")


if __name__ == "__main__":
    main()
