"""The burn report as one self-contained HTML page."""

import re
from typing import Any

import jinja2
import pygal

from jasminerelay.burn import ReportRow

PERCENTILES = (50, 75, 90, 95, 99)
_SCRIPT_ELEMENT = re.compile(r"<script.*?</script>", re.DOTALL)


def row_fields(row: ReportRow) -> dict[str, Any]:
    """Converts a report row to values for JSON and the page."""
    return {
        "class": row.class_name,
        "rank": row.rank,
        "goal": row.goal,
        "target_s": row.target_s,
        "requests": row.long.requests,
        "ended": row.long.ended,
        "attainment_short": row.short.attainment,
        "attainment": row.long.attainment,
        "burn_short": row.short.burn_rate(row.goal),
        "burn_long": row.long.burn_rate(row.goal),
        "useful_tokens": row.long.useful_tokens,
        "wasted": row.long.wasted,
        "waste_share": row.long.waste_share,
        "latency_s": {
            f"p{percent}": row.long.latency_s(percent)
            for percent in PERCENTILES
        },
    }


def render(rows: list[ReportRow], answered: int, silent: list[str]) -> str:
    """Renders the page.

    Args:
        rows: Rows of the report, ordered by rank.
        answered: Number of instances that answered.
        silent: Names of the instances that did not answer.
    """
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("jasminerelay"),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
    )
    return environment.get_template("burn.html").render(
        rows=[row_fields(row) for row in rows],
        answered=answered,
        silent=silent,
        plots=[
            _attainment_chart(rows),
            _burn_rate_chart(rows),
            _latency_chart(rows),
        ],
    )


def _attainment_chart(rows: list[ReportRow]) -> str:
    chart = _new_chart("Attainment and goal")
    chart.x_labels = [row.class_name for row in rows]
    chart.add("attainment", [row.long.attainment for row in rows])
    chart.add("goal", [row.goal for row in rows])
    return _render_svg(chart)


def _burn_rate_chart(rows: list[ReportRow]) -> str:
    chart = _new_chart("Burn rate (1 just meets the goal)")
    chart.x_labels = [row.class_name for row in rows]
    chart.add("5 minutes", [row.short.burn_rate(row.goal) for row in rows])
    chart.add("1 hour", [row.long.burn_rate(row.goal) for row in rows])
    return _render_svg(chart)


def _latency_chart(rows: list[ReportRow]) -> str:
    chart = _new_chart("Latency relative to the target")
    chart.x_labels = [f"p{percent}" for percent in PERCENTILES]
    for row in rows:
        values = [
            row.long.latency_s(percent) / row.target_s
            for percent in PERCENTILES
        ]
        chart.add(row.class_name, values)
    return _render_svg(chart)


def _new_chart(title: str) -> pygal.Bar:
    return pygal.Bar(title=title, js=[], height=320, width=720)


def _render_svg(chart: pygal.Bar) -> str:
    # pygal embeds its configuration as a script. It is removed, since the page
    # is to be mailed and archived and must not depend on scripts or links.
    text = chart.render(is_unicode=True, disable_xml_declaration=True)
    return _SCRIPT_ELEMENT.sub("", text)
