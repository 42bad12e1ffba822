"""The wire's fields in our types, and our decisions as wire messages; milliseconds become seconds."""

from herongap.interface import Asked, Charter, Ending, Group, Listed, Load, Package, Repeat, Standing

ENDINGS = {
    "OK": Ending.PLAYED,
    "INTERNAL": Ending.FAULTY,
    "RESOURCE_EXHAUSTED": Ending.FULL,
    "DEADLINE_EXCEEDED": Ending.TIMED_OUT,
    "UNAVAILABLE": Ending.UNREACHED,
    "ABORTED": Ending.BROKEN,
    "CANCELLED": Ending.CALLED_OFF,
    "TOO_LATE": Ending.NOT_SENT,
}
REPEATS = {"pure": Repeat.HARMLESS, "token": Repeat.IN_GROUP, "side_effect": Repeat.HARMFUL}
GROUPS = {
    "all": Group.ALL,
    "zone": Group.ZONE,
    "same zone": Group.ZONE,
    "cell": Group.CELL,
    "same cell": Group.CELL,
}
STANDINGS = {"active": Standing.ACTIVE, "leaving": Standing.LEAVING, "left": Standing.LEFT}


def charter(conf: dict) -> Charter:
    """The settings of one instance; keys not named here are passed over."""
    info, allowed, rules = conf["FamilyInfo"], conf["Allowed"], conf["Invariants"]
    free = rules.get("MinExtra")
    return Charter(
        me=int(conf["Me"]),
        zone=conf.get("Locality", ""),
        controllers=int(conf["FleetSize"]),
        over_share=float(conf.get("OverShareWorth", 1)),
        packages=tuple(package(g, info, i) for i, g in enumerate(conf["Grades"])),
        ladder=tuple(map(float, info["LadderKb"])),
        worths=tuple(map(float, info["LevelWorth"])),
        join_adds=float(info.get("JoinAdds", 1)),
        link_per_weight=float(info["KbPerWeight"]),
        rack_link=float(info["RackLinkKb"]),
        places=dict(zip(conf["Skus"], map(int, info["KindSlots"]), strict=False)),
        full_from=float(info.get("RefusesFrom", 0)),
        told_late=info.get("ToldLate", 0) / 1000,
        tune_ins=int(allowed["MaxAttempts"]),
        probes=bool(allowed.get("Probes")),
        come_back=allowed.get("MaxRetryAfter", 0) / 1000 if allowed.get("RetryAfter") else 0.0,
        must_follow=conf.get("RegistryMode") == "ask",
        warm_up=rules["RampTime"] / 1000,
        cold_start=float(rules["StartCapacity"]),
        fall_multiple=float(rules["FallMultiple"]),
        extra_free=None if free is None else float(free),
        extra_share=float(rules.get("RepeatRatio") or 0),
        extra_window=(rules.get("LookBack") or 0) / 1000,
    )


def package(grade: dict, info: dict, i: int) -> Package:
    """One package; the per-package lists of the settings run in the order of the packages."""

    def of(name: str, default):
        figures = info.get(name) or ()
        return figures[i] if i < len(figures) else default

    return Package(
        name=grade["Name"],
        join_target=grade["Aim"] / 1000,
        value=float(grade.get("Credit", 1)),
        repeat=REPEATS[grade["Idempotency"]],
        group=GROUPS[grade.get("Group", "all")],
        repeat_window=grade.get("Window", 0) / 1000,
        scale=float(of("ClassScale", 1)),
        floor=int(of("ClassFloor", 0)),
        top=int(of("TopByClass", len(info["LadderKb"]) - 1)),
        seats=int(of("Seats", 0)),
        live=bool(of("IsLive", False)),
    )


def listed(line: dict, racks: int) -> Listed:
    """One entry of a list; a cell's streamers hold the same titles, and its rack is the cell mod `racks`."""
    cell = int(line["SlotNo"])
    since = line.get("UpSince") or 0
    return Listed(
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


def asked(f: dict, cells: int) -> Asked:
    """A request, or a viewing handed over; its holders are a run of the wire's `cells`."""
    hint = f.get("SizeHint")
    return Asked(
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


def load(f: dict) -> Load | None:
    """A load report; what the module does not use is passed over."""
    r = f.get("Feedback")
    return None if r is None else Load(r.get("x0"), r.get("cpu_share"), r.get("x1"))


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
