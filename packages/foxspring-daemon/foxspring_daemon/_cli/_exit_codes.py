"""Exit codes; scripts can tell "not run" from "may have run" by them."""

OK = 0
REJECTED = 1
USAGE = 2
NOT_RUN = 3
MAY_HAVE_RUN = 4
CONFLICT = 5
UNAUTHORIZED = 6
