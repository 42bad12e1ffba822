"""The wire's fields in our types, and our decisions as wire messages; milliseconds become seconds."""

from herongap.interface import EndReason, LoadReport, StreamerEntry, StreamerStatus, ViewingRequest

ENDINGS = {
    "OK": EndReason.PLAYED,
    "INTERNAL": EndReason.FAULTY,
    "RESOURCE_EXHAUSTED": EndReason.FULL,
    "DEADLINE_EXCEEDED": EndReason.TIMED_OUT,
    "UNAVAILABLE": EndReason.UNREACHED,
    "ABORTED": EndReason.BROKEN,
    "CANCELLED": EndReason.CALLED_OFF,
    "TOO_LATE": EndReason.NOT_SENT,
}
STANDINGS = {"active": StreamerStatus.ACTIVE, "leaving": StreamerStatus.LEAVING, "left": StreamerStatus.LEFT}


def listed(line: dict, racks: int) -> StreamerEntry:
    """One entry of a list; a cell's streamers hold the same titles, and its rack is the cell mod `racks`."""
    cell = int(line["SlotNo"])
    since = line.get("UpSince") or 0
    return StreamerEntry(
        line["Streamer"],
        line["Hall"],
        line["Flavor"],
        cell,
        cell,
        cell % racks,
        STANDINGS[line["State"]],
        float(line.get("Scale", 1)),
        since / 1000 if since else None,
    )


def asked(f: dict, cells: int) -> ViewingRequest:
    """A request, or a viewing handed over; its holders are a run of the wire's `cells`."""
    hint = f.get("SizeHint")
    return ViewingRequest(
        f["Ref"],
        f["Subject"],
        f["Grade"],
        f.get("Team") or None,
        f["Item"],
        frozenset((int(f["Home"]) + i) % cells for i in range(int(f["Holders"]))),
        int(f["MaxRung"]),
        f.get("Remaining", 0) / 1000,
        None if hint is None else hint / 1000,
        bool(f.get("Moved")),
        bool(f.get("Reconnect") or f.get("AgainByClient")),
    )


def load(f: dict) -> LoadReport | None:
    """A load report; what the module does not use is passed over."""
    r = f.get("Feedback")
    return None if r is None else LoadReport(r.get("x0"), r.get("cpu_share"), r.get("x1"))


MESSAGES = {
    "tune_in": lambda vw, st, time_out: (
        "Transmit",
        {"Ref": vw, "Streamer": st, "Patience": time_out * 1000},
    ),
    "rung": lambda vw, rung: ("StepTo", {"Ref": vw, "TierNo": rung}),
    "block": lambda vw, come_back: ("PushBack", {"Ref": vw, "HoldOff": come_back * 1000}),
    "abort": lambda vw: ("GiveUp", {"Ref": vw}),
    "call_off": lambda vw, number: ("Cancel", {"Ref": vw, "Shot": number}),
    "move": lambda vw: ("Evict", {"Ref": vw}),
    "probe": lambda st: ("SoundOut", {"Streamer": st}),
    "follow": lambda: ("Track", {"Enable": True}),
    "tell": lambda peer, words: ("Notify", {"Target": peer, "Contents": words.hex()}),
    "wake": lambda at: ("Timer", {"Ctx": "wake", "DueAt": at * 1000}),
}
