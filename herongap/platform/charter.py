"""A deployment's settings, as the simulator and the platform both state them, in our types and units."""

from herongap.interface import DeploymentConfig, Package, RepeatSafety, RepeatScope

REPEATS = {"pure": RepeatSafety.HARMLESS, "token": RepeatSafety.IN_GROUP, "side_effect": RepeatSafety.HARMFUL}
GROUPS = {
    "all": RepeatScope.ALL,
    "zone": RepeatScope.ZONE,
    "same zone": RepeatScope.ZONE,
    "cell": RepeatScope.CELL,
    "same cell": RepeatScope.CELL,
}


def charter(conf: dict) -> DeploymentConfig:
    """The settings of one instance; keys not named here are passed over."""
    info, allowed, rules = conf["FamilyInfo"], conf["Allowed"], conf["Invariants"]
    free = rules.get("MinExtra")
    return DeploymentConfig(
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
        # Worth their price only where nothing else tells load: answers may carry the same reports.
        probes=bool(allowed.get("Probes")) and (conf.get("Report") or {}).get("Via") == "on_probe",
        come_back=allowed.get("MaxRetryAfter", 0) / 1000 if allowed.get("RetryAfter") else 0.0,
        must_follow=conf.get("RegistryMode") == "ask",
        warm_up=rules["RampTime"] / 1000,
        cold_start=float(rules["StartCapacity"]),
        fall_multiple=float(rules["FallMultiple"]),
        fall_within=rules.get("TipAfter", 1000.0) / 1000,
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
