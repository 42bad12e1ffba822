"""Manifests (ISO/IEC 23009-1, 4th edition), one for each viewing: its rungs, its streamer, its token.

The token is part of the path in BaseURL, so that any player sends it with every segment request. `Location`
is where the manifest is fetched again: a move to another streamer or a different top rung reaches the player
there, at the latest after `minimumUpdatePeriod`. ElementTree escapes the names of titles.
"""

from datetime import UTC, datetime
from typing import NamedTuple
from xml.etree import ElementTree as Xml

from herongap.errors import Unusable

MPD_MEDIA_TYPE = "application/dash+xml"
NAMESPACE = "urn:mpeg:dash:schema:mpd:2011"
LIVE_PROFILE = "urn:mpeg:dash:profile:isoff-live:2011"
MIN_BUFFER_SEGMENTS = 2.0  # that a player should hold before it starts to play
TIME_SHIFT_SECONDS = 30.0  # of a live title that can be fetched


class NoSuchRungsError(Unusable):
    """A manifest was requested for rungs that the asset does not have."""

    advice = "check [ladder] and the packages against the catalogue; otherwise report a bug"


class Video(NamedTuple):
    """One rung: its rate in kB per second and its encoding."""

    rate: float
    codecs: str = "avc1.64001f"
    width: int = 0
    height: int = 0


class Asset(NamedTuple):
    """A title, divided into segments of `segment_seconds`.

    `start_time` is the start of segment 1 of a live title in seconds since the epoch; None for a recorded
    title, which lasts `duration_seconds`. With `timeline`, segments are addressed by their time instead of
    their number, counted in units of 1/`timescale` seconds.
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
    """Build the manifest of a viewing that may use the rungs from `floor` to `top`.

    `base` is the URL of the segments at the streamer, `location` the URL of the manifest; `now` is in seconds
    since the epoch, `update` the seconds after which a player should fetch the manifest again. Raises
    NoSuchRungsError.
    """
    if not 0 <= floor <= top < len(asset.videos):
        raise NoSuchRungsError(f"rungs {floor} to {top} requested, the asset has {len(asset.videos)}")
    mpd = Xml.Element(
        "MPD",
        {
            "xmlns": NAMESPACE,
            "profiles": LIVE_PROFILE,
            "minBufferTime": _to_duration(MIN_BUFFER_SEGMENTS * asset.segment_seconds),
        },
    )
    if asset.start_time is None:
        mpd.attrib |= {"type": "static", "mediaPresentationDuration": _to_duration(asset.duration_seconds)}
    else:
        mpd.attrib |= {
            "type": "dynamic",
            "availabilityStartTime": _to_datetime(asset.start_time),
            "publishTime": _to_datetime(now),
            "timeShiftBufferDepth": _to_duration(TIME_SHIFT_SECONDS),
        }
    # With an update period players also fetch the manifest of a recorded title again, so it can be moved too.
    mpd.set("minimumUpdatePeriod", _to_duration(update))
    # 5.3.1.2: BaseURL comes before Location, and both before Period.
    Xml.SubElement(mpd, "BaseURL").text = base
    Xml.SubElement(mpd, "Location").text = location
    period = Xml.SubElement(mpd, "Period", {"id": "1", "start": "PT0S"})
    if asset.start_time is None:
        period.set("duration", _to_duration(asset.duration_seconds))
    attributes = {
        "contentType": "video",
        "mimeType": "video/mp4",
        "segmentAlignment": "true",
        "startWithSAP": "1",
    }
    adaptation_set = Xml.SubElement(period, "AdaptationSet", {"id": "1", **attributes})
    _add_segment_template(adaptation_set, asset, now)
    for rung in range(floor, top + 1):
        video = asset.videos[rung]
        representation = {"id": str(rung), "bandwidth": str(round(video.rate * 8000)), "codecs": video.codecs}
        if video.width and video.height:
            representation |= {"width": str(video.width), "height": str(video.height)}
        Xml.SubElement(adaptation_set, "Representation", representation)
    return Xml.tostring(mpd, encoding="utf-8", xml_declaration=True)


def _add_segment_template(adaptation_set: Xml.Element, asset: Asset, now: float) -> None:
    """5.3.9.4: one template for all rungs, by number with a fixed duration or by time with a timeline."""
    ticks = round(asset.segment_seconds * asset.timescale)
    common = {"timescale": str(asset.timescale), "initialization": "$RepresentationID$/init.mp4"}
    if not asset.timeline:
        media = {"media": "$RepresentationID$/$Number$.m4s", "startNumber": "1", "duration": str(ticks)}
        Xml.SubElement(adaptation_set, "SegmentTemplate", common | media)
        return
    template = Xml.SubElement(
        adaptation_set, "SegmentTemplate", common | {"media": "$RepresentationID$/$Time$.m4s"}
    )
    first, last = available_segments(asset, now)
    if last < first:
        # 5.3.9.6: a timeline needs an S element; before the first segment exists, announce that one.
        last = first
    timeline = Xml.SubElement(template, "SegmentTimeline")
    short_ticks = _last_segment_ticks(asset) if asset.start_time is None else 0
    full_segments = last - first if short_ticks else last - first + 1
    if full_segments > 0:
        Xml.SubElement(
            timeline, "S", {"t": str((first - 1) * ticks), "d": str(ticks), "r": str(full_segments - 1)}
        )
    if short_ticks:
        Xml.SubElement(timeline, "S", {"t": str((last - 1) * ticks), "d": str(short_ticks)})


def _last_segment_ticks(asset: Asset) -> int:
    """The length of a recorded title's last segment in ticks if it is shorter than the others, else 0."""
    return round(asset.duration_seconds * asset.timescale) % round(asset.segment_seconds * asset.timescale)


def available_segments(asset: Asset, now: float) -> tuple[int, int]:
    """The numbers of the first and the last segment that can be fetched; they count from 1."""
    if asset.start_time is None:
        count = -(
            -round(asset.duration_seconds * asset.timescale) // round(asset.segment_seconds * asset.timescale)
        )
        return 1, count
    last = int((now - asset.start_time) / asset.segment_seconds)
    return max(1, last - int(TIME_SHIFT_SECONDS / asset.segment_seconds) + 1), last


def _to_duration(seconds: float) -> str:
    """An xs:duration."""
    return f"PT{seconds:.3f}".rstrip("0").rstrip(".") + "S"


def _to_datetime(at: float) -> str:
    """An xs:dateTime in UTC."""
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
