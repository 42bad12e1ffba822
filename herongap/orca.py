"""Load in answers: the ORCA header `endpoint-load-metrics` in its JSON form. No I/O.

Named metrics: `link`, what is asked of a streamer's link over what it gives, and `rack`, the same of its
rack's uplink. A figure that a deployment does not report is absent. `application_utilization` stands for
`link` where a server reports only that; it is capped at 1 by many, and is then told as such.
"""

import json
import math

from herongap.interface import LoadReport

LOAD_HEADER = "endpoint-load-metrics"


def read_load(value: str | None) -> LoadReport | None:
    """The load in a header's value; None where there is none, or none that can be read."""
    if not value:
        return None
    form, _, text = value.strip().partition(" ")
    if form.upper() != "JSON":
        return None
    try:
        report = json.loads(text)
        named = report.get("named_metrics") or {}
        link, rack = _ratio(named.get("link")), _ratio(named.get("rack"))
        capped = _ratio(report.get("application_utilization")) if link is None else None
    except (ValueError, AttributeError):
        return None
    return None if link is rack is capped is None else LoadReport(link, capped, rack)


def write_load(load: LoadReport) -> str:
    """A header's value."""
    named = {
        name: round(value, 4)
        for name, value in (("link", load.link), ("rack", load.rack))
        if value is not None
    }
    report = {"named_metrics": named}
    if load.link_capped is not None:
        report["application_utilization"] = load.link_capped
    return "JSON " + json.dumps(report)


def _ratio(value) -> float | None:
    # A streamer's word steers placing: what is no figure at all must not reach the module.
    fine = (
        isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value) and value >= 0
    )
    return float(value) if fine else None
