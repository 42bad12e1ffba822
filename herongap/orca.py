"""Load reports in responses: the ORCA header `endpoint-load-metrics` in its JSON form. No I/O.

Named metrics: `link` is the requested over the available throughput of a streamer's link, `rack` the same for
its rack's uplink. A metric that a deployment does not report is absent. `application_utilization` replaces
`link` where a server reports only that; many servers cap it at 1, so it is reported as a capped value.
"""

import json
import math

from herongap.interface import LoadReport

LOAD_HEADER = "endpoint-load-metrics"


def read_load(value: str | None) -> LoadReport | None:
    """The load in a header's value; None without a readable one."""
    if not value:
        return None
    encoding, _, text = value.strip().partition(" ")
    if encoding.upper() != "JSON":
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
    """The header's value for a load."""
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
    # Reported loads influence placement, so anything that is not a finite number from 0 up is dropped.
    valid = (
        isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value) and value >= 0
    )
    return float(value) if valid else None
