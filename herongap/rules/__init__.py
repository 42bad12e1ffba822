"""All decisions of one controller. Call the input methods as events arrive, then `decide(now)` until None.

The types are in `herongap/interface.py`, the design is in docs/design.md. A table holds the mean quality that
this controller's own recent viewings got, a row per package and a cell per streamer. The best ready holder
with room wins, cells with few viewings are seeded by round robin, and rungs are admitted by the load of link
and uplink. Further mechanisms:
 1. setting aside: a streamer that fails or goes silent gets nothing for a while, and its cells count that
 2. slow start: a streamer that may have just started gets set-ups in this controller's own time slots only
 3. retries: a time-out leaves room for a second tune-in, within the retry budget and the package's terms
 4. rung control: playing viewings step down on an overloaded link, and up slowly where there is room
 5. load reports: notices, reports and probes correct the estimate of a link and fade to the usual load
 6. flood control: a member far beyond its usual request rate gets floor rungs, on spare capacity only
The files import each other relatively, so that an experiment can load another version beside this one.
"""

from .controller import Controller as Controller
