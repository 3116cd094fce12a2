"""Entry point of ``python -m baobabwing``."""

from baobabwing.cli.main import main

if __name__ == "__main__":
    main()
