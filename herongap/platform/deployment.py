"""Converts a deployment's settings, as the simulator and the platform both state them, to our types."""

from herongap.interface import DeploymentConfig, Package, RepeatSafety, RepeatScope

REPEAT_SAFETY = {
    "pure": RepeatSafety.HARMLESS,
    "token": RepeatSafety.IN_GROUP,
    "side_effect": RepeatSafety.HARMFUL,
}
REPEAT_SCOPES = {
    "all": RepeatScope.ALL,
    "zone": RepeatScope.ZONE,
    "same zone": RepeatScope.ZONE,
    "cell": RepeatScope.CELL,
    "same cell": RepeatScope.CELL,
}


def deployment_config(settings: dict) -> DeploymentConfig:
    """Return the configuration that one instance's settings describe; unknown keys are ignored."""
    info, allowed, rules = settings["FamilyInfo"], settings["Allowed"], settings["Invariants"]
    extra_free = rules.get("MinExtra")
    return DeploymentConfig(
        me=int(settings["Me"]),
        zone=settings.get("Locality", ""),
        controllers=int(settings["FleetSize"]),
        over_share=float(settings.get("OverShareWorth", 1)),
        packages=tuple(_package(grade, info, index) for index, grade in enumerate(settings["Grades"])),
        ladder=tuple(map(float, info["LadderKb"])),
        worths=tuple(map(float, info["LevelWorth"])),
        join_adds=float(info.get("JoinAdds", 1)),
        link_per_weight=float(info["KbPerWeight"]),
        rack_link=float(info["RackLinkKb"]),
        places=dict(zip(settings["Skus"], map(int, info["KindSlots"]), strict=False)),
        full_from=float(info.get("RefusesFrom", 0)),
        told_late=info.get("ToldLate", 0) / 1000,
        tune_ins=int(allowed["MaxAttempts"]),
        # Probes are paid for, so they are sent only where no answer or note reports the load as well.
        probes=bool(allowed.get("Probes")) and (settings.get("Report") or {}).get("Via") == "on_probe",
        come_back=allowed.get("MaxRetryAfter", 0) / 1000 if allowed.get("RetryAfter") else 0.0,
        must_follow=settings.get("RegistryMode") == "ask",
        warm_up=rules["RampTime"] / 1000,
        cold_start=float(rules["StartCapacity"]),
        fall_multiple=float(rules["FallMultiple"]),
        fall_within=rules.get("TipAfter", 1000.0) / 1000,
        extra_free=None if extra_free is None else float(extra_free),
        extra_share=float(rules.get("RepeatRatio") or 0),
        extra_window=(rules.get("LookBack") or 0) / 1000,
    )


def _package(grade: dict, info: dict, index: int) -> Package:
    """Return one package; the settings' per-package lists have the same order as the packages."""

    def setting(name: str, default):
        values = info.get(name) or ()
        return values[index] if index < len(values) else default

    return Package(
        name=grade["Name"],
        join_target=grade["Aim"] / 1000,
        value=float(grade.get("Credit", 1)),
        repeat=REPEAT_SAFETY[grade["Idempotency"]],
        group=REPEAT_SCOPES[grade.get("Group", "all")],
        repeat_window=grade.get("Window", 0) / 1000,
        scale=float(setting("ClassScale", 1)),
        floor=int(setting("ClassFloor", 0)),
        top=int(setting("TopByClass", len(info["LadderKb"]) - 1)),
        seats=int(setting("Seats", 0)),
        live=bool(setting("IsLive", False)),
    )
