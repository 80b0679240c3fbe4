"""Entry point of the ``foxspring`` command."""

from foxspring_daemon._cli._main import cli, main

__all__ = ["cli", "main"]

if __name__ == "__main__":
    main()
