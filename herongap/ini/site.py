"""Reading a controller's INI file.

All errors of the file are reported at once, each with its section, key, value and the allowed values.
"""

import configparser
from pathlib import Path
from typing import NamedTuple

from pydantic import ValidationError

from herongap.errors import UnusableInputError
from herongap.ini.cross_checks import check_sections
from herongap.ini.sections import (
    NAMED_SECTIONS,
    OPTIONAL_SECTIONS,
    SECTIONS_WITHOUT_DEFAULT,
    UNNAMED_SECTIONS,
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
    """All errors of a file, one a line."""

    advice = "correct each named setting; `herongap check FILE` checks the file again"


class SiteConfig(NamedTuple):
    """The settings that a controller process is started with.

    `patience` and `protocols` have an entry for each package, `defaults` has the default package of each
    protocol. `connect` is the time limit in seconds for connecting to a streamer.
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
    """Read and check a controller's file; relative paths in it are relative to its folder.

    Raises ConfigFileError.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigFileError(f"{path}: {error}") from error
    return parse_site_config(text, path)


def parse_site_config(text: str, path: Path) -> SiteConfig:
    """Check the text of the controller's file at `path`. Raises ConfigFileError."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise ConfigFileError(f"{path}: {error}") from error
    errors: list[str] = []
    sections: dict[str, Section] = {}
    named: dict[str, dict[str, Section]] = {kind: {} for kind in NAMED_SECTIONS}
    places: dict[str, int] = {}
    for section in parser.sections():
        values = dict(parser[section])
        kind, _, name = section.partition(" ")
        if section == "places":
            places = _parse_places(values, errors)
        elif section in UNNAMED_SECTIONS:
            sections[section] = _parse_section(section, UNNAMED_SECTIONS[section], values, errors)
        elif kind in NAMED_SECTIONS and name.strip():
            named[kind][name.strip()] = _parse_section(section, NAMED_SECTIONS[kind], values, errors)
        else:
            known = ", ".join([*UNNAMED_SECTIONS, "places", *(f"{kind} NAME" for kind in NAMED_SECTIONS)])
            errors.append(f"[{section}]: unknown section; allowed: {known}")
    for section, model in UNNAMED_SECTIONS.items():
        if section not in sections and section not in OPTIONAL_SECTIONS:
            errors.append(f"[{section}]: missing; needed keys: {', '.join(_required_keys(model))}")
        elif section not in sections and section not in SECTIONS_WITHOUT_DEFAULT:
            sections[section] = model()
    if not places and "places" not in parser:
        # The numbers of places determine the rate of set-ups to streamers in slow start.
        errors.append("[places]: missing; needs a key for each kind of streamer: the viewings that one plays")
    if not named["package"]:
        errors.append("[package NAME]: at least one package is needed")
    if not errors:
        check_sections(sections, named, errors)
    if errors:
        raise ConfigFileError("\n".join(f"{path}: {error}" for error in errors))
    return _build_site_config(path, sections, named, places)


def _required_keys(model: type[Section]) -> list[str]:
    return [name for name, field in model.model_fields.items() if field.is_required()]


def _parse_section(
    section: str, model: type[Section], values: dict[str, str], errors: list[str]
) -> Section | None:
    try:
        return model.model_validate(values)
    except ValidationError as error:
        for detail in error.errors():
            key = str(detail["loc"][0])
            if detail["type"] == "missing":
                errors.append(f"[{section}] {key}: missing")
            elif detail["type"] == "extra_forbidden":
                known = ", ".join(model.model_fields)
                errors.append(f"[{section}] {key} = {values[key]}: unknown key; allowed: {known}")
            else:
                errors.append(f"[{section}] {key} = {values.get(key)}: {detail['msg']}")
        return None


def _parse_places(values: dict[str, str], errors: list[str]) -> dict[str, int]:
    places = {}
    for kind, value in values.items():
        if not value.isdigit() or not int(value):
            errors.append(f"[places] {kind} = {value}: a whole number of viewings above 0 is allowed")
        else:
            places[kind] = int(value)
    return places


def _resolve_paths(section: Section, folder: Path, *keys: str) -> Section:
    """A copy of the section in which the paths under `keys` are relative to the file's folder."""
    return section.model_copy(
        update={key: str(folder / value) for key in keys if (value := getattr(section, key))}
    )


def _build_site_config(path: Path, sections: dict, named: dict, places: dict[str, int]) -> SiteConfig:
    front, ladder, links = sections["front"], sections["ladder"], sections["links"]
    # [budget] is the retry budget, each [budget NAME] a fleet budget.
    tune_ins, cold, retry_budget = sections["tune_ins"], sections["cold"], sections.get("budget")
    top_rung = len(ladder.rates) - 1
    packages = tuple(
        Package(
            name,
            package.join_target,
            package.value,
            RepeatSafety[package.repeat.upper()],
            RepeatScope[package.group.upper()],
            package.repeat_window,
            package.scale,
            package.floor,
            min(package.top, top_rung),
            package.seats,
            package.live,
        )
        for name, package in named["package"].items()
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
        extra_free=retry_budget.free if retry_budget else None,
        extra_share=retry_budget.share if retry_budget else 0.0,
        extra_window=retry_budget.window if retry_budget else 0.0,
        wholes=tuple(
            FleetBudget(
                name,
                BudgetScope[budget.counts.upper()],
                budget.package or None,
                budget.member or None,
                budget.title or None,
            )
            for name, budget in named["budget"].items()
        ),
    )
    defaults = {}
    for name, package in named["package"].items():
        for protocol in package.protocol:
            if package.default or protocol not in defaults:
                defaults[protocol] = name
    folder = path.resolve().parent
    files = {
        key: str(folder / value)
        for key in ("record", "log_to", "journal")
        if (value := getattr(front, key)) not in ("", "-")
    }
    return SiteConfig(
        front=front.model_copy(update=files),
        deployment=deployment,
        patience={name: package.patience for name, package in named["package"].items()},
        protocols={name: package.protocol for name, package in named["package"].items()},
        defaults=defaults,
        tokens=named["token"],
        fleet_budgets=named["budget"],
        streamers=_resolve_paths(sections["streamers"], folder, "list"),
        etcd=_resolve_paths(sections["etcd"], folder, "password_file", "remembered")
        if "etcd" in sections
        else None,
        dash=_resolve_paths(sections["dash"], folder, "keys") if "dash" in sections else None,
        gossip=sections.get("gossip"),
        catalogue=sections["catalogue"].model_copy(update={"file": str(folder / sections["catalogue"].file)}),
        connect=tune_ins.connect,
        limits=ProcessLimits(**sections["limits"].model_dump()),
    )
