"""Manifests (ISO/IEC 23009-1, 4th edition), one for each viewing: its rungs, its streamer, its token.

The token is a part of BaseURL's path, so that any player carries it with every segment. `Location` is where
the manifest is fetched again: a move or another top reaches the player there, at the latest after
`minimumUpdatePeriod`. Made with ElementTree, which escapes whatever a title's name contains.
"""

from datetime import UTC, datetime
from typing import NamedTuple
from xml.etree import ElementTree as Xml

from herongap.errors import Unusable

MPD_MEDIA_TYPE = "application/dash+xml"
NAMESPACE = "urn:mpeg:dash:schema:mpd:2011"
LIVE = "urn:mpeg:dash:profile:isoff-live:2011"
BUFFER = 2.0  # segments that a player should hold before it plays
TIME_SHIFT_SECONDS = 30.0  # seconds of a live title that can be fetched


class NoRungs(Unusable):
    """A manifest was asked for of rungs that an asset does not have."""

    advice = "check [ladder] and the packages against the catalogue; else tell the maintainers"


class Video(NamedTuple):
    """One rung: its rate in kB a second, and how it is encoded."""

    rate: float
    codecs: str = "avc1.64001f"
    width: int = 0
    height: int = 0


class Asset(NamedTuple):
    """A title as it is cut into segments of `segment` seconds.

    `began` is when segment 1 of a live title began, seconds since the epoch; None for a recorded one, which
    lasts `length` seconds. `timeline` names segments by their time instead of their number; their times are
    then counted in `scale` parts of a second.
    """

    videos: tuple[Video, ...]
    segment_seconds: float
    start_time: float | None = None
    duration_seconds: float = 0.0
    timeline: bool = False
    timescale: int = 1000


def build_manifest(
    asset: Asset, floor: int, top: int, base: str, location: str, now: float, update: float
) -> bytes:
    """The manifest of a viewing that may use the rungs from `floor` to `top`.

    `base` is where its streamer serves it, `location` where the manifest is had again; `now` in seconds since
    the epoch, `update` the seconds after which a player should ask again. Raises ValueError for rungs that
    there are not.
    """
    if not 0 <= floor <= top < len(asset.videos):
        raise NoRungs(f"rungs {floor} to {top} of {len(asset.videos)}")
    mpd = Xml.Element(
        "MPD", {"xmlns": NAMESPACE, "profiles": LIVE, "minBufferTime": _span(BUFFER * asset.segment_seconds)}
    )
    if asset.start_time is None:
        mpd.attrib |= {"type": "static", "mediaPresentationDuration": _span(asset.duration_seconds)}
    else:
        mpd.attrib |= {
            "type": "dynamic",
            "availabilityStartTime": _moment(asset.start_time),
            "publishTime": _moment(now),
            "timeShiftBufferDepth": _span(TIME_SHIFT_SECONDS),
        }
    # A recorded title is steered the same way: with an update period its manifest is asked for again too.
    mpd.set("minimumUpdatePeriod", _span(update))
    # 5.3.1.2: BaseURL stands before Location, both before Period.
    Xml.SubElement(mpd, "BaseURL").text = base
    Xml.SubElement(mpd, "Location").text = location
    period = Xml.SubElement(mpd, "Period", {"id": "1", "start": "PT0S"})
    if asset.start_time is None:
        period.set("duration", _span(asset.duration_seconds))
    shape = {"contentType": "video", "mimeType": "video/mp4", "segmentAlignment": "true", "startWithSAP": "1"}
    group = Xml.SubElement(period, "AdaptationSet", {"id": "1", **shape})
    _template(group, asset, now)
    for rung in range(floor, top + 1):
        video = asset.videos[rung]
        shown = {"id": str(rung), "bandwidth": str(round(video.rate * 8000)), "codecs": video.codecs}
        if video.width and video.height:
            shown |= {"width": str(video.width), "height": str(video.height)}
        Xml.SubElement(group, "Representation", shown)
    return Xml.tostring(mpd, encoding="utf-8", xml_declaration=True)


def _template(group: Xml.Element, asset: Asset, now: float) -> None:
    """5.3.9.4: one template for all rungs, by number with a fixed duration or by time with a timeline."""
    ticks = round(asset.segment_seconds * asset.timescale)
    common = {"timescale": str(asset.timescale), "initialization": "$RepresentationID$/init.mp4"}
    if not asset.timeline:
        media = {"media": "$RepresentationID$/$Number$.m4s", "startNumber": "1", "duration": str(ticks)}
        Xml.SubElement(group, "SegmentTemplate", common | media)
        return
    template = Xml.SubElement(group, "SegmentTemplate", common | {"media": "$RepresentationID$/$Time$.m4s"})
    first, last = available_segments(asset, now)
    if last < first:
        # 5.3.9.6: a timeline has an S; before the first segment is there, the one that will be.
        last = first
    lines = Xml.SubElement(template, "SegmentTimeline")
    short = _rest(asset) if asset.start_time is None else 0
    whole = last - first if short else last - first + 1
    if whole > 0:
        Xml.SubElement(lines, "S", {"t": str((first - 1) * ticks), "d": str(ticks), "r": str(whole - 1)})
    if short:
        Xml.SubElement(lines, "S", {"t": str((last - 1) * ticks), "d": str(short)})


def _rest(asset: Asset) -> int:
    """The ticks of a recorded title's last segment where it is shorter than the others, else 0."""
    return round(asset.duration_seconds * asset.timescale) % round(asset.segment_seconds * asset.timescale)


def available_segments(asset: Asset, now: float) -> tuple[int, int]:
    """The first and the last segment that can be fetched, by their numbers from 1."""
    if asset.start_time is None:
        count = -(
            -round(asset.duration_seconds * asset.timescale) // round(asset.segment_seconds * asset.timescale)
        )
        return 1, count
    last = int((now - asset.start_time) / asset.segment_seconds)
    return max(1, last - int(TIME_SHIFT_SECONDS / asset.segment_seconds) + 1), last


def _span(seconds: float) -> str:
    """An xs:duration."""
    return f"PT{seconds:.3f}".rstrip("0").rstrip(".") + "S"


def _moment(at: float) -> str:
    """An xs:dateTime in UTC."""
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
