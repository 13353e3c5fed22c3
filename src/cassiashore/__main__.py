"""Entry point of ``python -m cassiashore`` and of the ``cassiashore`` command."""

from cassiashore._internal.cli.main import main

if __name__ == "__main__":
    main()
