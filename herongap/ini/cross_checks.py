"""Checks that span several sections of a controller's INI file; each error is a line of its own."""

import re


def check_sections(sections: dict, named: dict, errors: list[str]) -> None:
    """Append the errors found; `named` holds the sections with a name, by kind and name."""
    rungs = len(sections["ladder"].rates)
    if len(sections["ladder"].values) != rungs:
        errors.append(f"[ladder] values: {rungs} are needed, one for each rate")
    if sections["front"].number >= sections["front"].controllers:
        errors.append(f"[front] number = {sections['front'].number}: must be under controllers")
    for name, package in named["package"].items():
        if package.floor >= rungs or package.floor > package.top:
            errors.append(
                f"[package {name}] floor = {package.floor}: must be a rung (0 to {rungs - 1}) not above top"
            )
        if package.join_target > package.patience:
            errors.append(f"[package {name}] join_target = {package.join_target}: must not exceed patience")
    if bool(sections["streamers"].list) == ("etcd" in sections):
        errors.append("[streamers] list, or [etcd]: exactly one of them must provide the streamer list")
    if "gossip" in sections and "etcd" not in sections and not sections["gossip"].seeds:
        errors.append("[gossip] seeds: needed without [etcd], to find the other controllers")
    if "etcd" in sections and bool(sections["etcd"].user) != bool(sections["etcd"].password_file):
        errors.append("[etcd] user and password_file: both are needed, or neither")
    if (has_dash := "dash" in sections) != any("dash" in p.protocol for p in named["package"].values()):
        errors.append(
            "[dash]: " + ("no package has protocol = dash" if has_dash else "missing, a package needs it")
        )
    if has_dash and sections["dash"].ahead >= sections["dash"].rotate:
        errors.append(f"[dash] ahead = {sections['dash'].ahead}: must be under rotate")
    for protocol in ("whep", "whip", "dash"):
        defaults = [n for n, p in named["package"].items() if protocol in p.protocol and p.default]
        if len(defaults) > 1:
            errors.append(
                f"[package {defaults[1]}] default = yes: [package {defaults[0]}] is the default already"
            )
    for name, token in named["token"].items():
        for package in token.packages:
            if package not in named["package"]:
                errors.append(f"[token {name}] packages: no [package {package}] in this file")
    _check_fleet_budgets(sections, named, errors)


def _check_fleet_budgets(sections: dict, named: dict, errors: list[str]) -> None:
    for name, budget in named["budget"].items():
        header, controllers = f"[budget {name}]", sections["front"].controllers
        if not re.fullmatch(r"[A-Za-z0-9_.-]+", name):
            errors.append(
                f"{header}: a name of letters, digits, _ . and - is needed, because it is part of an etcd key"
            )
        if "etcd" not in sections:
            errors.append(f"{header}: needs [etcd], through which controllers divide it")
        if (budget.kind == "held") != (budget.counts == "viewings"):
            errors.append(f"{header} counts = {budget.counts}: held counts viewings, rate the others")
        for key, kind in (("window", "rate"), ("linger", "held")):
            if bool(getattr(budget, key)) != (budget.kind == kind):
                errors.append(
                    f"{header} {key} = {getattr(budget, key)}: above 0 where kind = {kind}, else absent"
                )
        if budget.floor * controllers > budget.whole:
            errors.append(
                f"{header} floor = {budget.floor}: {controllers} of them are more than whole = {budget.whole}"
            )
        if budget.package and budget.package not in named["package"]:
            errors.append(f"{header} package = {budget.package}: no [package {budget.package}] in this file")
