"""Entry point of ``python -m agaterudder``."""

from agaterudder import cli

if __name__ == "__main__":
    cli.main()
