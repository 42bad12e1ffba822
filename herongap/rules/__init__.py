"""All decisions of one controller. Call the input methods as things are heard, then `decide(now)` until None.

The interface is `herongap/interface.py`. The design (docs/design.md): a table of the mean quality that this
controller's own recent viewings got, a row per package, a cell per streamer; the best ready holder with room
wins, thin cells are seeded by round robin, rungs are admitted on link and uplink. Mechanisms beside it:
 1. set aside: a streamer that fails or goes silent gets nothing for a while, and its cells hear of it
 2. cold pace: a streamer that may have just started gets set-ups in this controller's own time slots
 3. further tune-ins: a time-out leaves room for a second one, within the budget and the package's terms
 4. cuts and raises: playing viewings step down where a link is over-asked, and up slowly where there is room
 5. word of others: notes, reports and probes correct the link estimate, and fade to what others usually ask
 6. floods: a member asking far beyond its usual rate gets floor rungs, on spare room only
Files name each other relatively: an experiment can load another version beside it.
"""

from .controller import Controller as Controller
