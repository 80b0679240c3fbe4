"""Bounded text from other processes and from errors, for values of log lines."""

QUOTES = str.maketrans({"'": "`", '"': "`", "\\": "/", "=": ":"})


def log_text(text: str, limit: int) -> str:
    """Return ``text`` on one line, without quotes, of ``limit`` characters at most."""
    printable = "".join(c if c.isprintable() else " " for c in text[: 4 * limit])
    one_line = " ".join(printable.split()).translate(QUOTES)
    return one_line if len(one_line) <= limit else f"{one_line[: limit - 3]}..."
