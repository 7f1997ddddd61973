"""Reserves ports in a process of its own until its input ends."""

import sys

from standins import ports


def main() -> None:
    """Reserve as many ports as the argument says, and print them."""
    held = [ports.reserve() for _ in range(int(sys.argv[1]))]
    print(" ".join(item.address for item in held), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main()
