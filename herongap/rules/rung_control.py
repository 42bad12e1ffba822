"""Cuts and raises: the rungs of what plays, by the going price of a kB a second."""

from .state import ControllerState, PackageProfile, Streamer, Viewing

MARK = 0.95  # part of a link or uplink that set-ups and raises may fill
AHEAD = 2.0  # a rung above the floor must fit so many times more, as far as others meet this one
OVER = 1.04  # use above which playing viewings are cut
SETTLE, DWELL = 1.0, 6.0  # seconds: for a cut to show, beside the lateness of notes; from a step to a raise


class RungControl:
    def __init__(self, known: ControllerState):
        self.state, self.price = known, 0.0

    def tick(self, now: float) -> None:
        # Own viewings are a sample of all: what their last steps are worth, on the mean, is the price.
        gains = [vw.package.gain[vw.rung] for vw in self.state.viewings.values() if vw.playing]
        self.price = sum(gains) / len(gains) if gains else 0.0

    def room(self, p: PackageProfile, rung: int) -> float:
        """How often a rung must fit again for what others may do: the cheaper its last step, the more."""
        # Others see the same room at once; what they send unheard goes by the viewings there, not by them.
        price = self.price / p.gain[rung] if self.price else 1.0
        return AHEAD * (1 - 1 / max(1, self.state.controllers)) * price

    def load_told(self, now: float, streamer: int, uplink: bool, viewing: int, ratio: float) -> None:
        k = self.state
        st, vw = k.streamers[streamer], k.viewings.get(viewing)
        # The word at set-up is about now; later ones come as late as the settings say.
        if first := vw is not None and now - vw.stepped < 0.1:
            vw.stepped = now - DWELL  # its rung was chosen on little word: it may be raised on this one
        (st.rack if uplink else st.link).told(now, ratio, 0.0 if first else k.late)
        k.over.add(streamer)

    def raise_one(self, now: float, st: Streamer) -> None:
        k = self.state
        up = [
            vw for vw in st.viewings.values() if vw.playing and vw.rung < vw.top and now - vw.stepped >= DWELL
        ]
        for vw in sorted(up, key=lambda vw: -vw.package.gain[vw.rung + 1])[:1]:
            # All others here hear the same word at the same time, and may all raise on it.
            rates, use, own = vw.package.rates, k.utilization(now, st), st.link.own / st.link.size
            for rung in range(vw.top, vw.rung, -1):
                more = max(rates[rung] - rates[vw.rung], 1e-9) / st.link.size
                part = (MARK - use) / (more + max(0.0, use - own) * (rates[rung] / rates[vw.rung] - 1))
                if use + more * (1 + self.room(vw.package, rung)) <= MARK and (
                    part >= 1 or (rung == vw.rung + 1 and k.random_fraction() < part)
                ):
                    self.step(now, vw, rung)
                    return

    def cut(self, now: float, st: Streamer) -> None:
        """Step down this controller's own part of what is asked too much, cheapest steps first."""
        k = self.state
        for pipe in (st.link, st.rack):
            use = pipe.utilization(now, k.usual_load)
            # Words about the time before the last cut would cut twice for one shortage.
            if use <= OVER or now - pipe.eased < k.late + SETTLE:
                continue
            pipe.eased = now
            held = [
                vw
                for vw in k.viewings.values()
                if vw.playing and vw.streamer and pipe in (vw.streamer.link, vw.streamer.rack)
            ]
            # Each step costs the viewer: all that one viewing gives up goes in a single step.
            goal, stepped = pipe.own * MARK / use, {}
            while pipe.own > goal and (down := [vw for vw in held if vw.rung > vw.package.floor]):
                vw = min(down, key=lambda vw: vw.package.gain[vw.rung])
                # By chance if greater than due: single viewings of many controllers must not all step.
                rates = vw.package.rates
                due = (pipe.own - goal) * self.price / vw.package.gain[vw.rung]
                if k.random_fraction() * (rates[vw.rung] - rates[vw.rung - 1]) > due:
                    break
                k.set_rung(now, vw, vw.rung - 1)
                stepped[vw.id] = vw
            for vw in stepped.values():
                self.step(now, vw, vw.rung)

    def step(self, now: float, vw: Viewing, rung: int) -> None:
        self.state.set_rung(now, vw, rung)
        vw.stepped = now
        self.state.decisions.append(("rung", vw.id, rung))
