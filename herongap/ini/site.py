"""One front's INI file: each value checked, every error told at once with section, key, value and what is
allowed.
"""

import configparser
from pathlib import Path
from typing import NamedTuple

from pydantic import ValidationError

from herongap.errors import UnusableInputError
from herongap.ini.cross_checks import check_sections
from herongap.ini.sections import (
    NAMED,
    NO_DEFAULT,
    ONCE,
    OPTIONAL,
    CatalogueSection,
    DashSection,
    EtcdSection,
    FleetBudgetSection,
    FrontSection,
    GossipSection,
    Section,
    StreamersSection,
    TokenSection,
)
from herongap.interface import BudgetScope, DeploymentConfig, FleetBudget, Package, RepeatSafety, RepeatScope
from herongap.overload import ProcessLimits


class ConfigFileError(UnusableInputError):
    """All that is wrong with a file, a line each."""

    advice = "correct each line that is named; `herongap check FILE` tells whether it is enough"


class SiteConfig(NamedTuple):
    """What a front is started with. `protocols` are those of each package, `defaults` each protocol's
    package.
    """

    front: FrontSection
    deployment: DeploymentConfig
    patience: dict[str, float]
    protocols: dict[str, list[str]]
    defaults: dict[str, str]
    tokens: dict[str, TokenSection]
    fleet_budgets: dict[str, FleetBudgetSection]
    streamers: StreamersSection
    etcd: EtcdSection | None
    dash: DashSection | None
    gossip: GossipSection | None
    catalogue: CatalogueSection
    connect: float
    limits: ProcessLimits


def read_site_config(path: Path) -> SiteConfig:
    """Read and check a front's file; relative paths in it are taken from its folder.

    Raises ConfigFileError.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigFileError(f"{path}: {fault}") from fault
    return parse_site_config(text, path)


def parse_site_config(text: str, path: Path) -> SiteConfig:
    """Check the text of a front's file, which stands at `path`. Raises ConfigFileError."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as fault:
        raise ConfigFileError(f"{path}: {fault}") from fault
    faults: list[str] = []
    parts: dict[str, Section] = {}
    named: dict[str, dict[str, Section]] = {kind: {} for kind in NAMED}
    places: dict[str, int] = {}
    for section in parser.sections():
        values = dict(parser[section])
        kind, _, name = section.partition(" ")
        if section == "places":
            places = _places(values, faults)
        elif section in ONCE:
            parts[section] = _part(section, ONCE[section], values, faults)
        elif kind in NAMED and name.strip():
            named[kind][name.strip()] = _part(section, NAMED[kind], values, faults)
        else:
            known = ", ".join([*ONCE, "places", *(f"{kind} NAME" for kind in NAMED)])
            faults.append(f"[{section}]: unknown section; allowed: {known}")
    for section, model in ONCE.items():
        if section not in parts and section not in OPTIONAL:
            faults.append(f"[{section}]: missing; needed keys: {', '.join(_needed(model))}")
        elif section not in parts and section not in NO_DEFAULT:
            parts[section] = model()
    if not places and "places" not in parser:
        # The pace of set-ups to streamers that may be cold goes by them.
        faults.append("[places]: missing; a key for each kind of streamer, the viewings that one plays")
    if not named["package"]:
        faults.append("[package NAME]: at least one package is needed")
    if not faults:
        check_sections(parts, named, faults)
    if faults:
        raise ConfigFileError("\n".join(f"{path}: {fault}" for fault in faults))
    return _site(path, parts, named, places)


def _needed(model: type[Section]) -> list[str]:
    return [name for name, f in model.model_fields.items() if f.is_required()]


def _part(section: str, model: type[Section], values: dict[str, str], faults: list[str]) -> Section | None:
    try:
        return model.model_validate(values)
    except ValidationError as fault:
        for error in fault.errors():
            key = str(error["loc"][0])
            if error["type"] == "missing":
                faults.append(f"[{section}] {key}: missing")
            elif error["type"] == "extra_forbidden":
                known = ", ".join(model.model_fields)
                faults.append(f"[{section}] {key} = {values[key]}: unknown key; allowed: {known}")
            else:
                faults.append(f"[{section}] {key} = {values.get(key)}: {error['msg']}")
        return None


def _places(values: dict[str, str], faults: list[str]) -> dict[str, int]:
    places = {}
    for kind, value in values.items():
        if not value.isdigit() or not int(value):
            faults.append(f"[places] {kind} = {value}: a whole number of viewings above 0 is allowed")
        else:
            places[kind] = int(value)
    return places


def _beside(part: Section, near: Path, *keys: str) -> Section:
    """Paths taken from the file's folder."""
    return part.model_copy(update={k: str(near / value) for k in keys if (value := getattr(part, k))})


def _site(path: Path, parts: dict, named: dict, places: dict[str, int]) -> SiteConfig:
    front, ladder, links = parts["front"], parts["ladder"], parts["links"]
    tune_ins, cold, budget = parts["tune_ins"], parts["cold"], parts.get("budget")
    top = len(ladder.rates) - 1
    packages = tuple(
        Package(
            name,
            p.join_target,
            p.value,
            RepeatSafety[p.repeat.upper()],
            RepeatScope[p.group.upper()],
            p.repeat_window,
            p.scale,
            p.floor,
            min(p.top, top),
            p.seats,
            p.live,
        )
        for name, p in named["package"].items()
    )
    deployment = DeploymentConfig(
        me=front.number,
        zone=front.zone,
        controllers=front.controllers,
        over_share=links.over_share,
        packages=packages,
        ladder=tuple(ladder.rates),
        worths=tuple(ladder.values),
        join_adds=links.join_adds,
        link_per_weight=links.per_weight,
        rack_link=links.rack,
        places=places,
        full_from=links.full_from,
        told_late=links.told_late,
        tune_ins=tune_ins.most,
        probes=tune_ins.probes,
        come_back=tune_ins.come_back,
        must_follow=False,
        warm_up=cold.warm_up,
        cold_start=cold.start,
        fall_multiple=cold.fall_multiple,
        fall_within=cold.fall_within,
        extra_free=budget.free if budget else None,
        extra_share=budget.share if budget else 0.0,
        extra_window=budget.window if budget else 0.0,
        wholes=tuple(
            FleetBudget(
                name, BudgetScope[w.counts.upper()], w.package or None, w.member or None, w.title or None
            )
            for name, w in named["budget"].items()
        ),
    )
    defaults = {}
    for name, p in named["package"].items():
        for protocol in p.protocol:
            if p.default or protocol not in defaults:
                defaults[protocol] = name
    near = path.resolve().parent
    files = {
        key: str(near / value)
        for key in ("record", "log_to", "journal")
        if (value := getattr(front, key)) not in ("", "-")
    }
    return SiteConfig(
        front=front.model_copy(update=files),
        deployment=deployment,
        patience={name: p.patience for name, p in named["package"].items()},
        protocols={name: p.protocol for name, p in named["package"].items()},
        defaults=defaults,
        tokens=named["token"],
        fleet_budgets=named["budget"],
        streamers=_beside(parts["streamers"], near, "list"),
        etcd=_beside(parts["etcd"], near, "password_file", "remembered") if "etcd" in parts else None,
        dash=_beside(parts["dash"], near, "keys") if "dash" in parts else None,
        gossip=parts.get("gossip"),
        catalogue=parts["catalogue"].model_copy(update={"file": str(near / parts["catalogue"].file)}),
        connect=tune_ins.connect,
        limits=ProcessLimits(**parts["limits"].model_dump()),
    )
