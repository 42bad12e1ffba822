"""Converts the wire's fields to our types, and decisions to messages; the wire's times are milliseconds."""

from herongap.interface import EndReason, LoadReport, StreamerEntry, StreamerStatus, ViewingRequest

END_REASONS = {
    "OK": EndReason.PLAYED,
    "INTERNAL": EndReason.FAULTY,
    "RESOURCE_EXHAUSTED": EndReason.FULL,
    "DEADLINE_EXCEEDED": EndReason.TIMED_OUT,
    "UNAVAILABLE": EndReason.UNREACHED,
    "ABORTED": EndReason.BROKEN,
    "CANCELLED": EndReason.CALLED_OFF,
    "TOO_LATE": EndReason.NOT_SENT,
}
STATUSES = {"active": StreamerStatus.ACTIVE, "leaving": StreamerStatus.LEAVING, "left": StreamerStatus.LEFT}


def parse_entry(element: dict, racks: int) -> StreamerEntry:
    """Return one entry of a streamer list.

    The streamers of a cell hold the same titles; the cell modulo `racks` is its rack.
    """
    cell = int(element["SlotNo"])
    started_ms = element.get("UpSince") or 0
    return StreamerEntry(
        element["Streamer"],
        element["Hall"],
        element["Flavor"],
        cell,
        cell,
        cell % racks,
        STATUSES[element["State"]],
        float(element.get("Scale", 1)),
        started_ms / 1000 if started_ms else None,
    )


def parse_request(fields: dict, cells: int) -> ViewingRequest:
    """Return a request, or a viewing handed over; its holders are consecutive ones of the `cells` cells."""
    length_ms = fields.get("SizeHint")
    return ViewingRequest(
        fields["Ref"],
        fields["Subject"],
        fields["Grade"],
        fields.get("Team") or None,
        fields["Item"],
        frozenset((int(fields["Home"]) + i) % cells for i in range(int(fields["Holders"]))),
        int(fields["MaxRung"]),
        fields.get("Remaining", 0) / 1000,
        None if length_ms is None else length_ms / 1000,
        bool(fields.get("Moved")),
        bool(fields.get("Reconnect") or fields.get("AgainByClient")),
    )


def parse_load(fields: dict) -> LoadReport | None:
    """Return a load report, or None; values that the deciding module does not use are ignored."""
    report = fields.get("Feedback")
    return None if report is None else LoadReport(report.get("x0"), report.get("cpu_share"), report.get("x1"))


# For each kind of decision, the function from its operands to a message's name and fields.
DECISION_ENCODERS = {
    "tune_in": lambda viewing, streamer, time_out: (
        "Transmit",
        {"Ref": viewing, "Streamer": streamer, "Patience": time_out * 1000},
    ),
    "rung": lambda viewing, rung: ("StepTo", {"Ref": viewing, "TierNo": rung}),
    "block": lambda viewing, come_back: ("PushBack", {"Ref": viewing, "HoldOff": come_back * 1000}),
    "abort": lambda viewing: ("GiveUp", {"Ref": viewing}),
    "call_off": lambda viewing, number: ("Cancel", {"Ref": viewing, "Shot": number}),
    "move": lambda viewing: ("Evict", {"Ref": viewing}),
    "probe": lambda streamer: ("SoundOut", {"Streamer": streamer}),
    "follow": lambda: ("Track", {"Enable": True}),
    "tell": lambda peer, words: ("Notify", {"Target": peer, "Contents": words.hex()}),
    "wake": lambda at: ("Timer", {"Ctx": "wake", "DueAt": at * 1000}),
}
