"""A member begins to lead, again and again, and each time targets can follow."""

import unittest

from foxspring_jobs._service import GENERATIONS_PER_TERM, TOKENS_PER_TERM
from foxspring_jobs.tests.service_builders import ServiceSite


class TokenTest(unittest.TestCase):
    # Found beside issue 55: after 1,000 beginnings in a process the fencing tokens of
    # a term began anew, and targets refused every order of that leader.
    def test_tokens_never_get_lower(self) -> None:
        site = ServiceSite(self)
        tokens = []
        for term in (1, 2):
            site.lead(term)
            for _ in range(GENERATIONS_PER_TERM + 1):
                site.service.on_reset()
                site.finish()
                assert site.service.leader is not None
                tokens.append(site.service.leader.context.token)
        self.assertEqual(tokens, sorted(tokens))
        self.assertLess(tokens[-1], 3 * TOKENS_PER_TERM)


if __name__ == "__main__":
    unittest.main()
