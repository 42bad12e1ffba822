"""The session resource at the end that holds the media: trickled candidates, ICE restarts, entity tags."""

from herongap.http import ICE_FRAGMENT, Reply, Request, etag_matches, problem
from herongap.sdp import Endpoint, Fragment
from herongap.sdp.fragment import write_fragment
from herongap.whip.messages import CORS_HEADERS, check_patch


class SessionResource:
    """The ICE state of one session. Each entity tag identifies one ICE session (RFC 9725, 4.3.1)."""

    def __init__(self, name: str, remote_ufrag: str, local: Endpoint):
        self.name, self.local, self.remote_ufrag = name, local, remote_ufrag
        self.restarts, self.candidates = 0, []

    @property
    def etag(self) -> str:
        """The entity tag of the present ICE session."""
        return f'"{self.name}-{self.restarts}"'

    def patch(self, request: Request, fresh: Endpoint) -> Reply:
        """Add trickled candidates (204), or restart ICE with the credentials of `fresh` (200 with them)."""
        fragment = check_patch(request)
        if isinstance(fragment, Reply):
            return fragment
        if request.headers["if-match"].strip() == "*":
            # 4.3.3: a restart is a fragment with new credentials under `If-Match: *`.
            return self._restart(fragment, fresh)
        if not etag_matches(request, self.etag) or fragment.ufrag != self.remote_ufrag:
            return problem("stale-tag")
        self.candidates += fragment.candidates
        return Reply(204, (("ETag", self.etag), *CORS_HEADERS))

    def _restart(self, fragment: Fragment, fresh: Endpoint) -> Reply:
        if fragment.ufrag == self.remote_ufrag:
            return problem("bad-fragment", "a restart brings a new ice-ufrag")
        self.remote_ufrag, self.local, self.candidates = fragment.ufrag, fresh, list(fragment.candidates)
        self.restarts += 1
        body = write_fragment(Fragment(fresh.ufrag, fresh.pwd, (), False))
        return Reply(200, (("Content-Type", ICE_FRAGMENT), ("ETag", self.etag), *CORS_HEADERS), body)
