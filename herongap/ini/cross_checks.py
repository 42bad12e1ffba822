"""What the sections of a front's file must be to each other; each fault is a line of its own."""

import re


def check_sections(parts: dict, named: dict, faults: list[str]) -> None:
    rungs = len(parts["ladder"].rates)
    if len(parts["ladder"].values) != rungs:
        faults.append(f"[ladder] values: {rungs} are needed, one for each rate")
    if parts["front"].number >= parts["front"].controllers:
        faults.append(f"[front] number = {parts['front'].number}: must be under controllers")
    for name, p in named["package"].items():
        if p.floor >= rungs or p.floor > p.top:
            faults.append(
                f"[package {name}] floor = {p.floor}: must be a rung (0 to {rungs - 1}) not above top"
            )
        if p.join_target > p.patience:
            faults.append(f"[package {name}] join_target = {p.join_target}: must not exceed patience")
    if bool(parts["streamers"].list) == ("etcd" in parts):
        faults.append("[streamers] list, or [etcd]: the list of streamers comes from one of them")
    if "gossip" in parts and "etcd" not in parts and not parts["gossip"].seeds:
        faults.append("[gossip] seeds: needed without [etcd], or nobody is ever met")
    if "etcd" in parts and bool(parts["etcd"].user) != bool(parts["etcd"].password_file):
        faults.append("[etcd] user and password_file: both are needed, or neither")
    if (served := "dash" in parts) != any("dash" in p.protocol for p in named["package"].values()):
        faults.append(
            "[dash]: " + ("no package has protocol = dash" if served else "missing, a package needs it")
        )
    if served and parts["dash"].ahead >= parts["dash"].rotate:
        faults.append(f"[dash] ahead = {parts['dash'].ahead}: must be under rotate")
    for protocol in ("whep", "whip", "dash"):
        several = [n for n, p in named["package"].items() if protocol in p.protocol and p.default]
        if len(several) > 1:
            faults.append(
                f"[package {several[1]}] default = yes: [package {several[0]}] is the default already"
            )
    for name, token in named["token"].items():
        for package in token.packages:
            if package not in named["package"]:
                faults.append(f"[token {name}] packages: no [package {package}] in this file")
    _cross_wholes(parts, named, faults)


def _cross_wholes(parts: dict, named: dict, faults: list[str]) -> None:
    for name, w in named["budget"].items():
        here, controllers = f"[budget {name}]", parts["front"].controllers
        if not re.fullmatch(r"[A-Za-z0-9_.-]+", name):
            faults.append(f"{here}: a name of letters, digits, _ . and - is needed, it is a key of the store")
        if "etcd" not in parts:
            faults.append(f"{here}: needs [etcd], through which controllers divide it")
        if (w.kind == "held") != (w.counts == "viewings"):
            faults.append(f"{here} counts = {w.counts}: held counts viewings, rate the others")
        for key, kind in (("window", "rate"), ("linger", "held")):
            if bool(getattr(w, key)) != (w.kind == kind):
                faults.append(f"{here} {key} = {getattr(w, key)}: above 0 where kind = {kind}, else absent")
        if w.floor * controllers > w.whole:
            faults.append(f"{here} floor = {w.floor}: {controllers} of them are more than whole = {w.whole}")
        if w.package and w.package not in named["package"]:
            faults.append(f"{here} package = {w.package}: no [package {w.package}] in this file")
